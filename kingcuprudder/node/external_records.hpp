#ifndef KINGCUPRUDDER_NODE_EXTERNAL_RECORDS_HPP
#define KINGCUPRUDDER_NODE_EXTERNAL_RECORDS_HPP

#include <kingcuprudder/dispatch/service_configuration.hpp>
#include <kingcuprudder/dispatch/worker_description.hpp>
#include <kingcuprudder/node/record_store.hpp>

#include <functional>
#include <optional>
#include <string>

namespace kingcuprudder::node
{

/// Where operators and workers keep their records in the store, and how these
/// are read. The decoders return nothing for a record that is not valid.
struct external_records
{
    std::string m_configuration_key;
    std::string m_workers_prefix;
    std::function<std::optional<dispatch::service_configuration>(
        const std::string& value)>
        m_decode_configuration;
    std::function<std::optional<dispatch::worker_description>(
        const std::string& id, const std::string& value)>
        m_decode_worker;
};

} // namespace kingcuprudder::node

#endif

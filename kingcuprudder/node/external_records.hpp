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

/// Keys and decoders of the records that operators and workers write to the
/// store. The decoders return nothing for an invalid record.
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

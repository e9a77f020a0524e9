#ifndef KINGCUPRUDDER_SERVICE_WORKER_PROTOCOL_HPP
#define KINGCUPRUDDER_SERVICE_WORKER_PROTOCOL_HPP

#include <kingcuprudder/region/owner_io.hpp>

#include <optional>
#include <string>

namespace kingcuprudder
{

/// An HTTP POST request to a worker.
struct worker_request
{
    std::string m_path;
    std::string m_body; ///< JSON.
};

/// Returns the HTTP request of a call. Claims also contain the name of the
/// owner and the URL for heartbeats.
worker_request to_worker_request(const worker_call& call,
                                 const instance_id& owner,
                                 const std::string& heartbeat_url);

/// Decodes the response of a worker. A status of nullopt means that there was
/// no response in time.
decltype(worker_answer::m_outcome) read_worker_answer(const worker_call& call,
                                                      std::optional<int> status,
                                                      const std::string& body);

} // namespace kingcuprudder

#endif

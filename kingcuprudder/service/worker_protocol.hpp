#ifndef KINGCUPRUDDER_SERVICE_WORKER_PROTOCOL_HPP
#define KINGCUPRUDDER_SERVICE_WORKER_PROTOCOL_HPP

#include <kingcuprudder/region/owner_io.hpp>

#include <optional>
#include <string>

namespace kingcuprudder
{

/// One HTTP POST to a worker.
struct worker_request
{
    std::string m_path;
    std::string m_body; ///< JSON.
};

/// The HTTP form of a call. Claims also carry the owner's name and the URL
/// that heartbeats go to.
worker_request to_worker_request(const worker_call& call,
                                 const instance_id& owner,
                                 const std::string& heartbeat_url);

/// What a worker's answer means; nothing stands for no answer in time.
decltype(worker_answer::m_outcome) read_worker_answer(const worker_call& call,
                                                      std::optional<int> status,
                                                      const std::string& body);

} // namespace kingcuprudder

#endif

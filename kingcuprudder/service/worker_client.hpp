#ifndef KINGCUPRUDDER_SERVICE_WORKER_CLIENT_HPP
#define KINGCUPRUDDER_SERVICE_WORKER_CLIENT_HPP

#include <kingcuprudder/region/owner_io.hpp>
#include <kingcuprudder/topology/worker.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace kingcuprudder
{

/// Executes worker calls over HTTP on a fixed number of threads. The calls to
/// one worker are made sequentially in FIFO order. Workers that did not respond
/// are called from separate threads, so that the loss of a zone does not delay
/// calls to the other workers.
class worker_client
{
public:
    /// Called once for each accepted call, on an internal thread.
    using completion = std::function<void(worker_answer)>;

    /// Claims contain the name of the owner and the URL for heartbeats.
    worker_client(instance_id owner, std::string heartbeat_url,
                  completion done);
    ~worker_client();
    worker_client(const worker_client&) = delete;
    worker_client& operator=(const worker_client&) = delete;

    /// Sets the addresses of workers. Workers that are not in the list keep
    /// their addresses.
    void set_workers(const std::vector<worker>& workers);

    /// Queues a call. Returns false if the worker has no address or too many
    /// calls are waiting; the completion is then not called.
    bool call(worker_call request);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder

#endif

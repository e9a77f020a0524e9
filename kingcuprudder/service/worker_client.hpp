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

/// Carries out worker calls over HTTP on a bounded number of threads. The
/// calls to one worker are made one after the other, in their order. Workers
/// that did not answer are called from threads set apart for them, so that
/// the loss of a zone does not hold up the calls to the others.
class worker_client
{
public:
    /// Called once for each accepted call, on a thread of this object.
    using completion = std::function<void(worker_answer)>;

    /// Claims name the owner and the URL that heartbeats go to.
    worker_client(instance_id owner, std::string heartbeat_url,
                  completion done);
    ~worker_client();
    worker_client(const worker_client&) = delete;
    worker_client& operator=(const worker_client&) = delete;

    /// The workers' addresses. Those of workers that are not named stay known.
    void set_workers(const std::vector<worker>& workers);

    /// Begins a call. Returns false when the worker's address is not known or
    /// too many calls wait; the completion is then not called.
    bool call(worker_call request);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder

#endif

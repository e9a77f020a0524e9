#ifndef KINGCUPRUDDER_STAND_INS_FAKE_WORKER_HPP
#define KINGCUPRUDDER_STAND_INS_FAKE_WORKER_HPP

#include <kingcuprudder/topology/worker.hpp>

#include <stand_ins/worker_tasks.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace kingcuprudder::stand_ins
{

/// Faults of the stand-in worker.
struct worker_faults
{
    bool m_fail_every_task = false;
    /// Stalls like a stopped process until the fault is cleared.
    bool m_freeze = false;
    /// Keeps running its tasks, but answers no calls and sends no heartbeats.
    bool m_partition = false;
};

/// The configuration of a stand-in worker.
struct fake_worker_options
{
    /// Its address is the one to listen on; port 0 selects a free port.
    worker m_worker;
    span m_usage_lag = span::seconds(5);
    std::size_t m_threads = 4;
    /// If set, heartbeats go to this "ip:port" instead of the one in the claim.
    std::string m_heartbeat_relay;
};

/// A stand-in for a worker of the platform. It implements the HTTP protocol;
/// its tasks run nothing and only take time.
class fake_worker
{
public:
    explicit fake_worker(const fake_worker_options& options);
    ~fake_worker();
    fake_worker(const fake_worker&) = delete;
    fake_worker& operator=(const fake_worker&) = delete;

    /// Returns the worker with the address it listens on.
    const worker& description() const;

    void set_faults(const worker_faults& faults);
    std::vector<task_event> history() const;
    std::size_t heartbeats_sent() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// Returns the worker's entry for the instance list as JSON text.
std::string instance_entry(const worker& description);

} // namespace kingcuprudder::stand_ins

#endif

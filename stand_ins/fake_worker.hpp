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

/// What the stand-in worker does wrong.
struct worker_faults
{
    bool m_fail_every_task = false;
    /// Stands still as if its process were stopped; resumes when cleared.
    bool m_freeze = false;
    /// Keeps running, but answers nobody and sends no heartbeats.
    bool m_partition = false;
};

/// What the stand-in worker is.
struct fake_worker_options
{
    /// The address to listen on; port 0 takes a free one.
    worker m_worker;
    span m_usage_lag = span::seconds(5);
    std::size_t m_threads = 4;
    /// Heartbeats go to this "ip:port" instead of the claim's, when set.
    std::string m_heartbeat_relay;
};

/// Stands in for a worker of the platform: its HTTP protocol, with tasks that
/// only take time.
class fake_worker
{
public:
    explicit fake_worker(const fake_worker_options& options);
    ~fake_worker();
    fake_worker(const fake_worker&) = delete;
    fake_worker& operator=(const fake_worker&) = delete;

    /// The worker with the address in use.
    const worker& description() const;

    void set_faults(const worker_faults& faults);
    std::vector<task_event> history() const;
    std::size_t heartbeats_sent() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// The worker's entry for the instance list, as JSON text.
std::string instance_entry(const worker& description);

} // namespace kingcuprudder::stand_ins

#endif

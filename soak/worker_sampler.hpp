#ifndef SOAK_WORKER_SAMPLER_HPP
#define SOAK_WORKER_SAMPLER_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/dispatch/job_submission.hpp>

#include <soak/deployment_sample.hpp>
#include <stand_ins/minion_snapshot.hpp>

#include <functional>
#include <string>
#include <vector>

namespace kingcuprudder::soak
{

/// Converts snapshots of the simulated workers to samples.
class worker_sampler
{
public:
    /// Returns what a task occupies on its worker, by the name of the task.
    using demand_hook =
        std::function<dispatch::resources(const std::string& task)>;

    explicit worker_sampler(demand_hook demand);

    /// Returns a sample of the workers and of the tasks on them since the
    /// snapshot before. The snapshot has the events since then. The caller adds
    /// the waiting tasks and whether the time was calm and is finished.
    deployment_sample sample(const stand_ins::minions_snapshot& snapshot,
                             instant now);

private:
    worker_sample convert(const stand_ins::minion_snapshot& minion) const;

    const demand_hook m_demand;
    /// The tasks on workers in the last snapshot.
    std::vector<present_task> m_running;
};

} // namespace kingcuprudder::soak

#endif

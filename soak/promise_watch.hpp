#ifndef SOAK_PROMISE_WATCH_HPP
#define SOAK_PROMISE_WATCH_HPP

#include <soak/deployment_callers.hpp>
#include <soak/disruption_record.hpp>
#include <soak/idle_checks.hpp>
#include <soak/worker_sampler.hpp>
#include <stand_ins/simulated_minions.hpp>

#include <atomic>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace kingcuprudder::soak
{

/// Samples the workers and the jobs of a deployment while it runs and checks
/// the promises to callers.
class promise_watch
{
public:
    /// Samples from now on. All must outlive this.
    promise_watch(const deployment_callers& callers,
                  const stand_ins::simulated_minions& minions,
                  const disruption_record& disruptions,
                  const deployment_sheet& sheet);
    ~promise_watch();
    promise_watch(const promise_watch&) = delete;
    promise_watch& operator=(const promise_watch&) = delete;

    /// The load has ended and the time for recovery is over.
    void set_finished() { m_finished = true; }
    /// Ends the sampling and returns a message for each violation.
    std::vector<std::string> stop();

private:
    void run();
    void take_sample();
    dispatch::resources demand_of_task(const std::string& task) const;
    void note_events(const std::vector<stand_ins::run_event>& events);
    std::vector<waiting_task> waiting() const;
    job_history history_of(const called_job& job) const;

    const deployment_callers& m_callers;
    const stand_ins::simulated_minions& m_minions;
    const disruption_record& m_disruptions;
    const deployment_sheet& m_sheet;
    /// The demand of each task, by the id of its job.
    std::map<std::string, dispatch::resources> m_demands;
    worker_sampler m_sampler;
    idle_checks m_idle_checks;
    instant m_last_sample;
    std::size_t m_known_events = 0;
    /// What is known of the runs, by the id of the job.
    std::map<std::string, std::set<std::string>> m_done;
    std::map<std::string, instant> m_begun_at;
    std::map<std::string, std::vector<ended_run>> m_ended_runs;
    std::vector<std::string> m_violations;
    std::atomic<bool> m_finished = false;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace kingcuprudder::soak

#endif

#ifndef KINGCUPRUDDER_PERFORMANCE_TEST_SIMULATION_HPP
#define KINGCUPRUDDER_PERFORMANCE_TEST_SIMULATION_HPP

#include "metrics.hpp"
#include "workload.hpp"
#include <kingcuprudder/placement/placement_policy.hpp>

#include <map>
#include <queue>
#include <vector>

namespace kingcuprudder
{

/// The loss and the restoration of an availability zone.
struct zone_loss
{
    zone_id m_zone;
    instant m_lost_at;
    instant m_restored_at;
};

/// Runs a workload under a policy in virtual time. Models only the allocation
/// of resources: a planned job starts without delay.
class simulation
{
public:
    simulation(const deployment& where, const std::vector<generated_job>& jobs,
               placement_policy& policy, std::optional<zone_loss> loss);

    quality run();

private:
    enum class event_kind
    {
        job_ends,
        job_stops,
        zone_lost,
        zone_restored,
    };

    struct event
    {
        instant m_at;
        event_kind m_kind = event_kind::job_ends;
        std::size_t m_job = 0;
        std::uint32_t m_attempt = 0;

        friend auto operator<=>(const event&, const event&) = default;
    };

    struct job_state
    {
        std::uint32_t m_attempt = 0;
        bool m_running = false;
        span m_saved;
    };

    void enqueue_arrivals();
    void handle(const event& each);
    void end_job(std::size_t job);
    void stop_job(std::size_t job);
    void release(std::size_t job);
    void lose_zone();
    void restore_zone();
    void run_planning_pass();
    void start(const planned_placement& planned);
    void reclaim(const planned_reclaim& planned);
    running_job& find_running(std::size_t job);

    const deployment& m_deployment;
    const std::vector<generated_job>& m_jobs;
    placement_policy& m_policy;
    std::optional<zone_loss> m_loss;
    cluster m_region;
    std::vector<queued_job> m_queue;
    std::vector<running_job> m_running;
    std::vector<job_state> m_states;
    std::map<job_key, std::size_t> m_numbers;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::size_t m_arrived = 0;
    instant m_now;
    metrics m_metrics;
};

} // namespace kingcuprudder

#endif

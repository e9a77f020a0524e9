#ifndef KINGCUPRUDDER_DISPATCH_PLANNER_HPP
#define KINGCUPRUDDER_DISPATCH_PLANNER_HPP

#include <kingcuprudder/dispatch/dispatcher.hpp>
#include <kingcuprudder/dispatch/worker_index.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kingcuprudder::dispatch
{

/// The tasks of one step that may start now.
struct waiting_step
{
    job_entry* m_job = nullptr;
    task_ref m_step; ///< The index is not used.
    std::vector<int> m_waiting;
    queue_policy m_policy;
    /// The account was promised room for this step at any time.
    bool m_guaranteed = false;
    /// The tasks run until the job is cancelled and must not stay away.
    bool m_persistent = false;
    /// The job can no longer meet its objective.
    bool m_late = false;
    /// The job can no longer earn anything by ending.
    bool m_expired = false;
    /// When the job must end to meet its objective.
    instant m_objective;
};

/// Whether the left step is served before the right one.
bool precedes(const waiting_step& left, const waiting_step& right);

/// One planning pass over all waiting steps.
class planner
{
public:
    planner(dispatcher& state, instant now, instant wall_now);

    void run();

private:
    /// Counts what urgent jobs use and what is free.
    void count_free_capacity();
    bool leaves_urgent_headroom(const waiting_step& step, int tasks);
    void assign(waiting_step& step, const task_ref& ref, worker_entry& worker,
                int run);
    /// Finds the accounts whose urgent jobs need no more than was promised.
    void find_accounts_within_guarantee();
    std::vector<waiting_step> collect();
    void collect_job(job_entry& job, std::vector<waiting_step>& steps);
    bool step_is_due(const job_entry& job, int repeat, int step) const;

    /// When the time of the job, or of this repetition, began to count.
    instant objective_start(const job_entry& job, int repeat) const;

    void place_tasks(waiting_step& step);
    void place_gang(waiting_step& step);
    bool may_reclaim(const waiting_step& step) const;

    void index_workers();
    bool is_eligible(const worker_entry& worker,
                     const waiting_step& step) const;
    /// Whether tasks on the worker would be disturbed, or would disturb.
    bool has_interference(const worker_entry& worker,
                          const job_step& wanted) const;
    bool recently_failed(const worker_entry& worker) const;
    static capacity_request capacity_request_of(const waiting_step& step,
                                                int count, bool one_rack);
    /// How many more tasks of the step the worker can take.
    int fitting_tasks(const worker_entry& worker, const waiting_step& step,
                      const resources& free) const;
    int tasks_on_worker(const worker_entry& worker,
                        const waiting_step& step) const;
    worker_entry* best_worker(const waiting_step& step);

    using gang_share = std::pair<worker_entry*, int>;
    /// Workers and task counts that hold the whole gang; empty when it does
    /// not fit.
    std::vector<gang_share>
    gang_shares(const waiting_step& step,
                const worker_index::workers& candidates);
    /// The shares on the fewest workers, in one rack or across racks.
    std::vector<gang_share> best_gang_shares(const waiting_step& step,
                                             bool across);
    bool may_span_racks(const waiting_step& step);
    std::vector<const worker_index::workers*>
    gang_domains(const waiting_step& step, bool across);
    bool fits_some_rack(const waiting_step& step);
    void assign_gang(waiting_step& step, const std::vector<gang_share>& shares);

    struct victim
    {
        job_entry* m_job = nullptr;
        task_ref m_task;
        double m_lost_work = 0;
    };
    /// What stopping one more loses beyond those that are chosen.
    static double added_lost_work(const std::vector<victim>& chosen,
                                  const victim& next);
    /// Runs on the worker that urgent work may displace, the cheapest first.
    const std::vector<victim>& victims_on(const worker_entry& worker);
    /// A guaranteed job must begin soon, at any price.
    bool guarantee_is_due(const waiting_step& step) const;
    /// The work, in core-milliseconds, that may be lost to make room.
    double max_lost_work(const waiting_step& step) const;
    double lost_work_of(const job_entry& job, const task_ref& ref) const;
    /// The cheapest victims that make room for the demand, with their loss;
    /// nothing when there are not enough.
    std::optional<std::pair<std::vector<victim>, double>>
    cheapest_victims(const worker_entry& worker, resources missing);
    void preempt(const std::vector<victim>& victims, const waiting_step& step);
    bool reclaim_for_task(waiting_step& step);
    bool reclaim_for_gang(waiting_step& step, bool across);

    dispatcher& m_state;
    instant m_now;
    instant m_wall_now;
    std::set<std::string> m_accounts_within_guarantee;
    /// GPUs that are free, by pool.
    std::map<std::string, std::int64_t> m_free_gpus;
    worker_index m_index;
    /// What victims_on() found in this pass, by worker.
    std::map<std::string, std::vector<victim>> m_victims;
};

} // namespace kingcuprudder::dispatch

#endif

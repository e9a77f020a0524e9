#ifndef KINGCUPRUDDER_DISPATCH_PLANNER_HPP
#define KINGCUPRUDDER_DISPATCH_PLANNER_HPP

#include <kingcuprudder/dispatch/capacity_forecast.hpp>
#include <kingcuprudder/dispatch/dispatcher.hpp>
#include <kingcuprudder/dispatch/wait_reason.hpp>
#include <kingcuprudder/dispatch/worker_index.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kingcuprudder::dispatch
{

/// The tasks of one step that are ready to start. Tasks of one step that are
/// not equally suspect are placed apart.
struct waiting_step
{
    job_entry* m_job = nullptr;
    task_ref m_step;            ///< The index within the step is not used.
    std::vector<int> m_waiting; ///< The indexes of the tasks.
    queue_policy m_policy;
    /// The step is covered by the guarantee of its account.
    bool m_guaranteed = false;
    /// The tasks run until the job is cancelled and must restart at once.
    bool m_persistent = false;
    /// The job can no longer meet its objective.
    bool m_late = false;
    /// The job would end so late that it yields no credit.
    bool m_expired = false;
    /// Lost workers are attributed to the waiting tasks.
    bool m_suspected = false;
    /// How likely it is that one of the tasks crashes its worker. All tasks are
    /// equally suspect; a gang with a suspected member counts fully.
    double m_suspicion = 0;
    /// The addresses of these workers.
    std::set<std::string> m_lost_addresses;
    /// The racks in which several of these workers were, so that the rack may
    /// be the cause.
    std::set<std::string> m_lost_racks;
    /// The step waits for a worker without other new runs.
    bool m_wants_quiet_worker = false;
    /// A persistent task has waited so long that the step takes any worker with
    /// room, even one that suits it less.
    bool m_overdue = false;
    /// The time by which the job must end to meet its objective.
    instant m_objective;
};

/// Returns whether the left step is placed before the right one.
bool precedes(const waiting_step& left, const waiting_step& right);

/// One planning pass over all waiting steps.
class planner
{
public:
    planner(dispatcher& state, instant now, instant wall_now);

    void run();

private:
    /// Updates the usage of urgent jobs and counts the free GPUs, by pool.
    void count_free_capacity();
    bool leaves_urgent_headroom(const waiting_step& step, int tasks);
    void assign(waiting_step& step, const task_ref& ref, worker_entry& worker,
                int run);
    /// Finds the accounts whose urgent jobs stay within their guarantee.
    void find_accounts_within_guarantee();
    std::vector<waiting_step> collect();
    void collect_job(job_entry& job, std::vector<waiting_step>& steps);
    /// Adds the waiting tasks of a step. Returns false if one of them crashes
    /// its workers, so that the job was given up.
    bool collect_step(job_entry& job, int repeat, int index,
                      std::vector<waiting_step>& steps);
    void add_waiting_task(waiting_step& step, const job_step& wanted,
                          const task_entry& task, int index) const;
    /// Sets what the tasks of the step have in common.
    void describe_step(waiting_step& step, job_entry& job, int repeat,
                       int index) const;
    bool step_is_due(const job_entry& job, int repeat, int step) const;

    /// Returns the time from which the objective of the job, or of this
    /// repetition, is measured.
    instant objective_start(const job_entry& job, int repeat) const;

    void place_tasks(waiting_step& step);
    void place_gang(waiting_step& step);
    bool may_reclaim(const waiting_step& step) const;

    void index_workers();
    /// Returns whether the worker has the label; an empty one stands for none.
    static bool has_label(const worker_description& worker,
                          const std::string& label);
    bool is_eligible(const worker_entry& worker,
                     const waiting_step& step) const;
    /// Returns whether the worker is eligible once nothing there interferes
    /// with the step.
    bool is_eligible_alone(const worker_entry& worker,
                           const waiting_step& step) const;
    /// Returns whether tasks of the two steps would interfere: tasks with a
    /// latency target and tasks that use idle CPU are kept apart.
    static bool interfere(const job_step& left, const job_step& right);
    /// Returns how many tasks on the worker would interfere with the step, but
    /// for those that are being stopped.
    int interfering_tasks(const worker_entry& worker,
                          const job_step& wanted) const;
    /// Returns whether the step uses the worker only if no other one fits.
    bool is_last_choice(const worker_entry& worker,
                        const waiting_step& step) const;
    /// Returns whether the step may be started on the worker now, so that a
    /// crash of the worker can be attributed to one job. A guaranteed step that
    /// is started first must start in time and is not kept apart.
    bool is_apart_from_suspects(const worker_entry& worker,
                                const waiting_step& step) const;
    /// Returns whether one more worker of the pool may be put on trial. Half of
    /// them are left to other tasks.
    bool may_begin_trial(const std::string& pool) const;
    /// Returns whether nothing was started or assigned on the worker recently.
    bool is_quiet(const worker_entry& worker) const;
    /// Logs why no worker is used for a step with a suspected task, once in a
    /// while.
    void log_suspected_wait(const waiting_step& step);
    /// Returns whether a reachable worker is known to execute the task.
    bool is_known_to_run(const task_entry& task) const;
    /// Returns a due step that is not done, if no task of the job is known to
    /// run.
    std::optional<task_ref> idle_step(const job_entry& job) const;
    /// Finds and logs why jobs have nothing running though a step is due. The
    /// number of jobs and of lines in a pass is limited.
    void explain_idle_jobs(const std::vector<waiting_step>& steps);
    void explain_idle_job(job_entry& job, const task_ref& due,
                          const std::vector<waiting_step>& steps);
    /// Returns a task of the step that has a run, first one that has not ended;
    /// empty if there is none.
    static std::optional<task_ref> first_active_task(job_entry& job,
                                                     const task_ref& step);
    /// Returns what the task's run, which is not known to be executed, waits
    /// for.
    static pending_run pending_run_of(job_entry& job, const task_ref& ref);
    /// Returns how many tasks of the step fit, counted over all workers; on
    /// each of them up to twice those that are placed together.
    room_by_condition room_for(const waiting_step& step);
    void log_idle_job(const waiting_step& step, const wait_facts& facts,
                      const std::optional<task_ref>& active);
    /// Adds the task's run and the state of its worker to the fields.
    void add_run(job_entry& job, const task_ref& ref, decision_fields& fields);
    /// Returns whether free capacity and the label alone determine which
    /// workers are suitable for the step's tasks.
    static bool needs_only_free_capacity(const waiting_step& step);
    /// Returns the order in which workers with this many free GPUs are used:
    /// the fullest first, but the emptiest first for a suspected task, as its
    /// crash would end all other work there.
    static std::int64_t packing_rank(const waiting_step& step,
                                     std::int64_t free_gpus);
    static capacity_request capacity_request_of(const waiting_step& step,
                                                int count, bool one_rack);
    /// Returns how many more tasks of the step fit on the worker.
    int fitting_tasks(const worker_entry& worker, const waiting_step& step,
                      const resources& free) const;
    /// The same, but up to this many even if the step has fewer tasks.
    int fitting_up_to(int most, const worker_entry& worker,
                      const waiting_step& step, const resources& free) const;
    int tasks_on_worker(const worker_entry& worker,
                        const waiting_step& step) const;
    worker_entry* best_worker(const waiting_step& step);
    /// Returns whether the worker is outside the rack of the step's data. No
    /// one is if that rack is one of m_lost_racks.
    static bool is_far(const worker_entry& worker, const waiting_step& step);
    /// Returns whether a worker in the rack of the step's data can still become
    /// free for it, and the step's objective can still be met.
    bool prefers_data_rack(const waiting_step& step) const;
    /// Returns whether the step is not placed outside the rack of its data yet.
    bool waits_for_data_rack(const waiting_step& step);

    /// Returns since when all tasks of the step could have been started.
    instant ready_since(const waiting_step& step) const;
    /// Returns the predicted duration of a run on its worker.
    span expected_duration(const job_entry& job, const task_ref& ref) const;
    /// Returns whether runs of the step are on workers of several racks.
    bool spans_racks(const job_entry& job, const task_ref& ref) const;
    /// Returns the duration outside the rack of the data or across racks.
    span slowed(span duration) const;
    span expected_time_left_of(const job_entry& job, const task_ref& ref) const;
    /// Returns what the runs on the worker release when they end.
    std::vector<capacity_release>
    expected_releases(const worker_entry& worker) const;
    /// Returns the time until a worker that may become usable is expected to
    /// be.
    span usable_after(const worker_entry& worker) const;
    /// Returns the expected time until this many tasks of the step fit on the
    /// workers together; empty if they never do.
    std::optional<span>
    expected_wait(const waiting_step& step, int tasks,
                  const std::vector<const worker_entry*>& workers);
    /// Returns the workers that may run the step now or soon.
    std::map<std::string, std::vector<const worker_entry*>>
    expected_workers_by_rack(const waiting_step& step) const;
    /// Returns the expected time until some rack holds the gang; empty if none
    /// ever does.
    std::optional<span> expected_wait_for_rack(const waiting_step& step);
    /// Returns whether the step is expected to end sooner if it waits that long
    /// for a better place than if it starts elsewhere now.
    bool is_better_after_wait(const waiting_step& step,
                              std::optional<span> wait) const;
    /// Returns whether the job has had nothing running for so long, in a mostly
    /// idle pool with room for the step twice over, that it waits no longer.
    bool is_idle_beside_room(const waiting_step& step) const;
    /// Returns whether less than half of each resource of the pool is in use.
    bool is_pool_mostly_idle(const std::string& pool) const;
    /// Returns whether the worker can run new tasks now or probably will soon.
    bool may_become_usable(const worker_entry& worker) const;

    /// A worker and the number of gang members on it.
    using gang_share = std::pair<worker_entry*, int>;
    /// Returns an allocation of the whole gang to the candidates; empty if the
    /// gang does not fit.
    std::vector<gang_share>
    gang_shares(const waiting_step& step,
                const worker_index::workers& candidates);
    /// Returns the allocation with the fewest workers, in one rack or across
    /// racks; empty if the gang does not fit.
    std::vector<gang_share> best_gang_shares(const waiting_step& step,
                                             bool across);
    std::vector<const worker_index::workers*>
    gang_domains(const waiting_step& step, bool across);
    /// Assigns the gang to workers of one rack, if it is one that is slower
    /// across racks. Returns whether it was placed.
    bool place_in_one_rack(waiting_step& step);
    bool place_across_racks(waiting_step& step);
    /// Returns whether a gang that fits across racks is started there now.
    bool spans_racks_now(const waiting_step& step);
    /// Returns whether runs in several racks may be preempted for the gang.
    bool may_reclaim_across_racks(const waiting_step& step);
    /// Returns whether the step must start at once, also at a worse place.
    bool is_pressing(const waiting_step& step) const;
    void assign_gang(waiting_step& step, const std::vector<gang_share>& shares);

    struct victim
    {
        job_entry* m_job = nullptr;
        task_ref m_task;
        double m_lost_work = 0;
    };
    /// Returns the work that preempting one more victim loses in addition to
    /// those already chosen.
    static double added_lost_work(const std::vector<victim>& chosen,
                                  const victim& next);
    /// Returns the preemptible runs on the worker by increasing lost work.
    const std::vector<victim>& victims_on(const worker_entry& worker);
    /// Returns whether a guaranteed job must preempt now to start within the
    /// reclaim bound, however much work is lost.
    bool guarantee_is_due(const waiting_step& step) const;
    /// Returns how much work, in core-milliseconds, may be lost to free
    /// capacity for the step.
    double max_lost_work(const waiting_step& step) const;
    double lost_work_of(const job_entry& job, const task_ref& ref) const;
    /// Victims, and their lost work.
    using priced_victims = std::pair<std::vector<victim>, double>;
    /// Returns the cheapest victims that free the missing resources, among them
    /// those that are required; nothing if there are not enough victims.
    std::optional<priced_victims>
    cheapest_victims(const worker_entry& worker, resources missing,
                     const std::vector<victim>& required = {});
    /// Returns the cheapest victims that make room for a task of the step on
    /// the worker, and remove what would interfere with it there.
    std::optional<priced_victims> victims_for_task(const worker_entry& worker,
                                                   const waiting_step& step);
    /// Returns the runs on the worker that use idle CPU and would interfere
    /// with the step; nothing if not all of them can be stopped.
    std::optional<std::vector<victim>>
    interfering_victims(const worker_entry& worker,
                        const waiting_step& step) const;
    /// Returns whether the task, of a step that uses idle CPU, has a place on
    /// another worker where it interferes with nothing. Members of gangs end
    /// together and are not moved.
    bool can_move(job_entry& job, const task_ref& ref) const;
    /// Stops runs on draining workers that are unlikely to end before their
    /// worker exits, if there is room for them elsewhere.
    void move_runs_off_draining_workers();
    /// Claims the room for runs that an earlier pass has moved and that have
    /// not ended yet.
    void claim_room_for_moving_runs();
    /// Returns whether the run, or its whole gang, is at work and may be
    /// stopped to be started on another worker.
    static bool can_be_moved(job_entry& job, const task_ref& ref);
    void consider_move(const worker_entry& worker, job_entry& job,
                       const task_ref& ref);
    /// Claims room on other workers for the run or, if it is one of a gang, for
    /// the whole gang. Returns false if there is none.
    bool claim_room_to_move(job_entry& job, const task_ref& ref);
    /// The same for so many tasks of the step on the candidates.
    bool claim_room_on(const worker_index::workers& candidates,
                       const waiting_step& moved, int count);
    /// Returns whether the run may be stopped now for work of a higher rank.
    static bool is_stoppable(const job_entry& job, const task_ref& ref);
    void preempt(const std::vector<victim>& victims, const waiting_step& step);
    /// Returns the workers whose runs change when this one is preempted.
    static std::set<std::string> workers_changed_by(const victim& preempted);
    bool reclaim_for_task(waiting_step& step);
    bool reclaim_for_gang(waiting_step& step, bool across);

    dispatcher& m_state;
    instant m_now;
    instant m_wall_now;
    std::set<std::string> m_accounts_within_guarantee;
    /// The number of free GPUs, by pool.
    std::map<std::string, std::int64_t> m_free_gpus;
    worker_index m_index;
    /// The number of usable workers on trial, by pool.
    std::map<std::string, std::size_t> m_trials;
    /// The resources for runs that are moved and have not ended yet, by worker.
    std::map<std::string, resources> m_claimed;
    /// The results of expected_releases() in this pass, by worker.
    std::map<std::string, std::vector<capacity_release>> m_expected_releases;
    /// The results of victims_on() in this pass, by worker.
    std::map<std::string, std::vector<victim>> m_victims;
};

} // namespace kingcuprudder::dispatch

#endif

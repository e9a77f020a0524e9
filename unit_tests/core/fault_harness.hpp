#ifndef KINGCUPRUDDER_UNIT_TESTS_FAULT_HARNESS_HPP
#define KINGCUPRUDDER_UNIT_TESTS_FAULT_HARNESS_HPP

#include "fault_event_queue.hpp"
#include "fault_store.hpp"
#include "fault_worker.hpp"
#include <kingcuprudder/history/history_recorder.hpp>
#include <kingcuprudder/region/region_owner.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace kingcuprudder
{

/// The steps of a job at which faults are injected.
enum class fault_step
{
    accept,
    record,
    decide,
    reserve,
    commit,
    start,
    run,
    report,
    answer,
    release,
    reclaim,
    hand_over,
    drain,
};

/// Deliberate defects of the code around the owner, for the checker's tests.
struct harness_hooks
{
    /// Changes the effects of an instance before they are carried out.
    std::function<void(std::size_t, std::vector<owner_effect>&)> m_on_effects;
    /// Changes a call before it reaches an owner.
    std::function<void(caller_call&)> m_on_caller_call;
};

/// Drives several region owners against an in-memory store, in-memory workers
/// and callers in virtual time, and records a history.
class fault_harness
{
public:
    struct options
    {
        std::uint64_t m_seed = 1;
        std::size_t m_instances = 3;
        std::size_t m_workers = 6;
        std::uint32_t m_accelerators = 4;
        std::size_t m_workers_per_rack = 2;
    };

    explicit fault_harness(const options& wanted);

    instant now() const { return m_queue.now(); }
    void run_for(span time) { run_until(now() + time); }
    void run_until(instant until);

    /// Runs until every accepted job has ended, at most for `limit`.
    bool run_to_end(span limit);

    /// A caller submits a job; it repeats the call until it is answered, and
    /// if persistent also after "not run".
    void submit(const job_spec& spec, const fault_job& behaviour,
                bool persistent);
    void cancel(const job_key& job);

    /// A caller sends a request that is not idempotent: asks for a permit,
    /// executes it, reports the outcome.
    void request(const std::string& id);

    /// Passes a call directly to an instance. The answer is available to
    /// harness_hooks::m_on_effects only.
    void call(std::size_t instance, const caller_call& call);

    /// Injects faults. A killed instance restarts after `absence`.
    void kill(std::size_t instance, span absence);
    void freeze(std::size_t instance, span time);
    void drain(std::size_t instance);
    void lose_worker(std::size_t worker, span absence);
    void block_worker(std::size_t worker, bool commands, bool reports,
                      span time);
    void set_failing(std::size_t worker, span time);
    void silence_callers(span time) { m_callers_silent_until = now() + time; }
    void lose_rack(span absence);
    void scale_run_times(std::int64_t factor, std::int64_t divisor);
    void announce_draining(std::size_t worker);

    /// Calls the hook once, at the next occurrence of the step.
    void on_step(fault_step step, std::function<void()> hook);

    /// The instance that owns the region, if one does.
    std::optional<std::size_t> owner() const;
    region_owner& instance(std::size_t index)
    {
        return *m_instances[index].m_owner;
    }
    std::size_t instances() const { return m_instances.size(); }
    fault_store& store() { return m_store; }
    fault_worker& worker_at(std::size_t index) { return *m_workers[index]; }
    std::size_t workers() const { return m_workers.size(); }
    history_recorder& history() { return m_history; }
    std::mt19937_64& random() { return m_random; }
    fault_event_queue& queue() { return m_queue; }
    harness_hooks& hooks() { return m_hooks; }
    std::size_t accepted() const { return m_accepted.size(); }
    bool all_ended() const;
    std::string unfinished() const;

    /// The bound that reclaims are checked against.
    void set_reclaim_bound(span bound) { m_reclaim_bound = bound; }

    /// Sets the settings of all instances.
    void set_settings(const effective_settings& settings);
    const effective_settings& settings() const { return m_settings; }

    /// Sends the instance list to all instances.
    void send_worker_list();

private:
    struct simulated_instance
    {
        /// Empty while the instance is down.
        std::unique_ptr<region_owner> m_owner;
        std::uint64_t m_incarnation = 0;
        instant m_frozen_until;
        bool m_draining = false;
    };

    /// One call of a caller that waits for its answer.
    struct open_call
    {
        history_call_id m_history = 0;
        std::string m_caller;
        std::string m_subject;
        std::function<void(const result<caller_reply>&)> m_on_answer;
    };

    using event = std::function<region_owner::effects(region_owner&)>;

    void start_instance(std::size_t index);
    void tick(std::size_t index, std::uint64_t incarnation);
    /// Delivers an event to an instance, after its pause if it is frozen.
    void deliver(std::size_t index, std::uint64_t incarnation, event handle);
    void carry_out(std::size_t index, region_owner::effects effects);
    void carry_out_one(std::size_t index, const store_call& call);
    void carry_out_one(std::size_t index, const worker_call& call);
    void carry_out_one(std::size_t index, const caller_answer& answer);
    void carry_out_one(std::size_t, const stepped_down&) {}
    void observe_write(const store_put& operation);
    void observe_record(const log_record& record);
    void observe_stop(const attempt_key& attempt);
    void end_reclaim(const attempt_key& attempt);
    void reached(fault_step step);
    void on_heartbeat(fault_worker& from);
    void send_owner_key(std::size_t index);
    span latency();

    /// Sends a call to an instance and retries on the next one until it is
    /// answered and not refused.
    void send_call(const std::string& caller, call_kind kind,
                   const std::string& subject, bool idempotent,
                   decltype(caller_call::m_request) request,
                   std::function<void(const result<caller_reply>&)> on_answer);
    void await_end(const job_key& job);
    void note_status(const job_status& status);

    fault_event_queue m_queue;
    options m_options;
    std::mt19937_64 m_random;
    history_recorder m_history;
    fault_store m_store;
    owner_codec m_codec;
    effective_settings m_settings;
    harness_hooks m_hooks;
    std::vector<simulated_instance> m_instances;
    std::vector<std::unique_ptr<fault_worker>> m_workers;
    std::set<std::size_t> m_unlisted;
    std::map<job_key, fault_job> m_jobs;
    std::set<job_key> m_accepted;
    std::set<job_key> m_ended;
    std::size_t m_open_submissions = 0;
    std::map<call_number, open_call> m_calls;
    call_number m_last_call = 0;
    std::size_t m_next_instance = 0;
    instant m_callers_silent_until;
    std::map<fault_step, std::vector<std::function<void()>>> m_step_hooks;
    std::set<attempt_key> m_reclaimed; ///< Not yet sent to a worker.
    span m_reclaim_bound = span::seconds(2);
};

} // namespace kingcuprudder

#endif

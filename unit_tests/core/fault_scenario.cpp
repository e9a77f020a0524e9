#include "fault_scenario.hpp"

#include <algorithm>
#include <memory>

namespace kingcuprudder
{

namespace
{

/// Time until the first owner has claimed the workers.
constexpr span warm_up = span::seconds(2);
/// The longest job needs 20 s, 2,000 s when its run time is wrong twice by a
/// factor of ten, and may be interrupted.
constexpr span time_limit = span::hours(2);

job_spec make_job(const std::string& account, const std::string& id,
                  const shape& needed)
{
    job_spec spec;
    spec.m_key = {account_id(account), job_id(id)};
    spec.m_shape = needed;
    spec.m_declared_run_time = span::seconds(5);
    return spec;
}

struct planned_job
{
    span m_at;
    job_spec m_spec;
    fault_job m_behaviour;
    bool m_persistent = true;
};

shape gang_of(std::uint32_t tasks, std::uint32_t accelerators)
{
    return {tasks, accelerators, 1, 1, proximity::region};
}

planned_job plan_job(std::int64_t at_ms, const std::string& id,
                     const shape& needed, std::int64_t run_s)
{
    planned_job each;
    each.m_at = span(at_ms);
    each.m_spec = make_job("a", id, needed);
    each.m_behaviour.m_run_time = span::seconds(run_s);
    return each;
}

std::vector<planned_job> planned_jobs(instant start)
{
    std::vector<planned_job> jobs;
    jobs.push_back(plan_job(200, "gang", gang_of(4, 2), 8));
    jobs.push_back(plan_job(300, "once", gang_of(2, 4), 6));
    jobs.back().m_spec.m_idempotent = false;
    jobs.back().m_spec.m_preemptible = false;
    jobs.push_back(plan_job(400, "filler1", gang_of(2, 2), 20));
    jobs.push_back(plan_job(450, "filler2", gang_of(2, 2), 20));
    jobs.push_back(plan_job(1000, "single", gang_of(1, 1), 3));
    jobs.back().m_spec.m_idempotent = false;
    jobs.back().m_persistent = false;
    jobs.push_back(plan_job(1500, "fails", gang_of(1, 2), 3));
    jobs.back().m_behaviour.m_failures = 1;
    jobs.push_back(plan_job(2000, "cancelled", gang_of(1, 2), 60));
    jobs.back().m_persistent = false;
    jobs.push_back(plan_job(3000, "urgent", gang_of(4, 2), 3));
    jobs.back().m_spec.m_urgent = true;
    jobs.back().m_spec.m_idempotent = false;
    jobs.back().m_spec.m_preemptible = false;
    jobs.push_back(plan_job(3500, "deadline", gang_of(6, 4), 3));
    jobs.back().m_spec.m_deadline = start + span::seconds(15);
    for (planned_job& each : jobs)
    {
        each.m_behaviour.m_idempotent = each.m_spec.m_idempotent;
    }
    return jobs;
}

void submit_many(fault_harness& harness, const std::string& prefix, int count,
                 span run_time)
{
    const std::string unique =
        prefix + std::to_string(harness.now().count()) + "-";
    for (int each = 0; each < count; ++each)
    {
        const job_spec spec =
            make_job("b", unique + std::to_string(each), gang_of(1, 1));
        harness.submit(spec, {1, true, run_time, 0}, each % 2 == 0);
    }
}

void cancel_many(fault_harness& harness)
{
    constexpr int count = 200;
    const std::string prefix =
        "wave" + std::to_string(harness.now().count()) + "-";
    for (int each = 0; each < count; ++each)
    {
        const job_spec spec =
            make_job("b", prefix + std::to_string(each), gang_of(1, 4));
        harness.submit(spec, {1, true, span::seconds(5), 0}, each % 2 == 0);
    }
    harness.queue().after(
        span::seconds(1),
        [&harness, prefix]
        {
            for (int each = 0; each < count; ++each)
            {
                harness.cancel(
                    {account_id("b"), job_id(prefix + std::to_string(each))});
            }
        });
}

std::size_t owner_or_first(const fault_harness& harness)
{
    return harness.owner().value_or(0);
}

/// Returns the first running worker that holds tasks, so that a worker fault
/// affects tasks. Returns 0 if no worker holds tasks.
std::size_t busy_worker(fault_harness& harness)
{
    for (std::size_t index = 0; index < harness.workers(); ++index)
    {
        if (harness.worker_at(index).up() &&
            harness.worker_at(index).tasks() > 0)
        {
            return index;
        }
    }
    return 0;
}

/// A gang may run incompletely until a lost worker's lease has expired and the
/// stop is recorded, which an outage, a pause or a takeover delays.
span partial_bound(const std::vector<timed_fault>& faults)
{
    span bound = span::seconds(90);
    for (const timed_fault& each : faults)
    {
        switch (each.m_fault)
        {
        case fault::store_down:
            bound = bound + span::seconds(75);
            break;
        case fault::owner_killed:
        case fault::owner_frozen:
        case fault::store_slow:
            bound = bound + span::seconds(30);
            break;
        case fault::all_dead:
            bound = bound + span::seconds(80);
            break;
        default:
            break;
        }
    }
    return bound;
}

/// A reclaim keeps its bound unless the store, the owner or a worker of the
/// reclaimed job is unreachable. In that case the reclaim must end once all of
/// them are reachable again.
span reclaim_bound(const std::vector<timed_fault>& faults)
{
    const bool undisturbed =
        std::all_of(faults.begin(), faults.end(),
                    [](const timed_fault& each)
                    {
                        return each.m_fault == fault::caller_silent ||
                               each.m_fault == fault::worker_fails ||
                               each.m_fault == fault::cancellations ||
                               each.m_fault == fault::burst ||
                               each.m_fault == fault::runs_longer ||
                               each.m_fault == fault::runs_shorter;
                    });
    return undisturbed ? span::seconds(2) : span::minutes(5);
}

} // namespace

std::string_view to_string(fault value)
{
    static constexpr std::array<std::string_view, all_faults.size()> names{
        "owner_killed",  "owner_frozen", "lease_expired",    "store_down",
        "store_slow",    "answer_lost",  "write_delayed",    "caller_silent",
        "worker_fails",  "worker_lost",  "commands_blocked", "reports_blocked",
        "cancellations", "burst",        "runs_longer",      "runs_shorter",
        "rack_lost",     "all_dead"};
    return names[static_cast<std::size_t>(value)];
}

std::string_view to_string(fault_step value)
{
    static constexpr std::array<std::string_view, all_steps.size()> names{
        "accept", "record", "decide",  "reserve", "commit",    "start", "run",
        "report", "answer", "release", "reclaim", "hand_over", "drain"};
    return names[static_cast<std::size_t>(value)];
}

void inject(fault_harness& harness, fault value)
{
    const std::size_t owner = owner_or_first(harness);
    const std::size_t worker = busy_worker(harness);
    switch (value)
    {
    case fault::owner_killed:
        harness.kill(owner, span::seconds(5));
        break;
    case fault::owner_frozen:
        harness.freeze(owner, span::seconds(20));
        break;
    case fault::lease_expired:
        harness.freeze(owner, span(4300));
        break;
    case fault::store_down:
        harness.store().set_down_until(harness.now() + span::seconds(60));
        break;
    case fault::store_slow:
        harness.store().set_slow_until(harness.now() + span::seconds(20));
        break;
    case fault::answer_lost:
        harness.store().lose_answers(2);
        break;
    case fault::write_delayed:
        harness.store().delay_writes(2);
        break;
    case fault::caller_silent:
        harness.silence_callers(span::seconds(10));
        break;
    case fault::worker_fails:
        harness.set_failing(worker, span::seconds(60));
        break;
    case fault::worker_lost:
        harness.lose_worker(worker, span::seconds(90));
        break;
    case fault::commands_blocked:
        harness.block_worker(worker, true, false, span::seconds(100));
        break;
    case fault::reports_blocked:
        harness.block_worker(worker, false, true, span::seconds(100));
        break;
    case fault::cancellations:
        cancel_many(harness);
        break;
    case fault::burst:
        submit_many(harness, "burst", 100, span::seconds(2));
        break;
    case fault::runs_longer:
        harness.scale_run_times(10, 1);
        break;
    case fault::runs_shorter:
        harness.scale_run_times(1, 10);
        break;
    case fault::rack_lost:
        harness.lose_rack(span::seconds(120));
        break;
    case fault::all_dead:
        for (std::size_t each = 0; each < harness.instances(); ++each)
        {
            harness.kill(each, span::seconds(10));
        }
        break;
    }
}

void load_scenario(fault_harness& harness)
{
    for (const planned_job& each : planned_jobs(harness.now()))
    {
        harness.queue().after(each.m_at,
                              [&harness, each] {
                                  harness.submit(each.m_spec, each.m_behaviour,
                                                 each.m_persistent);
                              });
    }
    harness.queue().after(
        span::seconds(4),
        [&harness] {
            harness.cancel({account_id("a"), job_id("cancelled")});
        });
    for (const std::string id : {"request1", "request2", "request3"})
    {
        harness.queue().after(span(2500),
                              [&harness, id] { harness.request(id); });
    }
}

scenario_outcome run_scenario(fault_step step,
                              const std::vector<timed_fault>& faults,
                              std::uint64_t seed)
{
    fault_harness harness({.m_seed = seed});
    harness.set_reclaim_bound(reclaim_bound(faults));
    harness.run_for(warm_up);
    scenario_outcome outcome;
    harness.on_step(step,
                    [&]
                    {
                        outcome.m_step_reached = true;
                        for (const timed_fault& each : faults)
                        {
                            harness.queue().after(
                                each.m_delay, [&harness, each]
                                { inject(harness, each.m_fault); });
                        }
                    });
    load_scenario(harness);
    harness.queue().after(span(2500),
                          [&]
                          {
                              const std::size_t owner = owner_or_first(harness);
                              if (step == fault_step::hand_over)
                              {
                                  harness.kill(owner, span::seconds(5));
                              }
                              else if (step == fault_step::drain)
                              {
                                  harness.drain(owner);
                              }
                          });
    // The load takes 4 s; the faults' own submissions follow the step.
    harness.run_for(span::seconds(12));
    outcome.m_all_ended = harness.run_to_end(time_limit);
    outcome.m_unfinished = harness.unfinished();
    history_bounds bounds;
    bounds.m_partial_gang = partial_bound(faults);
    outcome.m_violations = check_history(harness.history().events(), bounds);
    return outcome;
}

std::string describe(const scenario_outcome& outcome)
{
    std::string text;
    if (!outcome.m_step_reached)
    {
        text += "the step was not reached\n";
    }
    if (!outcome.m_all_ended)
    {
        text += "not ended: " + outcome.m_unfinished + "\n";
    }
    for (const history_violation& each : outcome.m_violations)
    {
        text += std::string(to_string(each.m_rule)) + ": " + each.m_text + "\n";
    }
    return text;
}

} // namespace kingcuprudder

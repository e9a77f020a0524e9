#include <kingcuprudder/node/clocks.hpp>

#include <soak/promise_watch.hpp>

#include <chrono>

namespace kingcuprudder::soak
{

namespace
{

constexpr std::chrono::milliseconds sample_interval(250);
const std::string pool_name = "pool";

std::string job_of(const std::string& task)
{
    return task.substr(0, task.find('.'));
}

dispatch::job_submission submission_of(const called_job& job,
                                       const job_kind& kind)
{
    dispatch::job_submission submission;
    submission.m_id = job.m_plan.m_id;
    submission.m_queue = kind.m_queue;
    submission.m_policy.m_pool = pool_name;
    submission.m_policy.m_priority = kind.m_priority;
    submission.m_policy.m_max_attempts = kind.m_max_attempts;
    for (const planned_step& each : job.m_plan.m_steps)
    {
        dispatch::job_step& step = submission.m_steps.emplace_back();
        step.m_count = each.m_tasks;
        step.m_demand = demand_of(job.m_plan, kind);
        step.m_gang = is_gang(job.m_plan, kind);
        step.m_persistent = job.m_plan.m_persistent;
        if (each.m_after_previous)
        {
            step.m_depends_on = {static_cast<int>(submission.m_steps.size()) -
                                 2};
        }
    }
    submission.m_repeats = job.m_plan.m_repeats;
    if (job.m_plan.m_repeats > 1)
    {
        submission.m_first_due = job.m_first_due;
        submission.m_interval = job.m_plan.m_interval;
    }
    return submission;
}

status_call status_call_of(const call_end& call)
{
    status_call converted;
    converted.m_process = call.m_process;
    converted.m_sent_at = call.m_sent_at;
    converted.m_ended_at = call.m_ended_at;
    converted.m_in_touch = call.m_in_touch;
    converted.m_result = result_of(call);
    converted.m_state = state_of(call).value_or(dispatch::job_state::queued);
    return converted;
}

std::vector<status_call> status_calls_of(const std::vector<call_end>& calls)
{
    std::vector<status_call> converted;
    converted.reserve(calls.size());
    for (const call_end& each : calls)
    {
        converted.push_back(status_call_of(each));
    }
    return converted;
}

} // namespace

promise_watch::promise_watch(const deployment_callers& callers,
                             const stand_ins::simulated_minions& minions,
                             const disruption_record& disruptions,
                             const deployment_sheet& sheet)
    : m_callers(callers), m_minions(minions), m_disruptions(disruptions),
      m_sheet(sheet), m_sampler([this](const std::string& task)
                                { return demand_of_task(task); }),
      m_idle_checks(sheet.m_bounds), m_last_sample(node::boottime_now())
{
    callers.for_each_job(
        [this](const called_job& job)
        {
            m_demands[job.m_plan.m_id] =
                demand_of(job.m_plan, m_sheet.m_kinds[job.m_plan.m_kind]);
        });
    m_thread = std::thread([this] { run(); });
}

promise_watch::~promise_watch()
{
    m_stopping = true;
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

dispatch::resources promise_watch::demand_of_task(const std::string& task) const
{
    // A job of other callers has no demand here.
    const auto found = m_demands.find(job_of(task));
    return found == m_demands.end() ? dispatch::resources() : found->second;
}

void promise_watch::run()
{
    while (!m_stopping)
    {
        take_sample();
        std::this_thread::sleep_for(sample_interval);
    }
}

void promise_watch::take_sample()
{
    const instant now = node::boottime_now();
    if (now <= m_last_sample)
    {
        return;
    }
    const stand_ins::minions_snapshot snapshot =
        m_minions.snapshot(m_known_events);
    m_known_events = snapshot.m_event_count;
    note_events(snapshot.m_events);
    deployment_sample sample = m_sampler.sample(snapshot, now);
    sample.m_calm = m_disruptions.is_free_since(m_last_sample);
    sample.m_finished = m_finished;
    sample.m_waiting = waiting();
    m_last_sample = now;
    for (std::string& each : m_idle_checks.observe(sample))
    {
        m_violations.push_back(std::move(each));
    }
}

void promise_watch::note_events(const std::vector<stand_ins::run_event>& events)
{
    for (const stand_ins::run_event& each : events)
    {
        const std::string job = job_of(each.m_task);
        if (!each.m_outcome)
        {
            m_begun_at.emplace(job, each.m_at);
            continue;
        }
        m_ended_runs[job].push_back(
            {each.m_task, each.m_run, *each.m_outcome, each.m_at});
        if (*each.m_outcome == dispatch::run_outcome::done)
        {
            m_done[job].insert(each.m_task);
        }
    }
}

std::vector<waiting_task> promise_watch::waiting() const
{
    std::vector<waiting_task> found;
    const instant now = node::wall_now();
    m_callers.for_each_job(
        [&](const called_job& job)
        {
            if (!job.m_accepted_at || job.m_cancel_sent_at || job.has_ended())
            {
                return;
            }
            const auto done = m_done.find(job.m_plan.m_id);
            const std::vector<waiting_task> tasks = waiting_tasks(
                submission_of(job, m_sheet.m_kinds[job.m_plan.m_kind]),
                done == m_done.end() ? std::set<std::string>() : done->second,
                now);
            found.insert(found.end(), tasks.begin(), tasks.end());
        });
    return found;
}

job_history promise_watch::history_of(const called_job& job) const
{
    job_history history;
    history.m_job = submission_of(job, m_sheet.m_kinds[job.m_plan.m_kind]);
    history.m_submitted = job.m_submitted;
    history.m_accepted_at = job.m_accepted_at;
    history.m_cancel_sent_at = job.m_cancel_sent_at;
    const auto begun = m_begun_at.find(job.m_plan.m_id);
    if (begun != m_begun_at.end())
    {
        history.m_begun_at = begun->second;
    }
    const auto ended = m_ended_runs.find(job.m_plan.m_id);
    if (ended != m_ended_runs.end())
    {
        history.m_ended_runs = ended->second;
    }
    history.m_calls = status_calls_of(job.m_reads);
    history.m_final_calls = status_calls_of(job.m_final_reads);
    return history;
}

std::vector<std::string> promise_watch::stop()
{
    m_stopping = true;
    m_thread.join();
    take_sample();
    std::vector<job_history> histories;
    m_callers.for_each_job([&](const called_job& job)
                           { histories.push_back(history_of(job)); });
    const promise_bounds& bounds = m_sheet.m_bounds;
    const auto add = [this](const std::vector<std::string>& found)
    { m_violations.insert(m_violations.end(), found.begin(), found.end()); };
    for (const job_history& each : histories)
    {
        add(promise_violations(each, bounds));
    }
    for (const pending_answer& each : m_callers.pending_answers())
    {
        add(pending_violations(each, histories, bounds));
    }
    return m_violations;
}

} // namespace kingcuprudder::soak

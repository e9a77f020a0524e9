#include <kingcuprudder/dispatch/crash_log.hpp>

#include <set>

namespace kingcuprudder::dispatch
{

namespace
{

// A run that is not suspected is logged up to this age.
constexpr span logged_run_age = span(5000);

std::string text(bool value)
{
    return value ? "true" : "false";
}

/// Returns the age of the run when its worker became silent; negative if its
/// start was sent later, empty if one of the times is not known.
std::optional<span> age_of(const lost_run& run, const worker_loss& loss)
{
    if (!run.m_first_sent_at || !loss.m_silent_since)
    {
        return std::nullopt;
    }
    return *loss.m_silent_since - *run.m_first_sent_at;
}

std::int64_t other_jobs_with_new_run(const worker_loss& loss,
                                     const std::string& job)
{
    std::set<std::string> jobs;
    for (const lost_run& other : loss.m_runs)
    {
        const std::optional<span> age = age_of(other, loss);
        if (other.m_job != job && age && *age >= span(0) &&
            *age <= crash_after_start)
        {
            jobs.insert(other.m_job);
        }
    }
    return static_cast<std::int64_t>(jobs.size());
}

} // namespace

void append(decision_fields& fields, const decision_fields& added)
{
    fields.insert(fields.end(), added.begin(), added.end());
}

decision_fields crash_fields(const task_progress& task)
{
    return {{"certain", number(task.m_crashes.m_certain)},
            {"possible", number(task.m_crashes.m_possible)},
            {"slight", number(task.m_crashes.m_slight)},
            {"workers_ended", number(task.m_workers_ended)}};
}

decision_fields loss_fields(const worker_loss& loss, const worker_entry& worker,
                            instant now)
{
    return {{"address", worker.m_description.m_address},
            {"tasks", number(static_cast<std::int64_t>(loss.m_runs.size()))},
            {"draining", text(worker.m_description.m_draining)},
            {"with_others", text(loss.m_with_others)},
            {"follows_a_start", text(loss.follows_a_start())},
            {"process_ended", text(loss.m_process_ended)},
            {"found_replaced", text(loss.m_found_replaced)},
            {"cut_off", text(worker.m_cut_off)},
            {"unreliable", text(loss.m_unreliable)},
            {"last_answer_age_ms", number((now - loss.m_last_answer).count())},
            {"silent_ms", loss.m_silent_since
                              ? number((now - *loss.m_silent_since).count())
                              : "never answered"}};
}

decision_fields run_fields(const worker_loss& loss, std::size_t position,
                           int run)
{
    const lost_run& lost = loss.m_runs[position];
    const std::optional<span> age = age_of(lost, loss);
    return {
        {"run", number(run)},
        {"run_age_ms", age ? number(age->count()) : "unknown"},
        {"accepted", text(lost.m_accepted)},
        {"other_new_jobs", number(other_jobs_with_new_run(loss, lost.m_job))},
        {"address_lost_before", text(lost.m_repeated)}};
}

bool is_worth_a_line(const lost_run& run, const worker_loss& loss,
                     const task_progress& progress)
{
    const std::optional<span> age = age_of(run, loss);
    return progress.m_crashes.any() || (age && *age <= logged_run_age);
}

} // namespace kingcuprudder::dispatch

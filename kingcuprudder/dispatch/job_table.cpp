#include <kingcuprudder/base/assert.hpp>
#include <kingcuprudder/dispatch/job_table.hpp>

#include <algorithm>

namespace kingcuprudder::dispatch
{

namespace
{

// A write of a record needs entries for its expected revision and its new
// value. That of an ended job also deletes the submission and the cancellation
// request.
constexpr std::size_t entries_per_record = 2;
constexpr std::size_t entries_per_final_record = 4;
// Predictions are reused up to this age, as they change little within it.
constexpr span prediction_max_age = span(300);

/// Returns the length of the critical path from each step.
std::vector<span> critical_paths(const std::vector<job_step>& steps,
                                 const std::vector<span>& predicted)
{
    std::vector<span> paths(steps.size());
    for (std::size_t at = steps.size(); at-- > 0;)
    {
        span longest;
        for (std::size_t later = at + 1; later < steps.size(); ++later)
        {
            const std::vector<int>& after = steps[later].m_depends_on;
            if (std::find(after.begin(), after.end(), static_cast<int>(at)) !=
                after.end())
            {
                longest = std::max(longest, paths[later]);
            }
        }
        paths[at] = predicted[at] + longest;
    }
    return paths;
}

bool has_no_active_runs(const job_entry& job)
{
    for (const auto& repeat : job.m_tasks)
    {
        for (const auto& step : repeat)
        {
            for (const task_entry& task : step)
            {
                if (task.m_active)
                {
                    return false;
                }
            }
        }
    }
    return true;
}

void restore_progress(job_entry& job, const job_progress& progress)
{
    job.m_state = progress.m_state;
    for (std::size_t repeat = 0; repeat < progress.m_tasks.size(); ++repeat)
    {
        const auto& steps = progress.m_tasks[repeat];
        for (std::size_t step = 0; step < steps.size(); ++step)
        {
            const bool persistent =
                job.m_submission.m_steps.at(step).m_persistent;
            for (std::size_t index = 0; index < steps[step].size(); ++index)
            {
                task_progress& restored =
                    job.m_tasks.at(repeat).at(step).at(index).m_progress;
                restored = steps[step][index];
                if (persistent)
                {
                    // Earlier versions recorded each failed run of such a task.
                    restored.m_failed_runs.clear();
                }
            }
        }
    }
}

} // namespace

std::string_view to_string(run_phase phase)
{
    switch (phase)
    {
    case run_phase::assigned:
        return "assigned";
    case run_phase::sent:
        return "sent";
    case run_phase::unverified:
        return "unverified";
    case run_phase::confirmed:
        return "confirmed";
    case run_phase::stopping:
        return "stopping";
    }
    return "unknown";
}

span job_entry::longest_expected(const task_ref& ref) const
{
    return std::max(step(ref).m_estimate, m_predicted_durations[ref.m_step]);
}

bool job_entry::has_task(const task_ref& ref) const
{
    return ref.m_repeat < static_cast<int>(m_tasks.size()) &&
           ref.m_step < static_cast<int>(m_tasks[ref.m_repeat].size()) &&
           ref.m_index <
               static_cast<int>(m_tasks[ref.m_repeat][ref.m_step].size());
}

void job_entry::refresh_prediction(const duration_model& model, instant now)
{
    if (!m_predicted_durations.empty() &&
        now - m_predicted_at < prediction_max_age)
    {
        return;
    }
    m_predicted_at = now;
    m_predicted_durations.clear();
    for (const job_step& step : m_submission.m_steps)
    {
        m_predicted_durations.push_back(
            model.predict(m_submission.m_queue, step.m_estimate));
    }
    m_critical_path_from =
        critical_paths(m_submission.m_steps, m_predicted_durations);
    m_critical_path = span(0);
    for (const span path : m_critical_path_from)
    {
        m_critical_path = std::max(m_critical_path, path);
    }
}

job_entry& job_table::add(const job_submission& submission,
                          const std::optional<job_progress>& progress,
                          std::int64_t revision, instant accepted_at)
{
    job_entry job;
    job.m_submission = submission;
    job.m_accepted_at = accepted_at;
    job.m_revision = revision;
    job.m_tasks.resize(submission.m_repeats);
    for (auto& repeat : job.m_tasks)
    {
        repeat.resize(submission.m_steps.size());
        for (std::size_t step = 0; step < repeat.size(); ++step)
        {
            repeat[step].resize(submission.m_steps[step].m_count);
        }
    }
    if (progress)
    {
        restore_progress(job, *progress);
    }
    return m_jobs.insert_or_assign(submission.m_id, std::move(job))
        .first->second;
}

job_entry* job_table::find(const std::string& id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

job_entry* job_table::find_task(const task_ref& ref)
{
    job_entry* job = find(ref.m_job);
    return job != nullptr && job->has_task(ref) ? job : nullptr;
}

void job_table::mark_changed(job_entry& job)
{
    ++job.m_version;
    enqueue_write(job);
}

void job_table::enqueue_write(job_entry& job)
{
    if (job.m_write_sequence == 0)
    {
        job.m_write_sequence = ++m_last_write_sequence;
        m_pending_writes.emplace(job.m_write_sequence, job.m_submission.m_id);
    }
}

std::vector<job_write> job_table::take_writes(std::size_t max_entries,
                                              const write_filter& may_take)
{
    std::vector<job_write> writes;
    std::size_t entries = 0;
    for (auto each = m_pending_writes.begin(); each != m_pending_writes.end();)
    {
        const std::string id = each->second;
        job_entry* job = find(id);
        KCR_ASSERT(job != nullptr);
        const bool ended = is_final(job->m_state);
        const std::size_t needed =
            ended ? entries_per_final_record : entries_per_record;
        if (entries + needed > max_entries)
        {
            break;
        }
        if (!may_take(id, ended))
        {
            ++each;
            continue;
        }
        entries += needed;
        each = m_pending_writes.erase(each);
        job->m_write_sequence = 0;
        writes.push_back(
            {id, job->m_revision, job->m_version, progress_of(*job)});
    }
    return writes;
}

void job_table::write_failed(const std::string& id)
{
    if (job_entry* job = find(id))
    {
        enqueue_write(*job);
    }
}

void job_table::write_refused(const std::string& id)
{
    if (job_entry* job = find(id))
    {
        job->m_record_refused = true;
        enqueue_write(*job);
    }
}

void job_table::stored(const std::string& id, std::int64_t version,
                       std::int64_t revision)
{
    job_entry* job = find(id);
    if (job == nullptr)
    {
        return;
    }
    job->m_revision = revision;
    job->m_record_refused = false;
    job->m_stored_version = std::max(job->m_stored_version, version);
    if (is_final(job->m_state) && job->m_stored_version == job->m_version &&
        has_no_active_runs(*job))
    {
        m_pending_writes.erase(job->m_write_sequence);
        m_jobs.erase(id);
    }
}

job_progress job_table::progress_of(const job_entry& job) const
{
    job_progress progress;
    progress.m_state = job.m_state;
    progress.m_account = job.m_submission.m_account;
    for (const auto& repeat : job.m_tasks)
    {
        auto& steps = progress.m_tasks.emplace_back();
        for (const auto& step : repeat)
        {
            auto& tasks = steps.emplace_back();
            for (const task_entry& task : step)
            {
                tasks.push_back(task.m_progress);
            }
        }
    }
    return progress;
}

} // namespace kingcuprudder::dispatch

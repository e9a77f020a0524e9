#include <kingcuprudder/codec/dispatch_codec.hpp>
#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/node/record_keys.hpp>
#include <kingcuprudder/node/scheduler.hpp>

#include <algorithm>
#include <exception>

namespace kingcuprudder::node
{

namespace
{

// Timeouts of the pages that a new leader reads: the first one, by which each
// failed page lengthens it, and the longest.
constexpr span first_page_timeout = span(500);
constexpr span max_page_timeout = span(1500);
constexpr span watch_wait = span(1500);
// A cancellation whose job is not known by then is not needed: the job has
// ended.
constexpr span unused_cancellation_time = span(5000);
// Each worker updates its record about once per second, and few of these
// changes affect scheduling.
constexpr span worker_batching_delay = span(300);

std::string after_prefix(const std::string& key, const std::string& prefix)
{
    return key.substr(prefix.size());
}

/// Returns whether the progress is that of a new job, or has an entry for each
/// task of the submission.
bool belongs_to(const dispatch::job_progress& progress,
                const dispatch::job_submission& submission)
{
    if (progress.m_tasks.empty())
    {
        return progress.m_state == dispatch::job_state::queued;
    }
    const auto has_all_tasks = [&submission](const auto& repeat)
    {
        return std::equal(
            repeat.begin(), repeat.end(), submission.m_steps.begin(),
            submission.m_steps.end(),
            [](const auto& tasks, const dispatch::job_step& step)
            { return static_cast<int>(tasks.size()) == step.m_count; });
    };
    return static_cast<int>(progress.m_tasks.size()) == submission.m_repeats &&
           std::all_of(progress.m_tasks.begin(), progress.m_tasks.end(),
                       has_all_tasks);
}

} // namespace

// Loading and watching the stored jobs, cancellations and workers.

bool scheduler::load()
{
    ++m_load_attempts;
    if (m_lists_to_load.empty())
    {
        // Progress is read after the submissions, so that it has each of them.
        for (const std::string& prefix :
             {m_environment.m_records.m_workers_prefix,
              record_keys::live_prefix, record_keys::progress_prefix})
        {
            m_lists_to_load.emplace_back(m_environment.m_store, prefix);
        }
    }
    for (list_reader& each : m_lists_to_load)
    {
        while (!each.is_complete())
        {
            const span timeout = std::min(first_page_timeout * m_load_attempts,
                                          max_page_timeout);
            const std::optional<store_failure> failure =
                each.read_page(timeout);
            if (failure)
            {
                log_failed_load(each.prefix(), *failure);
                return false;
            }
            if (m_stopping)
            {
                return false;
            }
        }
    }
    take_over(m_lists_to_load[0].list(), m_lists_to_load[1].list(),
              m_lists_to_load[2].list());
    m_lists_to_load.clear();
    return true;
}

void scheduler::take_over(const record_list& workers, const record_list& live,
                          const record_list& progress)
{
    apply_worker_list(workers);
    load_jobs(live, progress);
    const std::size_t records = workers.m_records.size() +
                                live.m_records.size() +
                                progress.m_records.size();
    m_environment.m_log.write(
        "scheduler", "state_loaded", "",
        {{"workers", std::to_string(workers.m_records.size())},
         {"jobs", std::to_string(m_dispatcher.jobs().size())},
         {"ended_jobs", std::to_string(m_ended_jobs.size())},
         {"unusable_jobs", std::to_string(m_unusable_jobs.size())},
         {"records", std::to_string(records)},
         {"attempts", std::to_string(m_load_attempts)},
         {"took_ms",
          std::to_string((boottime_now() - m_load_began_at).count())},
         {"revision", std::to_string(live.m_revision)},
         {"fence", std::to_string(m_term->fence())}});
    watch_records();
}

void scheduler::log_failed_load(const std::string& prefix, store_failure reason)
{
    m_environment.m_log.write(
        "scheduler", "state_not_loaded", "",
        {{"prefix", prefix},
         {"reason", std::string(to_string(reason))},
         {"attempt", std::to_string(m_load_attempts)},
         {"waited_ms",
          std::to_string((boottime_now() - m_load_began_at).count())}});
}

void scheduler::load_jobs(const record_list& live, const record_list& progress)
{
    m_loaded_revision = live.m_revision;
    const instant now = boottime_now();
    std::map<std::string, stored_progress> progress_of;
    for (const record& each : progress.m_records)
    {
        const std::string id =
            after_prefix(each.m_key, record_keys::progress_prefix);
        const auto decoded = dispatch::decode_progress(each.m_value);
        if (!decoded)
        {
            hold_job(id, "progress_record_not_read", each.m_revision);
        }
        else if (dispatch::is_final(decoded->m_state))
        {
            note_ended_job(
                id, each.m_revision,
                now + retention_left(dispatch::decode_end_time(each.m_value)));
        }
        else
        {
            progress_of[id] = {*decoded, each.m_revision};
        }
    }
    for (const record& each : live.m_records)
    {
        if (each.m_key.starts_with(record_keys::submission_prefix))
        {
            load_job(each, progress_of, progress.m_revision);
        }
    }
    for (const record& each : live.m_records)
    {
        if (each.m_key.starts_with(record_keys::cancellation_prefix))
        {
            apply_live_record(each);
        }
    }
}

span scheduler::retention_left(std::optional<instant> ended_at) const
{
    const span retention = m_environment.m_record_retention;
    if (!ended_at)
    {
        return retention;
    }
    // The clock of the process that wrote the time may be ahead.
    return std::clamp(*ended_at + retention - wall_now(), span(0), retention);
}

void scheduler::load_job(
    const record& found,
    const std::map<std::string, stored_progress>& progress_of,
    std::int64_t progress_read_at)
{
    const std::string id =
        after_prefix(found.m_key, record_keys::submission_prefix);
    if (has_ended(id, found.m_revision) || m_unusable_jobs.contains(id))
    {
        return;
    }
    const auto progress = progress_of.find(id);
    if (progress != progress_of.end())
    {
        add_submission(found, progress->second);
    }
    else if (found.m_revision > progress_read_at)
    {
        // Accepted after the progress was listed.
        add_submission(found, {{}, found.m_revision});
    }
    else
    {
        hold_job(id, "progress_record_missing", found.m_revision);
    }
}

void scheduler::hold_job(const std::string& id, const std::string& reason,
                         std::int64_t revision)
{
    m_unusable_jobs.insert(id);
    m_environment.m_log.write("scheduler", reason, id,
                              {{"revision", std::to_string(revision)}});
}

void scheduler::watch_records()
{
    m_job_watcher = std::make_unique<record_watcher>(
        m_environment.m_store, m_environment.m_log, record_keys::live_prefix,
        watch_wait, span(0),
        record_watcher::hooks{
            [this](const record_list& list, instant)
            {
                post(
                    [this, list]
                    {
                        for (const record& each : list.m_records)
                        {
                            apply_live_record(each);
                        }
                    });
            },
            [this](const record_changes& changes, instant)
            {
                post(
                    [this, changes]
                    {
                        for (const auto& change : changes.m_changes)
                        {
                            if (!change.m_removed)
                            {
                                apply_live_record(change.m_record);
                            }
                        }
                    });
            },
            nullptr});
    m_worker_watcher = std::make_unique<record_watcher>(
        m_environment.m_store, m_environment.m_log,
        m_environment.m_records.m_workers_prefix, watch_wait,
        worker_batching_delay,
        record_watcher::hooks{
            [this](const record_list& list, instant)
            { post([this, list] { apply_worker_list(list); }); },
            [this](const record_changes& changes, instant)
            {
                post(
                    [this, changes]
                    {
                        for (const auto& change : changes.m_changes)
                        {
                            apply_worker_record(change.m_record,
                                                change.m_removed);
                        }
                    });
            },
            nullptr});
}

void scheduler::add_submission(const record& found,
                               const stored_progress& progress)
{
    const std::string id =
        after_prefix(found.m_key, record_keys::submission_prefix);
    const auto decoded = dispatch::decode_submission(found.m_value);
    if (!decoded)
    {
        hold_job(id, "job_record_not_read", found.m_revision);
        return;
    }
    if (!belongs_to(progress.m_progress, *decoded))
    {
        hold_job(id, "progress_record_not_used", progress.m_revision);
        return;
    }
    try
    {
        m_dispatcher.add_job(*decoded, progress.m_progress, progress.m_revision,
                             boottime_now(), wall_now());
    }
    catch (const std::exception& error)
    {
        // One unusable record must not stop the scheduling of all other jobs.
        m_unusable_jobs.insert(id);
        m_environment.m_log.write(
            "scheduler", "job_record_not_used", id,
            {{"revision", std::to_string(found.m_revision)},
             {"error", error.what()}});
    }
}

void scheduler::apply_live_record(const record& found)
{
    if (found.m_key.starts_with(record_keys::submission_prefix))
    {
        const std::string id =
            after_prefix(found.m_key, record_keys::submission_prefix);
        // The load has decided about all older submissions.
        if (found.m_revision > m_loaded_revision && !m_dispatcher.has_job(id) &&
            !has_ended(id, found.m_revision) && !m_unusable_jobs.contains(id))
        {
            // One transaction writes the submission and the first progress
            // record, so both have the same revision.
            add_submission(found, {{}, found.m_revision});
        }
    }
    else if (found.m_key.starts_with(record_keys::cancellation_prefix))
    {
        apply_cancellation(found);
    }
}

void scheduler::apply_cancellation(const record& found)
{
    const std::string id =
        after_prefix(found.m_key, record_keys::cancellation_prefix);
    const instant now = boottime_now();
    if (!m_ended_jobs.contains(id))
    {
        m_dispatcher.cancel_job(id, now, found.m_revision);
    }
    if (const auto absent_at = dispatch::decode_absence_time(found.m_value))
    {
        // Until then a submission that was under way is refused.
        m_removals.schedule({found.m_key, found.m_revision},
                            now + retention_left(absent_at));
    }
    else if (!m_unusable_jobs.contains(id))
    {
        // The end of the job removes the cancellation unless that was stored
        // later.
        m_removals.schedule({found.m_key, found.m_revision},
                            now + unused_cancellation_time);
    }
}

void scheduler::apply_worker_record(const record& found, bool removed)
{
    const std::string id =
        after_prefix(found.m_key, m_environment.m_records.m_workers_prefix);
    if (removed)
    {
        m_dispatcher.worker_removed(id, boottime_now());
        return;
    }
    const auto decoded =
        m_environment.m_records.m_decode_worker(id, found.m_value);
    if (decoded)
    {
        m_dispatcher.worker_listed(*decoded, boottime_now());
    }
    else
    {
        m_environment.m_log.write(
            "scheduler", "worker_record_not_read", id,
            {{"revision", std::to_string(found.m_revision)}});
        m_dispatcher.worker_unlisted(id, boottime_now());
    }
}

void scheduler::apply_worker_list(const record_list& list)
{
    std::set<std::string> listed;
    for (const record& each : list.m_records)
    {
        listed.insert(
            after_prefix(each.m_key, m_environment.m_records.m_workers_prefix));
        apply_worker_record(each, false);
    }
    for (const auto& [id, worker] : m_dispatcher.workers())
    {
        if (!listed.contains(id))
        {
            m_dispatcher.worker_removed(id, boottime_now());
        }
    }
}

} // namespace kingcuprudder::node

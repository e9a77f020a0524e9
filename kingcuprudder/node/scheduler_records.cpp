#include <kingcuprudder/codec/dispatch_codec.hpp>
#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/node/record_keys.hpp>
#include <kingcuprudder/node/scheduler.hpp>

#include <exception>

namespace kingcuprudder::node
{

namespace
{

constexpr span load_timeout = span(1500);
constexpr span watch_wait = span(1500);
// Each worker updates its record about once per second, and few of these
// changes affect scheduling.
constexpr span worker_batching_delay = span(300);

std::string after_prefix(const std::string& key, const std::string& prefix)
{
    return key.substr(prefix.size());
}

} // namespace

// Loading and watching the stored jobs, cancellations and workers.

bool scheduler::load()
{
    record_store& store = m_environment.m_store;
    const store_result<record_list> workers =
        store.list(m_environment.m_records.m_workers_prefix, load_timeout);
    const store_result<record_list> live =
        store.list(record_keys::live_prefix, load_timeout);
    const store_result<record_list> progress =
        store.list(record_keys::progress_prefix, load_timeout);
    if (!is_ok(workers) || !is_ok(live) || !is_ok(progress))
    {
        return false;
    }
    apply_worker_list(std::get<0>(workers));
    load_jobs(std::get<0>(live), std::get<0>(progress));
    m_environment.m_log.write(
        "scheduler", "state_loaded", "",
        {{"workers", std::to_string(std::get<0>(workers).m_records.size())},
         {"jobs", std::to_string(m_dispatcher.jobs().size())},
         {"revision", std::to_string(std::get<0>(live).m_revision)},
         {"fence", std::to_string(m_term->fence())}});
    watch_records();
    return true;
}

void scheduler::load_jobs(const record_list& live, const record_list& progress)
{
    std::map<std::string, const record*> progress_of;
    for (const record& each : progress.m_records)
    {
        progress_of[after_prefix(each.m_key, record_keys::progress_prefix)] =
            &each;
    }
    for (const record& each : live.m_records)
    {
        if (!each.m_key.starts_with(record_keys::submission_prefix))
        {
            continue;
        }
        const std::string id =
            after_prefix(each.m_key, record_keys::submission_prefix);
        const auto found = progress_of.find(id);
        if (found == progress_of.end())
        {
            // The watcher's first list adds the job if it still exists.
            continue;
        }
        const auto decoded = dispatch::decode_progress(found->second->m_value);
        if (!decoded)
        {
            m_environment.m_log.write(
                "scheduler", "progress_record_not_read", id,
                {{"revision", std::to_string(found->second->m_revision)}});
            continue;
        }
        if (!dispatch::is_final(decoded->m_state))
        {
            add_submission(each, decoded, found->second->m_revision);
        }
    }
    for (const record& each : live.m_records)
    {
        if (each.m_key.starts_with(record_keys::cancellation_prefix))
        {
            apply_live_record(each);
        }
    }
    const instant now = boottime_now();
    for (const auto& [id, each] : progress_of)
    {
        const auto decoded = dispatch::decode_progress(each->m_value);
        if (decoded && dispatch::is_final(decoded->m_state))
        {
            schedule_removal(id, now);
        }
    }
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

void scheduler::add_submission(
    const record& found, const std::optional<dispatch::job_progress>& progress,
    std::int64_t progress_revision)
{
    const auto decoded = dispatch::decode_submission(found.m_value);
    if (!decoded)
    {
        m_environment.m_log.write(
            "scheduler", "job_record_not_read", found.m_key,
            {{"revision", std::to_string(found.m_revision)}});
        return;
    }
    try
    {
        m_dispatcher.add_job(*decoded, progress, progress_revision,
                             boottime_now(), wall_now());
    }
    catch (const std::exception& error)
    {
        // One unusable record must not stop the scheduling of all other jobs.
        m_environment.m_log.write(
            "scheduler", "job_record_not_used", found.m_key,
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
        if (!m_dispatcher.has_job(id) && !m_ended_jobs.contains(id))
        {
            // One transaction writes the submission and the first progress
            // record, so both have the same revision.
            add_submission(found, std::nullopt, found.m_revision);
        }
    }
    else if (found.m_key.starts_with(record_keys::cancellation_prefix))
    {
        const std::string id =
            after_prefix(found.m_key, record_keys::cancellation_prefix);
        if (!m_ended_jobs.contains(id))
        {
            m_dispatcher.cancel_job(id, boottime_now());
        }
    }
}

void scheduler::apply_worker_record(const record& found, bool removed)
{
    const std::string id =
        after_prefix(found.m_key, m_environment.m_records.m_workers_prefix);
    if (removed)
    {
        m_dispatcher.worker_unlisted(id, boottime_now());
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
            m_dispatcher.worker_unlisted(id, boottime_now());
        }
    }
}

} // namespace kingcuprudder::node

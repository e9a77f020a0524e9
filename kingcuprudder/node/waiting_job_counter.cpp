#include <kingcuprudder/codec/dispatch_codec.hpp>
#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/node/record_keys.hpp>
#include <kingcuprudder/node/waiting_job_counter.hpp>

namespace kingcuprudder::node
{

namespace
{

constexpr span summary_max_age = span(1800);
constexpr span max_cache_age = span(400);

/// Counts the jobs without a started task by queue.
std::map<std::string, int> count_waiting_jobs(const record_list& jobs,
                                              const record_list& progress)
{
    std::map<std::string, std::string> queue_of;
    for (const record& each : jobs.m_records)
    {
        if (!each.m_key.starts_with(record_keys::submission_prefix))
        {
            continue;
        }
        if (const auto job = dispatch::decode_submission(each.m_value))
        {
            queue_of[job->m_id] = job->m_queue;
        }
    }
    std::map<std::string, int> waiting;
    for (const record& each : progress.m_records)
    {
        const auto state = dispatch::decode_progress(each.m_value);
        const auto queue = queue_of.find(
            each.m_key.substr(record_keys::progress_prefix.size()));
        if (state && state->m_state == dispatch::job_state::queued &&
            queue != queue_of.end())
        {
            ++waiting[queue->second];
        }
    }
    return waiting;
}

} // namespace

waiting_job_counter::waiting_job_counter(record_store& store) : m_store(store)
{
}

std::optional<std::map<std::string, int>>
waiting_job_counter::count(const call_retry& retry)
{
    {
        std::lock_guard lock(m_mutex);
        if (boottime_now() - m_read_at < max_cache_age)
        {
            return m_waiting;
        }
    }
    const instant sent = boottime_now();
    std::map<std::string, int> waiting;
    const store_result<std::optional<record>> found =
        m_store.read(record_keys::summary, retry.read_timeout());
    if (!is_ok(found))
    {
        return std::nullopt;
    }
    std::optional<dispatch::queue_summary> summary;
    if (std::get<0>(found))
    {
        summary = dispatch::decode_summary(std::get<0>(found)->m_value);
    }
    if (summary && wall_now() - summary->m_written_at < summary_max_age &&
        summary->m_written_at - wall_now() < summary_max_age)
    {
        waiting = summary->m_waiting;
    }
    else
    {
        // No scheduler updates the summary at present.
        const store_result<record_list> jobs =
            m_store.list(record_keys::live_prefix, retry.read_timeout());
        const store_result<record_list> progress =
            m_store.list(record_keys::progress_prefix, retry.read_timeout());
        if (!is_ok(jobs) || !is_ok(progress))
        {
            return std::nullopt;
        }
        waiting = count_waiting_jobs(std::get<0>(jobs), std::get<0>(progress));
    }
    std::lock_guard lock(m_mutex);
    m_waiting = waiting;
    m_read_at = sent;
    return waiting;
}

} // namespace kingcuprudder::node

#include <kingcuprudder/codec/dispatch_codec.hpp>
#include <kingcuprudder/node/progress_writer.hpp>
#include <kingcuprudder/node/record_keys.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace kingcuprudder::node
{

namespace
{

constexpr span write_retry = span(80);
// One entry of each transaction checks the leader record.
constexpr std::size_t max_record_entries = max_transaction_entries - 1;
// The values of a transaction are in memory several times while it is sent, on
// instances of a few hundred MB.
constexpr std::size_t max_transaction_bytes = 4 * max_value_bytes;

std::string encoded(const dispatch::job_progress& progress, instant wall_now)
{
    if (dispatch::is_final(progress.m_state))
    {
        return dispatch::encode_ended_progress(progress, wall_now);
    }
    std::string text = dispatch::encode_progress(progress);
    return text.size() > max_value_bytes
               ? dispatch::encode_progress_compactly(progress)
               : text;
}

/// Returns the revision of the job's record in the conflict, if it is there.
std::optional<std::int64_t> revision_in(const store_conflict& conflict,
                                        const std::string& job)
{
    const std::string key = record_keys::progress(job);
    const auto found =
        std::find_if(conflict.m_records.begin(), conflict.m_records.end(),
                     [&key](const record& each) { return each.m_key == key; });
    return found == conflict.m_records.end() ? std::nullopt
                                             : std::optional(found->m_revision);
}

} // namespace

std::optional<store_transaction> progress_writer::begin(instant now,
                                                        instant wall_now)
{
    if (!m_sent.empty() || !m_dispatcher.has_writes() || now < m_next_at)
    {
        return std::nullopt;
    }
    m_batches.begin(now);
    m_sent_bytes = 0;
    store_transaction transaction;
    std::vector<dispatch::job_write> writes = m_dispatcher.take_writes(
        max_record_entries, [this](const std::string& job, bool ended)
        { return m_batches.add(job, ended); });
    for (dispatch::job_write& write : writes)
    {
        add_record(transaction, std::move(write), now, wall_now);
    }
    if (m_sent.empty())
    {
        return std::nullopt;
    }
    return transaction;
}

void progress_writer::add_record(store_transaction& transaction,
                                 dispatch::job_write write, instant now,
                                 instant wall_now)
{
    std::string value;
    try
    {
        value = encoded(write.m_progress, wall_now);
    }
    catch (const std::exception& error)
    {
        set_aside(m_batches.refuse(write.m_job, now), error.what(), 0, now);
        return;
    }
    const std::size_t bytes = value.size();
    if (bytes > max_value_bytes)
    {
        set_aside(m_batches.refuse(write.m_job, now), "too_large", bytes, now);
        return;
    }
    if (m_sent_bytes + bytes > max_transaction_bytes)
    {
        m_batches.remove(write.m_job);
        m_dispatcher.write_failed(write.m_job);
        return;
    }
    m_sent_bytes += bytes;
    const std::string key = record_keys::progress(write.m_job);
    transaction.m_expected.emplace_back(key, write.m_revision);
    transaction.m_writes.push_back({key, std::move(value), 0});
    if (dispatch::is_final(write.m_progress.m_state))
    {
        transaction.m_removals.push_back(record_keys::submission(write.m_job));
        transaction.m_removals.push_back(
            record_keys::cancellation(write.m_job));
    }
    m_sent.push_back({std::move(write), bytes});
}

void progress_writer::withdraw()
{
    write_again(std::exchange(m_sent, {}));
    m_batches.failed();
}

std::vector<progress_writer::ended_job>
progress_writer::finish(const store_result<commit_answer>& outcome, instant now)
{
    const std::vector<sent_record> sent = std::exchange(m_sent, {});
    if (const auto revision = committed_revision(outcome))
    {
        m_batches.stored();
        return apply_stored(sent, *revision);
    }
    if (const store_conflict* conflict = conflict_of(outcome))
    {
        resolve_conflict(sent, *conflict, now);
    }
    else
    {
        handle_failure(sent, std::get<store_failure>(outcome), now);
    }
    return {};
}

std::vector<progress_writer::ended_job>
progress_writer::apply_stored(const std::vector<sent_record>& sent,
                              std::int64_t revision)
{
    std::vector<ended_job> ended;
    for (const sent_record& each : sent)
    {
        const dispatch::job_write& write = each.m_write;
        if (dispatch::is_final(write.m_progress.m_state))
        {
            ended.push_back({write.m_job, revision});
        }
        m_dispatcher.write_stored(write.m_job, write.m_version, revision);
    }
    return ended;
}

void progress_writer::resolve_conflict(const std::vector<sent_record>& sent,
                                       const store_conflict& conflict,
                                       instant now)
{
    std::vector<std::string> outdated;
    for (const sent_record& each : sent)
    {
        const dispatch::job_write& write = each.m_write;
        const auto revision = revision_in(conflict, write.m_job);
        if (revision && *revision != write.m_revision)
        {
            m_dispatcher.update_revision(write.m_job, *revision);
            outdated.push_back(write.m_job);
        }
    }
    m_log.write("scheduler", "progress_conflicts", sent.front().m_write.m_job,
                {{"records", std::to_string(sent.size())},
                 {"outdated", std::to_string(outdated.size())}});
    const std::vector<set_aside_record> aside =
        m_batches.conflicted(outdated, now);
    write_again(sent);
    set_aside_sent(aside, sent, "conflict", now);
}

void progress_writer::handle_failure(const std::vector<sent_record>& sent,
                                     store_failure reason, instant now)
{
    m_log.write("scheduler", "progress_not_stored", sent.front().m_write.m_job,
                {{"records", std::to_string(sent.size())},
                 {"reason", std::string(to_string(reason))}});
    write_again(sent);
    if (reason == store_failure::refused)
    {
        set_aside_sent(m_batches.refused(now), sent, "refused", now);
        return;
    }
    m_batches.failed();
    m_next_at = now + write_retry;
}

void progress_writer::write_again(const std::vector<sent_record>& sent)
{
    for (const sent_record& each : sent)
    {
        m_dispatcher.write_failed(each.m_write.m_job);
    }
}

void progress_writer::set_aside(const set_aside_record& record,
                                const std::string& reason, std::size_t bytes,
                                instant now)
{
    m_log.write("scheduler", "record_set_aside", record.m_job,
                {{"reason", reason},
                 {"bytes", std::to_string(bytes)},
                 {"failures", std::to_string(record.m_failures)},
                 {"pause_ms", std::to_string(record.m_pause.count())}});
    m_dispatcher.write_refused(record.m_job, now);
}

void progress_writer::set_aside_sent(
    const std::vector<set_aside_record>& records,
    const std::vector<sent_record>& sent, const std::string& reason,
    instant now)
{
    for (const set_aside_record& each : records)
    {
        const auto found =
            std::find_if(sent.begin(), sent.end(),
                         [&each](const sent_record& one)
                         { return one.m_write.m_job == each.m_job; });
        set_aside(each, reason, found == sent.end() ? 0 : found->m_bytes, now);
    }
}

} // namespace kingcuprudder::node

#include <kingcuprudder/base/assert.hpp>
#include <kingcuprudder/region/region_state.hpp>

#include <algorithm>
#include <type_traits>

namespace kingcuprudder
{

namespace
{

/// Whether a release for this reason counts against the job's failures.
bool is_failure(stop_reason reason)
{
    return reason == stop_reason::task_failed;
}

instant time_of(const log_record& record)
{
    return std::visit(
        [](const auto& each)
        {
            if constexpr (requires { each.m_at; })
            {
                return each.m_at;
            }
            else
            {
                return instant();
            }
        },
        record);
}

void append_job_records(const job_entry& entry, std::vector<log_record>& to)
{
    const job_key& key = entry.m_spec.m_key;
    to.emplace_back(job_accepted{entry.m_spec, entry.m_accepted_at});
    to.insert(to.end(), entry.m_failures.begin(), entry.m_failures.end());
    if (entry.m_last_release &&
        (entry.m_failures.empty() ||
         entry.m_failures.back() != *entry.m_last_release))
    {
        to.emplace_back(*entry.m_last_release);
    }
    if (entry.m_placed_at != instant())
    {
        to.emplace_back(job_placed{key, entry.m_attempt, entry.m_placement,
                                   entry.m_placed_at});
    }
    if (entry.m_started_at != instant())
    {
        to.emplace_back(job_started{key, entry.m_attempt, entry.m_started_at});
    }
    if (entry.m_phase == job_phase::stopping)
    {
        to.emplace_back(job_stopping{key, entry.m_attempt, entry.m_stop_reason,
                                     entry.m_placed_at});
    }
    if (entry.m_end)
    {
        to.emplace_back(*entry.m_end);
    }
}

} // namespace

void region_state::apply(const log_record& record)
{
    std::visit([this](const auto& each) { apply_one(each); }, record);
    prune(time_of(record));
}

std::vector<log_record> region_state::to_records() const
{
    std::vector<log_record> records;
    records.emplace_back(m_epoch);
    for (const auto& [key, entry] : m_jobs)
    {
        append_job_records(entry, records);
    }
    for (const auto& [key, entry] : m_permits)
    {
        records.emplace_back(entry.m_permit);
        if (entry.m_end)
        {
            records.emplace_back(*entry.m_end);
        }
    }
    for (const auto& [worker, entry] : m_quarantines)
    {
        records.insert(records.end(), entry.m_times,
                       worker_set_aside{worker, entry.m_until});
        if (!entry.m_active)
        {
            records.emplace_back(worker_restored{worker});
        }
    }
    return records;
}

const job_entry* region_state::find_job(const job_key& key) const
{
    auto found = m_jobs.find(key);
    return found == m_jobs.end() ? nullptr : &found->second;
}

const permit_entry* region_state::find_permit(const request_key& key) const
{
    auto found = m_permits.find(key);
    return found == m_permits.end() ? nullptr : &found->second;
}

std::size_t region_state::queued_of(const account_id& account) const
{
    auto found = m_queued_counts.find(account);
    return found == m_queued_counts.end() ? 0 : found->second;
}

void region_state::apply_one(const epoch_started& record)
{
    KCR_ASSERT(record.m_epoch > m_epoch.m_epoch);
    m_epoch = record;
}

void region_state::apply_one(const job_accepted& record)
{
    const job_key& key = record.m_spec.m_key;
    KCR_ASSERT(!m_jobs.contains(key));
    job_entry& entry = m_jobs[key];
    entry.m_spec = record.m_spec;
    entry.m_accepted_at = record.m_at;
    enqueue(entry);
    if (record.m_spec.m_deadline != instant())
    {
        m_deadlines.emplace(record.m_spec.m_deadline, key);
    }
}

void region_state::apply_one(const job_placed& record)
{
    // Snapshots omit placements of released attempts, so attempt numbers may
    // skip values, but they never decrease.
    auto found = m_jobs.find(record.m_job);
    KCR_ASSERT(found != m_jobs.end());
    job_entry& entry = found->second;
    KCR_ASSERT(!entry.m_end);
    KCR_ASSERT(record.m_attempt > entry.m_attempt);
    KCR_ASSERT(entry.m_phase == job_phase::queued);
    dequeue(entry);
    entry.m_phase = job_phase::placed;
    entry.m_attempt = record.m_attempt;
    entry.m_placement = record.m_placement;
    entry.m_placed_at = record.m_at;
    entry.m_started_at = instant();
    m_active.insert(record.m_job);
}

void region_state::apply_one(const job_started& record)
{
    job_entry& entry = job_of(record.m_job, record.m_attempt);
    KCR_ASSERT(entry.m_phase == job_phase::placed);
    entry.m_phase = job_phase::running;
    entry.m_started_at = record.m_at;
}

void region_state::apply_one(const job_stopping& record)
{
    job_entry& entry = job_of(record.m_job, record.m_attempt);
    KCR_ASSERT(entry.m_phase == job_phase::running);
    entry.m_phase = job_phase::stopping;
    entry.m_stop_reason = record.m_reason;
}

void region_state::apply_one(const job_released& record)
{
    auto found = m_jobs.find(record.m_job);
    KCR_ASSERT(found != m_jobs.end());
    job_entry& entry = found->second;
    KCR_ASSERT(!entry.m_end);
    KCR_ASSERT(record.m_attempt >= entry.m_attempt);
    job_released release = record;
    release.m_verdict = std::max(release.m_verdict, entry.earlier_verdict());
    if (is_failure(record.m_reason) &&
        (entry.m_failures.empty() ||
         entry.m_failures.back().m_attempt != record.m_attempt))
    {
        entry.m_failures.push_back(release);
    }
    entry.m_last_release = std::move(release);
    entry.m_attempt = record.m_attempt;
    entry.m_placement.clear();
    entry.m_placed_at = instant();
    entry.m_started_at = instant();
    entry.m_stop_reason = stop_reason::cancelled;
    if (entry.m_phase != job_phase::queued)
    {
        m_active.erase(record.m_job);
        entry.m_phase = job_phase::queued;
        enqueue(entry);
    }
}

void region_state::apply_one(const job_ended& record)
{
    job_entry& entry = job_of(record.m_job, record.m_attempt);
    if (entry.m_phase == job_phase::queued)
    {
        dequeue(entry);
    }
    m_active.erase(record.m_job);
    m_deadlines.erase({entry.m_spec.m_deadline, record.m_job});
    entry.m_phase = job_phase::ended;
    entry.m_placement.clear();
    entry.m_stop_reason = stop_reason::cancelled;
    entry.m_end = record;
    m_ended.emplace(record.m_at, record.m_job);
}

void region_state::apply_one(const request_permitted& record)
{
    KCR_ASSERT(!m_permits.contains(record.m_request));
    m_permits[record.m_request].m_permit = record;
    m_open_permits.emplace(record.m_deadline, record.m_request);
}

void region_state::apply_one(const request_ended& record)
{
    auto found = m_permits.find(record.m_request);
    KCR_ASSERT(found != m_permits.end());
    KCR_ASSERT(!found->second.m_end);
    found->second.m_end = record;
    m_open_permits.erase({found->second.m_permit.m_deadline, record.m_request});
    m_ended_permits.emplace(record.m_at, record.m_request);
}

void region_state::apply_one(const worker_set_aside& record)
{
    quarantine_entry& entry = m_quarantines[record.m_worker];
    entry.m_until = record.m_until;
    ++entry.m_times;
    entry.m_active = true;
}

void region_state::apply_one(const worker_restored& record)
{
    // The first record ends the quarantine; a second one resets its length.
    auto found = m_quarantines.find(record.m_worker);
    KCR_ASSERT(found != m_quarantines.end());
    if (!found->second.m_active)
    {
        m_quarantines.erase(found);
        return;
    }
    found->second.m_active = false;
}

job_entry& region_state::job_of(const job_key& key, std::uint32_t attempt)
{
    auto found = m_jobs.find(key);
    KCR_ASSERT(found != m_jobs.end());
    KCR_ASSERT(!found->second.m_end);
    // In a snapshot, the end of a job may follow releases that the snapshot
    // omits.
    KCR_ASSERT(found->second.m_attempt <= attempt);
    found->second.m_attempt = attempt;
    return found->second;
}

void region_state::enqueue(const job_entry& entry)
{
    const job_key& key = entry.m_spec.m_key;
    m_queued.emplace(entry.m_accepted_at, key);
    ++m_queued_counts[key.m_account];
}

void region_state::dequeue(const job_entry& entry)
{
    const job_key& key = entry.m_spec.m_key;
    m_queued.erase({entry.m_accepted_at, key});
    auto count = m_queued_counts.find(key.m_account);
    KCR_ASSERT(count != m_queued_counts.end());
    if (--count->second == 0)
    {
        m_queued_counts.erase(count);
    }
}

void region_state::prune(instant now)
{
    while (!m_ended.empty() && m_ended.begin()->first + retention_time < now)
    {
        m_jobs.erase(m_ended.begin()->second);
        m_ended.erase(m_ended.begin());
    }
    while (!m_ended_permits.empty() &&
           m_ended_permits.begin()->first + retention_time < now)
    {
        m_permits.erase(m_ended_permits.begin()->second);
        m_ended_permits.erase(m_ended_permits.begin());
    }
}

} // namespace kingcuprudder

#include <kingcuprudder/base/assert.hpp>
#include <kingcuprudder/region/region_keys.hpp>
#include <kingcuprudder/region/region_log.hpp>

#include <algorithm>
#include <utility>

namespace kingcuprudder
{

namespace
{

constexpr span stall_limit = span::seconds(1);

/// Limits appends to 100 per second, with a short burst so that the steps of
/// one urgent job are not delayed.
constexpr span append_interval(10);
constexpr std::int64_t append_burst = 10;

/// Upper bounds, in bytes, of the encoded field names and numbers of one record
/// and of one list element.
constexpr std::size_t record_overhead = 512;
constexpr std::size_t element_overhead = 96;

std::size_t size_of(const job_accepted& record)
{
    return record.m_spec.m_payload.size();
}

std::size_t size_of(const job_placed& record)
{
    std::size_t size = 0;
    for (const allocation& part : record.m_placement)
    {
        size += element_overhead + part.m_worker.str().size();
    }
    return size;
}

std::size_t size_of(const job_released& record)
{
    return element_overhead * record.m_failed_workers.size();
}

std::size_t size_of(const job_ended& record)
{
    return record.m_answer.size();
}

std::size_t size_of(const request_permitted& record)
{
    return record.m_holder.size();
}

std::size_t size_of(const request_ended& record)
{
    return record.m_answer.size();
}

template <class Record>
std::size_t size_of(const Record&)
{
    return 0;
}

} // namespace

std::size_t estimated_size(const log_record& record)
{
    return record_overhead +
           std::visit([](const auto& each) { return size_of(each); }, record);
}

region_log::region_log(region_id region, const owner_codec& codec,
                       std::uint64_t seed)
    : m_region(std::move(region)), m_codec(codec), m_random(seed),
      m_backoff(initial_store_backoff, max_store_backoff)
{
}

void region_log::open(sequence_number next, sequence_number snapshot,
                      epoch_number epoch, const slot_revisions& revisions)
{
    m_next = next;
    m_snapshot = snapshot;
    m_epoch = epoch;
    m_revisions = revisions;
    m_queue.clear();
    m_batch.clear();
    m_activity = activity::none;
    m_must_verify = false;
    m_not_before = instant();
    m_settled_ticket = m_last_ticket;
    m_backoff.reset();
}

record_ticket region_log::append(log_record record)
{
    const std::size_t size = estimated_size(record);
    m_queue.push_back({++m_last_ticket, std::move(record), size});
    return m_last_ticket;
}

region_log::withdrawal region_log::withdraw(record_ticket ticket)
{
    auto found =
        std::lower_bound(m_queue.begin(), m_queue.end(), ticket,
                         [](const queued_record& each, record_ticket sought)
                         { return each.m_ticket < sought; });
    if (found != m_queue.end() && found->m_ticket == ticket)
    {
        m_queue.erase(found);
        return withdrawal::withdrawn;
    }
    return ticket <= m_settled_ticket ? withdrawal::settled
                                      : withdrawal::undecided;
}

void region_log::snapshot_written(sequence_number snapshot)
{
    m_snapshot = std::max(m_snapshot, snapshot);
}

std::optional<tagged_operation> region_log::poll(instant now)
{
    if (m_activity != activity::none || now < m_not_before)
    {
        return std::nullopt;
    }
    if (m_batch.empty() && !fill_batch(now))
    {
        // Reads the next slot's revision in advance, so that the next append
        // does not wait for it.
        if (!next_revision() && m_epoch != 0)
        {
            return read_slot(activity::preparing);
        }
        return std::nullopt;
    }
    if (m_must_verify)
    {
        return read_slot(activity::verifying);
    }
    if (!next_revision())
    {
        return read_slot(activity::preparing);
    }
    return write_slot();
}

region_log::progress region_log::on_outcome(const store_outcome& outcome,
                                            instant now)
{
    const activity done = std::exchange(m_activity, activity::none);
    if (std::holds_alternative<store_failed>(outcome))
    {
        m_must_verify = m_must_verify || done == activity::writing;
        retry_later(now);
        return {};
    }
    m_backoff.reset();
    if (const auto* written = std::get_if<store_written>(&outcome))
    {
        return commit(written->m_revision);
    }
    if (const auto* value = std::get_if<store_value>(&outcome))
    {
        return on_slot(*value);
    }
    // A conflict can also be caused by this write itself, if it took effect and
    // its answer was lost.
    m_must_verify = true;
    return {};
}

bool region_log::stalled(instant now) const
{
    return !m_batch.empty() && now - m_batch_since > stall_limit;
}

bool region_log::fill_batch(instant now)
{
    if (m_queue.empty())
    {
        return false;
    }
    // The slot still holds an entry that no durable snapshot contains.
    if (m_next > log_slots && m_next - log_slots > m_snapshot)
    {
        return false;
    }
    const span elapsed = now - m_tokens_added_at;
    const std::int64_t added = elapsed.count() / append_interval.count();
    if (added > 0)
    {
        m_append_tokens = std::min(append_burst, m_append_tokens + added);
        m_tokens_added_at = now;
    }
    if (m_append_tokens == 0)
    {
        return false;
    }
    --m_append_tokens;

    std::size_t size = 0;
    log_entry entry;
    while (
        !m_queue.empty() &&
        (m_batch.empty() || size + m_queue.front().m_size <= max_batch_bytes))
    {
        size += m_queue.front().m_size;
        entry.m_records.push_back(m_queue.front().m_record);
        m_batch.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    entry.m_sequence = m_next;
    entry.m_epoch = m_epoch;
    entry.m_batch_id =
        std::to_string(m_random()) + "-" + std::to_string(m_next);
    m_batch_id = entry.m_batch_id;
    m_batch_value = m_codec.m_encode_entry(entry);
    m_batch_since = now;
    return true;
}

tagged_operation region_log::read_slot(activity why)
{
    m_activity = why;
    return {0, store_get{log_slot_key(m_region, m_next)}};
}

tagged_operation region_log::write_slot()
{
    m_activity = activity::writing;
    return {0, store_put{log_slot_key(m_region, m_next), m_batch_value,
                         *next_revision(), ""}};
}

region_log::progress region_log::on_slot(const store_value& value)
{
    progress settled;
    m_must_verify = false;
    if (value.m_revision == 0)
    {
        next_revision() = 0;
        return settled;
    }
    const result<log_entry> read = m_codec.m_decode_entry(value.m_value);
    KCR_ASSERT(succeeded(read));
    const log_entry& found = value_of(read);
    if (!m_batch.empty() && found.m_batch_id == m_batch_id)
    {
        return commit(value.m_revision);
    }
    if (found.m_sequence >= m_next)
    {
        settled.m_fenced = true;
        return settled;
    }
    next_revision() = value.m_revision;
    return settled;
}

region_log::progress region_log::commit(store_revision revision)
{
    progress settled;
    next_revision() = revision;
    ++m_next;
    for (queued_record& each : m_batch)
    {
        m_settled_ticket = std::max(m_settled_ticket, each.m_ticket);
        settled.m_committed.push_back(std::move(each.m_record));
    }
    m_batch.clear();
    m_batch_value.clear();
    m_must_verify = false;
    return settled;
}

void region_log::retry_later(instant now)
{
    m_not_before = now + m_backoff.next(m_random);
}

std::optional<store_revision>& region_log::next_revision()
{
    return m_revisions[m_next % log_slots];
}

} // namespace kingcuprudder

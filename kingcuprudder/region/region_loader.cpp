#include <kingcuprudder/base/assert.hpp>
#include <kingcuprudder/region/region_keys.hpp>
#include <kingcuprudder/region/region_loader.hpp>

#include <utility>

namespace kingcuprudder
{

namespace
{

/// Maximum number of log slots read concurrently. A takeover reads up to 128
/// slots; sequential reads would take as many round trips.
constexpr std::uint32_t max_concurrent_reads = 16;

} // namespace

region_loader::region_loader(region_id region, const owner_codec& codec,
                             std::uint64_t seed)
    : m_region(std::move(region)), m_codec(codec), m_random(seed),
      m_backoff(initial_store_backoff, max_store_backoff)
{
}

void region_loader::restart()
{
    m_step = step::head;
    m_in_flight = 0;
    m_failed = false;
    m_not_before = instant();
    m_answers.clear();
    m_state = {};
    m_head = {};
    m_head_revision = 0;
    m_chunk_revisions.clear();
    m_next = 1;
    m_revisions = {};
}

void region_loader::resume()
{
    KCR_ASSERT(done());
    m_step = step::slots;
}

std::vector<tagged_operation> region_loader::poll(instant now)
{
    if (done() || m_in_flight > 0 || now < m_not_before)
    {
        return {};
    }
    m_failed = false;
    m_answers.clear();
    std::vector<tagged_operation> calls;
    if (m_step == step::head)
    {
        calls.push_back({0, store_get{snapshot_key(m_region)}});
    }
    else if (m_step == step::chunks)
    {
        calls.push_back(
            {0, store_get{snapshot_chunk_key(m_region, m_head.m_name,
                                             m_chunk_revisions.size())}});
    }
    else
    {
        calls = window();
    }
    m_in_flight = calls.size();
    return calls;
}

void region_loader::on_outcome(std::uint32_t tag, const store_outcome& outcome,
                               instant now)
{
    KCR_ASSERT(m_in_flight > 0);
    --m_in_flight;
    if (const auto* value = std::get_if<store_value>(&outcome))
    {
        m_answers.emplace(tag, *value);
    }
    else
    {
        m_failed = true;
    }
    if (m_in_flight > 0)
    {
        return;
    }
    if (m_failed)
    {
        m_not_before = now + m_backoff.next(m_random);
        return;
    }
    m_backoff.reset();
    if (m_step == step::head)
    {
        on_head(m_answers[0]);
    }
    else if (m_step == step::chunks)
    {
        on_chunk(m_answers[0]);
    }
    else
    {
        on_window();
    }
}

std::vector<tagged_operation> region_loader::window()
{
    std::vector<tagged_operation> calls;
    for (std::uint32_t offset = 0; offset < max_concurrent_reads; ++offset)
    {
        calls.push_back(
            {offset, store_get{log_slot_key(m_region, m_next + offset)}});
    }
    return calls;
}

void region_loader::on_head(const store_value& value)
{
    m_head_revision = value.m_revision;
    if (value.m_revision == 0)
    {
        m_step = step::slots;
        return;
    }
    result<snapshot_head> read = read_snapshot_head(value.m_value, m_codec);
    KCR_ASSERT(succeeded(read));
    m_head = std::move(std::get<snapshot_head>(read));
    m_next = m_head.m_sequence + 1;
    apply_all(m_head.m_records);
    m_head.m_records.clear();
    m_step = m_head.m_chunks == 0 ? step::slots : step::chunks;
}

void region_loader::on_chunk(const store_value& value)
{
    if (value.m_revision == 0)
    {
        // The former owner has replaced the snapshot in the meantime.
        restart();
        return;
    }
    const result<log_entry> read = m_codec.m_decode_entry(value.m_value);
    KCR_ASSERT(succeeded(read));
    KCR_ASSERT(value_of(read).m_sequence == m_head.m_sequence);
    apply_all(value_of(read).m_records);
    m_chunk_revisions.push_back(value.m_revision);
    if (m_chunk_revisions.size() == m_head.m_chunks)
    {
        m_step = step::slots;
    }
}

void region_loader::on_window()
{
    const sequence_number first = m_next;
    for (const auto& [offset, value] : m_answers)
    {
        const sequence_number sequence = first + offset;
        if (m_step != step::slots)
        {
            // These slots follow the end of the log. Their revisions are needed
            // for later appends.
            m_revisions[sequence % log_slots] = value.m_revision;
            continue;
        }
        if (!apply_slot(value, sequence))
        {
            return;
        }
    }
}

/// Applies the entry of one slot, or ends the replay if the log ends there.
/// Returns false if the slot already holds a later entry; loading must then
/// restart.
bool region_loader::apply_slot(const store_value& value,
                               sequence_number sequence)
{
    m_revisions[sequence % log_slots] = value.m_revision;
    if (value.m_revision == 0)
    {
        m_step = step::done;
        return true;
    }
    const result<log_entry> read = m_codec.m_decode_entry(value.m_value);
    KCR_ASSERT(succeeded(read));
    const log_entry& entry = value_of(read);
    if (entry.m_sequence < sequence)
    {
        m_step = step::done;
        return true;
    }
    if (entry.m_sequence > sequence)
    {
        restart();
        return false;
    }
    apply_all(entry.m_records);
    m_next = sequence + 1;
    return true;
}

void region_loader::apply_all(const std::vector<log_record>& records)
{
    for (const log_record& each : records)
    {
        m_state.apply(each);
    }
}

} // namespace kingcuprudder

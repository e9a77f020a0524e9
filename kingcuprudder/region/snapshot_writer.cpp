#include <kingcuprudder/base/assert.hpp>
#include <kingcuprudder/region/region_keys.hpp>
#include <kingcuprudder/region/snapshot_writer.hpp>

#include <utility>

namespace kingcuprudder
{

snapshot_writer::snapshot_writer(region_id region, const owner_codec& codec,
                                 std::uint64_t seed)
    : m_region(std::move(region)), m_codec(codec), m_random(seed),
      m_backoff(initial_store_backoff, max_store_backoff)
{
}

void snapshot_writer::open(const snapshot_head& head, store_revision revision,
                           const std::vector<store_revision>& chunks)
{
    m_step = step::none;
    m_in_flight = false;
    m_not_before = instant();
    m_obsolete.clear();
    m_head_name = head.m_name;
    m_head_revision = revision;
    m_head_chunks = chunks;
}

void snapshot_writer::begin(const region_state& state, sequence_number sequence,
                            epoch_number epoch)
{
    KCR_ASSERT(!busy());
    m_values = make_snapshot(state, sequence, epoch, m_codec);
    m_sequence = sequence;
    m_chunk_revisions.clear();
    m_step = m_values.m_chunks.empty() ? step::head : step::chunks;
}

std::optional<tagged_operation> snapshot_writer::poll(instant now)
{
    if (m_in_flight || m_step == step::none || now < m_not_before)
    {
        return std::nullopt;
    }
    m_in_flight = true;
    switch (m_step)
    {
    case step::chunks:
    {
        const std::size_t index = m_chunk_revisions.size();
        return tagged_operation{
            0, store_put{snapshot_chunk_key(m_region, m_values.m_name, index),
                         m_values.m_chunks[index], 0, ""}};
    }
    case step::head:
        return tagged_operation{0, store_put{snapshot_key(m_region),
                                             m_values.m_head, m_head_revision,
                                             ""}};
    case step::read_head:
        return tagged_operation{0, store_get{snapshot_key(m_region)}};
    case step::cleanup:
        return tagged_operation{0, store_delete{m_obsolete.front().m_key,
                                                m_obsolete.front().m_revision}};
    case step::none:
        break;
    }
    m_in_flight = false;
    return std::nullopt;
}

std::optional<sequence_number>
snapshot_writer::on_outcome(const store_outcome& outcome, instant now)
{
    m_in_flight = false;
    if (std::holds_alternative<store_failed>(outcome))
    {
        m_not_before = now + m_backoff.next(m_random);
        m_step = m_step == step::head ? step::read_head : m_step;
        return std::nullopt;
    }
    m_backoff.reset();
    switch (m_step)
    {
    case step::chunks:
        return on_chunk(outcome);
    case step::head:
        return on_head(outcome);
    case step::read_head:
        return on_read(outcome);
    case step::cleanup:
        m_obsolete.pop_front();
        m_step = m_obsolete.empty() ? step::none : step::cleanup;
        return std::nullopt;
    case step::none:
        break;
    }
    return std::nullopt;
}

std::optional<sequence_number>
snapshot_writer::on_chunk(const store_outcome& outcome)
{
    // Only this owner writes the key, and only once. A conflict means that an
    // earlier write without an answer took effect.
    if (const auto* written = std::get_if<store_written>(&outcome))
    {
        m_chunk_revisions.push_back(written->m_revision);
    }
    else
    {
        const auto* conflict = std::get_if<store_conflict>(&outcome);
        KCR_ASSERT(conflict != nullptr);
        m_chunk_revisions.push_back(conflict->m_revision);
    }
    if (m_chunk_revisions.size() == m_values.m_chunks.size())
    {
        m_step = step::head;
    }
    return std::nullopt;
}

std::optional<sequence_number>
snapshot_writer::on_head(const store_outcome& outcome)
{
    if (const auto* written = std::get_if<store_written>(&outcome))
    {
        return finish(written->m_revision);
    }
    m_step = step::read_head;
    return std::nullopt;
}

std::optional<sequence_number>
snapshot_writer::on_read(const store_outcome& outcome)
{
    const auto* value = std::get_if<store_value>(&outcome);
    KCR_ASSERT(value != nullptr);
    if (value->m_revision != 0)
    {
        const result<snapshot_head> read =
            read_snapshot_head(value->m_value, m_codec);
        KCR_ASSERT(succeeded(read));
        const snapshot_head& head = value_of(read);
        if (head.m_name == m_values.m_name)
        {
            return finish(value->m_revision);
        }
        if (head.m_sequence >= m_sequence)
        {
            // A later owner has written a newer snapshot; this one is dropped.
            mark_obsolete(m_values.m_name, m_chunk_revisions);
            m_step = m_obsolete.empty() ? step::none : step::cleanup;
            return std::nullopt;
        }
    }
    m_head_revision = value->m_revision;
    m_step = step::head;
    return std::nullopt;
}

std::optional<sequence_number> snapshot_writer::finish(store_revision revision)
{
    mark_obsolete(m_head_name, m_head_chunks);
    m_head_name = m_values.m_name;
    m_head_revision = revision;
    m_head_chunks = m_chunk_revisions;
    m_values = {};
    m_step = m_obsolete.empty() ? step::none : step::cleanup;
    return m_sequence;
}

void snapshot_writer::mark_obsolete(const std::string& name,
                                    const std::vector<store_revision>& chunks)
{
    for (std::size_t index = 0; index < chunks.size(); ++index)
    {
        m_obsolete.push_back(
            {snapshot_chunk_key(m_region, name, index), chunks[index]});
    }
}

} // namespace kingcuprudder

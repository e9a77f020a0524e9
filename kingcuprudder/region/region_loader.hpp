#ifndef KINGCUPRUDDER_REGION_REGION_LOADER_HPP
#define KINGCUPRUDDER_REGION_REGION_LOADER_HPP

#include <kingcuprudder/region/region_log.hpp>
#include <kingcuprudder/region/region_snapshot.hpp>

#include <map>
#include <optional>
#include <vector>

namespace kingcuprudder
{

/// Rebuilds a region's state from the store: reads the snapshot's head, its
/// chunks, then log slots up to the first one that holds an older sequence.
class region_loader
{
public:
    region_loader(region_id region, const owner_codec& codec,
                  std::uint64_t seed);

    /// Starts again from the snapshot.
    void restart();

    /// Continues to read log slots after another owner has appended.
    void resume();

    /// Returns the store calls to send now.
    std::vector<tagged_operation> poll(instant now);

    void on_outcome(std::uint32_t tag, const store_outcome& outcome,
                    instant now);

    /// Whether the state contains all entries up to the end of the log that was
    /// read.
    bool done() const { return m_step == step::done; }

    region_state& state() { return m_state; }
    sequence_number next() const { return m_next; }
    const snapshot_head& head() const { return m_head; }
    store_revision head_revision() const { return m_head_revision; }
    const std::vector<store_revision>& chunk_revisions() const
    {
        return m_chunk_revisions;
    }
    const region_log::slot_revisions& slot_revisions() const
    {
        return m_revisions;
    }

private:
    enum class step
    {
        head,
        chunks,
        slots,
        done,
    };

    std::vector<tagged_operation> window();
    void on_head(const store_value& value);
    void on_chunk(const store_value& value);
    void on_window();
    bool apply_slot(const store_value& value, sequence_number sequence);
    void apply_all(const std::vector<log_record>& records);

    region_id m_region;
    const owner_codec& m_codec;
    std::mt19937_64 m_random;
    retry_backoff m_backoff;

    step m_step = step::done;
    std::size_t m_in_flight = 0;
    bool m_failed = false; ///< A read of the current window has failed.
    instant m_not_before;
    std::map<std::uint32_t, store_value> m_answers;

    region_state m_state;
    snapshot_head m_head;
    store_revision m_head_revision = 0;
    std::vector<store_revision> m_chunk_revisions;
    sequence_number m_next = 1;
    region_log::slot_revisions m_revisions;
};

} // namespace kingcuprudder

#endif

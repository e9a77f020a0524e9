#ifndef KINGCUPRUDDER_REGION_SNAPSHOT_WRITER_HPP
#define KINGCUPRUDDER_REGION_SNAPSHOT_WRITER_HPP

#include <kingcuprudder/region/region_snapshot.hpp>
#include <kingcuprudder/region/store_operation.hpp>

#include <deque>
#include <optional>
#include <string>

namespace kingcuprudder
{

/// Writes snapshots of the region's state: chunks first, the head last by
/// compare-and-swap, then deletes the chunks of the snapshot it replaced.
class snapshot_writer
{
public:
    snapshot_writer(region_id region, const owner_codec& codec,
                    std::uint64_t seed);

    /// Initializes the writer for a new owner with the head and the chunk
    /// revisions that it has read. `revision` is 0 if there was no snapshot.
    void open(const snapshot_head& head, store_revision revision,
              const std::vector<store_revision>& chunks);

    /// Whether a snapshot is being written.
    bool busy() const { return m_step != step::none; }

    /// Starts to write the state after log entry `sequence`.
    void begin(const region_state& state, sequence_number sequence,
               epoch_number epoch);

    /// Returns the store call to send now, if any.
    std::optional<tagged_operation> poll(instant now);

    /// Applies the outcome of a store call. Returns the sequence of the
    /// snapshot if it has become durable.
    std::optional<sequence_number> on_outcome(const store_outcome& outcome,
                                              instant now);

private:
    enum class step
    {
        none,
        chunks,
        head,
        read_head, ///< Reads the head after a conflict or a lost answer.
        cleanup,
    };

    struct obsolete_chunk
    {
        std::string m_key;
        store_revision m_revision = 0;
    };

    std::optional<sequence_number> on_chunk(const store_outcome& outcome);
    std::optional<sequence_number> on_head(const store_outcome& outcome);
    std::optional<sequence_number> on_read(const store_outcome& outcome);
    std::optional<sequence_number> finish(store_revision revision);
    void mark_obsolete(const std::string& name,
                       const std::vector<store_revision>& chunks);

    region_id m_region;
    const owner_codec& m_codec;
    std::mt19937_64 m_random;
    retry_backoff m_backoff;
    step m_step = step::none;
    bool m_in_flight = false;
    instant m_not_before;

    snapshot_values m_values;
    sequence_number m_sequence = 0;
    std::vector<store_revision> m_chunk_revisions;

    std::string m_head_name; ///< Name of the current snapshot.
    store_revision m_head_revision = 0;
    std::vector<store_revision> m_head_chunks;
    std::deque<obsolete_chunk> m_obsolete;
};

} // namespace kingcuprudder

#endif

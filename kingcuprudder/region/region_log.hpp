#ifndef KINGCUPRUDDER_REGION_REGION_LOG_HPP
#define KINGCUPRUDDER_REGION_REGION_LOG_HPP

#include <kingcuprudder/region/region_keys.hpp>
#include <kingcuprudder/region/region_owner.hpp>
#include <kingcuprudder/region/store_operation.hpp>

#include <array>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace kingcuprudder
{

/// Identifies an appended record until it is committed.
using record_ticket = std::uint64_t;

/// Appends records to the region's log by compare-and-swap on its slots. One
/// append is in flight at a time; records that arrive meanwhile form the next
/// batch. An append is retried until it is committed or fenced by another
/// owner.
class region_log
{
public:
    /// The result of withdrawing a record.
    enum class withdrawal
    {
        withdrawn, ///< It was not sent and never will be.
        undecided, ///< It is part of the append in flight.
        settled,   ///< It was committed before.
    };

    /// The result of an answer from the store.
    struct progress
    {
        std::vector<log_record> m_committed;
        /// Another owner has written an entry, so no further record can be
        /// committed.
        bool m_fenced = false;
    };

    /// Revisions of the slots read so far, indexed by slot number.
    using slot_revisions = std::array<std::optional<store_revision>, log_slots>;

    region_log(region_id region, const owner_codec& codec, std::uint64_t seed);

    /// Starts to append at sequence `next`; `snapshot` is the last sequence
    /// that a durable snapshot contains.
    void open(sequence_number next, sequence_number snapshot,
              epoch_number epoch, const slot_revisions& revisions);

    /// Adds a record to the next batch.
    record_ticket append(log_record record);

    /// Withdraws a record if it has not been sent yet.
    withdrawal withdraw(record_ticket ticket);

    /// Called when a newer snapshot is durable, so that slots up to its
    /// sequence may be overwritten.
    void snapshot_written(sequence_number snapshot);

    /// Returns the store call to send now, if any.
    std::optional<tagged_operation> poll(instant now);

    progress on_outcome(const store_outcome& outcome, instant now);

    /// Whether the append in flight has taken longer than one second.
    bool stalled(instant now) const;

    /// Whether nothing is queued or in flight.
    bool idle() const { return m_batch.empty() && m_queue.empty(); }

    /// The sequence of the latest committed entry.
    sequence_number committed() const { return m_next - 1; }
    sequence_number snapshot() const { return m_snapshot; }

private:
    struct queued_record
    {
        record_ticket m_ticket = 0;
        log_record m_record;
        std::size_t m_size = 0;
    };

    enum class activity
    {
        none,      ///< No call is in flight.
        preparing, ///< The slot's revision is being read.
        writing,   ///< The compare-and-swap is in flight.
        verifying, ///< The slot is being read after a lost answer.
    };

    bool fill_batch(instant now);
    tagged_operation read_slot(activity why);
    tagged_operation write_slot();
    progress on_slot(const store_value& value);
    progress commit(store_revision revision);
    void retry_later(instant now);
    std::optional<store_revision>& next_revision();

    region_id m_region;
    const owner_codec& m_codec;
    std::mt19937_64 m_random;
    retry_backoff m_backoff;

    std::deque<queued_record> m_queue;
    std::vector<queued_record> m_batch; ///< The append in flight.
    std::string m_batch_id;
    std::string m_batch_value;
    instant m_batch_since;

    activity m_activity = activity::none;
    bool m_must_verify = false;
    instant m_not_before;
    /// Tokens of the append rate limit: appends that may be sent immediately.
    /// One is added every 10 ms.
    std::int64_t m_append_tokens = 0;
    instant m_tokens_added_at;

    epoch_number m_epoch = 0;
    sequence_number m_next = 1;
    sequence_number m_snapshot = 0;
    record_ticket m_last_ticket = 0;
    record_ticket m_settled_ticket = 0;
    slot_revisions m_revisions;
};

/// An upper estimate of a record's encoded size in bytes.
std::size_t estimated_size(const log_record& record);

/// Largest batch of records that one append carries, in bytes.
inline constexpr std::size_t max_batch_bytes = std::size_t{512} * 1024;

} // namespace kingcuprudder

#endif

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

/// Names a record that was handed to the log, until it is committed.
using record_ticket = std::uint64_t;

/// Turns records into compare-and-swaps on the region's log slots: one append
/// in flight, records that arrive meanwhile go into the next batch. An append
/// is never given up: it ends committed, or fenced by another owner.
class region_log
{
public:
    /// What became of a record that was to be withdrawn.
    enum class withdrawal
    {
        withdrawn, ///< It had not been sent and never will be.
        undecided, ///< It is part of the append in flight.
        settled,   ///< It was committed before.
    };

    /// What an answer of the store settled.
    struct progress
    {
        std::vector<log_record> m_committed;
        /// Another owner has written an entry: nothing more can be committed.
        bool m_fenced = false;
    };

    /// Revisions of slots that are known already, by slot number.
    using slot_revisions = std::array<std::optional<store_revision>, log_slots>;

    region_log(region_id region, const owner_codec& codec, std::uint64_t seed);

    /// Starts to append at `next`; `snapshot` is the latest durable one.
    void open(sequence_number next, sequence_number snapshot,
              epoch_number epoch, const slot_revisions& known);

    /// Adds a record to the next batch.
    record_ticket append(log_record record);

    /// Takes a record back if it has not been sent yet.
    withdrawal withdraw(record_ticket ticket);

    /// A newer snapshot is durable: slots up to it may be overwritten.
    void snapshot_written(sequence_number snapshot);

    /// The store call to make now, if any.
    std::optional<tagged_operation> poll(instant now);

    progress on_outcome(const store_outcome& outcome, instant now);

    /// Whether the append in flight has waited for longer than a second.
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
    /// Appends that may be made at once; one is added every 10 ms.
    std::int64_t m_append_credit = 0;
    instant m_credit_at;

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

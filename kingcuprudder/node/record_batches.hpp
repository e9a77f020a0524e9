#ifndef KINGCUPRUDDER_NODE_RECORD_BATCHES_HPP
#define KINGCUPRUDDER_NODE_RECORD_BATCHES_HPP

#include <kingcuprudder/base/time.hpp>

#include <cstddef>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace kingcuprudder::node
{

/// A record that the store does not take for its own sake. It is written alone,
/// after a pause.
struct set_aside_record
{
    std::string m_job;
    /// How often it was not taken while it was written alone.
    int m_failures = 0;
    /// It is not written again before this time is over.
    span m_pause;

    friend bool operator==(const set_aside_record&,
                           const set_aside_record&) = default;
};

/// Selects the records of jobs that are written in one transaction. After the
/// store has refused a batch for its content, its records are written in
/// batches of half its size until the refused one stands alone. That one is set
/// aside, and the records of all other jobs go on. One batch is in flight at a
/// time.
class record_batches
{
public:
    /// Begins an empty batch.
    void begin(instant now);
    /// Adds a job's record to the batch if it may be written now and together
    /// with those that the batch has. The record of a job that has ended since
    /// it was set aside is a new one and does not wait. Returns whether it was
    /// added.
    bool add(const std::string& job, bool ended);
    /// Takes a record out of the batch before it is sent.
    void remove(const std::string& job);
    /// Takes a record that no store would take out of the batch and sets it
    /// aside.
    set_aside_record refuse(const std::string& job, instant now);

    /// Notes that the store has the batch.
    void stored();
    /// Notes that the batch may not have been stored, for a reason that is not
    /// in its content.
    void failed();
    /// Notes that the store refused the batch for its content. Returns the
    /// records that are set aside: one if it stood alone.
    std::vector<set_aside_record> refused(instant now);
    /// Notes that these records of the batch had another revision than
    /// expected; none if the conflict does not show which. A conflict is usual
    /// after a lost answer, but not one that repeats. Returns the records that
    /// are set aside.
    std::vector<set_aside_record>
    conflicted(const std::vector<std::string>& outdated, instant now);

private:
    /// The number of entries of a transaction limits all other batches.
    static constexpr std::size_t no_limit =
        std::numeric_limits<std::size_t>::max();

    /// What is known about a record that is not known to be sound.
    struct suspicion
    {
        /// The most records in a batch with it.
        std::size_t m_max_batch = no_limit;
        int m_conflicts = 0;
        int m_failures = 0;
        instant m_due;
        bool m_ended = false;
    };
    struct batch_entry
    {
        std::string m_job;
        bool m_ended = false;
    };

    suspicion& suspect(const std::string& job);
    set_aside_record set_aside(const batch_entry& entry, instant now);

    std::map<std::string, suspicion> m_suspected;
    std::vector<batch_entry> m_batch;
    /// The most records in the batch.
    std::size_t m_max_batch = no_limit;
    instant m_began_at;
};

} // namespace kingcuprudder::node

#endif

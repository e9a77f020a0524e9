#ifndef KINGCUPRUDDER_DISPATCH_CRASH_EVIDENCE_HPP
#define KINGCUPRUDDER_DISPATCH_CRASH_EVIDENCE_HPP

#include <string_view>

namespace kingcuprudder::dispatch
{

/// How strongly the loss of a worker points to one of its runs.
enum class crash_suspicion
{
    none,     ///< The loss has another explanation, or the run was not new.
    slight,   ///< The run was new, but the worker or others were lost anyway.
    possible, ///< The run was new, and so were others, or its start is unknown.
    certain,  ///< The worker was lost right after the start of this run only.
};

std::string_view to_string(crash_suspicion suspicion);

/// Returns how much a loss of this kind counts beside those of other kinds.
int weight_of(crash_suspicion suspicion);

/// The lost workers that are attributed to one task. Stored with the task, so
/// that it outlives the leader.
struct crash_evidence
{
    int m_certain = 0;
    int m_possible = 0;
    int m_slight = 0;

    /// Counts a lost worker, or discards it if the count is -1.
    void add(crash_suspicion suspicion, int count = 1);
    /// Returns whether any lost worker is attributed to the task, so that its
    /// next run is kept apart from the starts of others.
    bool any() const { return m_certain + m_possible + m_slight > 0; }
    /// Returns whether the losses show that the task crashes its workers. This
    /// takes three to five.
    bool is_conclusive() const;

    friend bool operator==(const crash_evidence&,
                           const crash_evidence&) = default;
};

} // namespace kingcuprudder::dispatch

#endif

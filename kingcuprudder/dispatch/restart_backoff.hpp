#ifndef KINGCUPRUDDER_DISPATCH_RESTART_BACKOFF_HPP
#define KINGCUPRUDDER_DISPATCH_RESTART_BACKOFF_HPP

#include <kingcuprudder/base/time.hpp>

namespace kingcuprudder::dispatch
{

/// A run of a persistent task that was at work for this long has succeeded,
/// though such a run never completes.
constexpr span successful_run = span(3000);

/// A persistent task must be at work again within 6 s of its last run, of which
/// the storage of its record and its start take a part.
constexpr span max_restart_delay = span(4000);

/// The exponential backoff of a persistent task whose runs end shortly after
/// their start. The first restart has no delay.
class restart_backoff
{
public:
    /// Notes that the run with this number ended by itself after this time at
    /// work. Members of a gang have one run.
    void run_ended(int run, span at_work, instant now);
    /// Returns whether the task may be started again.
    bool has_passed(instant now) const { return now >= m_restart_at; }
    /// Returns the delay before the next run, measured from the last one.
    span delay() const;

    friend bool operator==(const restart_backoff&,
                           const restart_backoff&) = default;

private:
    int m_last_run = 0;
    int m_short_runs = 0; ///< In a row.
    instant m_restart_at;
};

} // namespace kingcuprudder::dispatch

#endif

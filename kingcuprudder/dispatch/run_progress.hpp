#ifndef KINGCUPRUDDER_DISPATCH_RUN_PROGRESS_HPP
#define KINGCUPRUDDER_DISPATCH_RUN_PROGRESS_HPP

#include <kingcuprudder/base/time.hpp>

namespace kingcuprudder::dispatch
{

/// Follows how fast a run works from the shares of its work that a worker
/// reports. A run is measured against its own earlier speed, as predicted
/// times may be several times too short.
class run_progress
{
public:
    /// Forgets what was seen; the next report is what others are measured from.
    void reset();
    /// A report of the share done; the predicted time is that of the whole.
    void observe(int percent, span predicted, instant now);

    int percent() const { return m_percent; }
    /// Works far slower than before, or stands still.
    bool is_slow() const;
    /// Whether a new run elsewhere is likely to end sooner.
    bool is_faster_elsewhere(span predicted, bool writes_checkpoints) const;

private:
    int m_percent = 0;
    /// The share is known; one that goes on from a checkpoint begins over 0.
    bool m_has_percent = false;
    instant m_since;        ///< When the share was first seen to be this one.
    double m_best_rate = 0; ///< The highest speed, in percent a millisecond.
    double m_rate = 0;      ///< The speed over the last reports.
    int m_slow_reports = 0;
};

} // namespace kingcuprudder::dispatch

#endif

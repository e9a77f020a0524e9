#ifndef KINGCUPRUDDER_DISPATCH_RUN_PROGRESS_HPP
#define KINGCUPRUDDER_DISPATCH_RUN_PROGRESS_HPP

#include <kingcuprudder/base/time.hpp>

#include <optional>

namespace kingcuprudder::dispatch
{

/// Measures the rate of a run from the completed percentage that its worker
/// reports. The rate is compared with the run's own earlier rate, as predicted
/// durations may be several times too short.
class run_progress
{
public:
    /// Discards all reports; the next report becomes the reference.
    void reset();
    /// Applies a report of the completed percentage. The expected duration is
    /// the longest likely one of the whole task. The more of the task's runs
    /// were stopped as too slow, the slower a run may be, as the task may take
    /// far longer than expected.
    void observe(int percent, span expected, int earlier_stops, instant now);

    int percent() const { return m_percent; }
    /// Returns how long the run is expected to go on at the rate since its
    /// first report; empty if it has not advanced since.
    std::optional<span> expected_left(instant now) const;
    /// Returns whether the run is far slower than before or stalled.
    bool is_slow() const;
    /// Returns whether a new run on another worker is likely to end sooner.
    bool is_faster_elsewhere(span expected, bool writes_checkpoints) const;

private:
    /// Applies the rate of a run that advanced to the percentage.
    void update_best_rate(int percent, instant now);

    int m_percent = 0;
    /// A percentage was reported. The first one may be above 0, as a run may
    /// resume from a checkpoint.
    bool m_has_percent = false;
    instant m_since; ///< The time of the report that set m_percent.
    int m_first_percent = 0;
    instant m_first_at;
    /// The highest rate that the run had at least, in percent per millisecond.
    double m_best_rate = 0;
    double m_rate = 0; ///< The rate between the last reports.
    int m_slow_reports = 0;
};

} // namespace kingcuprudder::dispatch

#endif

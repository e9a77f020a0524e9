#include <kingcuprudder/dispatch/capacity_forecast.hpp>
#include <kingcuprudder/dispatch/run_progress.hpp>

#include <algorithm>
#include <cmath>

namespace kingcuprudder::dispatch
{

namespace
{

constexpr double full_percent = 100;
// Reports at shorter intervals, or between which less progress is expected, are
// too imprecise to measure the rate.
constexpr span min_report_interval = span(1000);
constexpr double min_expected_percent = 3;
constexpr double slow_rate_factor = 0.25;
constexpr int min_slow_reports = 2;
// Declared times may be too short by up to this factor, or this many times more
// for each run of the task that was stopped as too slow.
constexpr double max_underestimate_factor = 10;
constexpr double patience_per_stop = 4;
constexpr int max_counted_stops = 20;
constexpr span min_expected_duration = span(1000);
// A stalled worker is expected to continue within this time.
constexpr double max_stall_ms = 4000;
constexpr double restart_ms = 700;

double rate_of(double duration_ms)
{
    return full_percent / std::max(1.0, duration_ms);
}

double patience_after(int earlier_stops)
{
    return std::pow(patience_per_stop,
                    std::min(earlier_stops, max_counted_stops));
}

} // namespace

void run_progress::reset()
{
    *this = run_progress();
}

void run_progress::observe(int percent, span expected, int earlier_stops,
                           instant now)
{
    if (!m_has_percent)
    {
        m_has_percent = true;
        m_percent = percent;
        m_since = now;
        m_first_percent = percent;
        m_first_at = now;
        return;
    }
    const span elapsed = now - m_since;
    const auto elapsed_ms = static_cast<double>(elapsed.count());
    const auto expected_ms =
        static_cast<double>(std::max(expected, min_expected_duration).count());
    const double expected_rate =
        (m_best_rate > 0 ? m_best_rate
                         : rate_of(expected_ms * max_underestimate_factor)) /
        patience_after(earlier_stops);
    const bool moved = percent > m_percent;
    if (elapsed < min_report_interval ||
        (!moved && expected_rate * elapsed_ms < min_expected_percent))
    {
        return;
    }
    m_rate = (percent - m_percent) / elapsed_ms;
    m_slow_reports =
        m_rate < slow_rate_factor * expected_rate ? m_slow_reports + 1 : 0;
    if (moved)
    {
        update_best_rate(percent, now);
    }
    m_percent = percent;
    m_since = now;
}

void run_progress::update_best_rate(int percent, instant now)
{
    // Of the percents that were completed in between, the first one may have
    // been nearly complete before.
    const auto rate_since = [percent, now](int before, instant reported)
    {
        return (percent - before - 1) /
               static_cast<double>((now - reported).count());
    };
    m_best_rate = std::max({m_best_rate, rate_since(m_percent, m_since),
                            rate_since(m_first_percent, m_first_at)});
}

std::optional<span> run_progress::expected_left(instant now) const
{
    if (m_percent <= m_first_percent || m_since <= m_first_at)
    {
        return std::nullopt;
    }
    const double rate = (m_percent - m_first_percent) /
                        static_cast<double>((m_since - m_first_at).count());
    const span left =
        span(static_cast<std::int64_t>((full_percent - m_percent) / rate));
    return expected_time_left(now - m_since, left);
}

bool run_progress::is_slow() const
{
    return m_slow_reports >= min_slow_reports;
}

bool run_progress::is_faster_elsewhere(span expected,
                                       bool writes_checkpoints) const
{
    if (!is_slow())
    {
        return false;
    }
    const double normal_rate =
        m_best_rate > 0 ? m_best_rate
                        : rate_of(static_cast<double>(expected.count()));
    const double left = full_percent - m_percent;
    const double waited_ms = max_stall_ms + left / normal_rate;
    const double here_ms =
        m_rate > 0 ? std::min(left / m_rate, waited_ms) : waited_ms;
    const double elsewhere_ms =
        restart_ms + (writes_checkpoints ? left : full_percent) / normal_rate;
    return elsewhere_ms < here_ms;
}

} // namespace kingcuprudder::dispatch

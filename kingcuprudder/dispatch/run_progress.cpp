#include <kingcuprudder/dispatch/run_progress.hpp>

#include <algorithm>

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
// Declared times may be too short by up to this factor.
constexpr double max_underestimate_factor = 10;
// A stalled worker is expected to continue within this time.
constexpr double max_stall_ms = 4000;
constexpr double restart_ms = 700;

double rate_of(double duration_ms)
{
    return full_percent / std::max(1.0, duration_ms);
}

} // namespace

void run_progress::reset()
{
    *this = run_progress();
}

void run_progress::observe(int percent, span predicted, instant now)
{
    if (!m_has_percent)
    {
        m_has_percent = true;
        m_percent = percent;
        m_since = now;
        return;
    }
    const span elapsed = now - m_since;
    const auto elapsed_ms = static_cast<double>(elapsed.count());
    const double expected_rate =
        m_best_rate > 0 ? m_best_rate
                        : rate_of(static_cast<double>(predicted.count()) *
                                  max_underestimate_factor);
    const bool moved = percent > m_percent;
    if (elapsed < min_report_interval ||
        (!moved && expected_rate * elapsed_ms < min_expected_percent))
    {
        return;
    }
    m_rate = (percent - m_percent) / elapsed_ms;
    m_slow_reports =
        m_rate < slow_rate_factor * expected_rate ? m_slow_reports + 1 : 0;
    m_best_rate = std::max(m_best_rate, m_rate);
    m_percent = percent;
    m_since = now;
}

bool run_progress::is_slow() const
{
    return m_slow_reports >= min_slow_reports;
}

bool run_progress::is_faster_elsewhere(span predicted,
                                       bool writes_checkpoints) const
{
    if (!is_slow())
    {
        return false;
    }
    const double normal_rate =
        m_best_rate > 0 ? m_best_rate
                        : rate_of(static_cast<double>(predicted.count()));
    const double left = full_percent - m_percent;
    const double waited_ms = max_stall_ms + left / normal_rate;
    const double here_ms =
        m_rate > 0 ? std::min(left / m_rate, waited_ms) : waited_ms;
    const double elsewhere_ms =
        restart_ms + (writes_checkpoints ? left : full_percent) / normal_rate;
    return elsewhere_ms < here_ms;
}

} // namespace kingcuprudder::dispatch

#include <kingcuprudder/dispatch/drain_move.hpp>

namespace kingcuprudder::dispatch
{

namespace
{

constexpr int all_percent = 100;
// Before this, the run's own speed is not known well.
constexpr int min_measured_percent = 10;
constexpr span min_measured_time = span(500);
// A run that may end this long after the earliest exit of its worker is not
// moved, by whether a stop keeps its work.
constexpr span late_exit_with_checkpoint = span(500);
constexpr span late_exit_without_checkpoint = span(2000);

} // namespace

span remaining_time(const draining_run& run)
{
    const int left = all_percent - run.m_percent;
    const bool is_measured =
        run.m_at_work.value_or(span(0)) >= min_measured_time &&
        run.m_percent >= min_measured_percent;
    if (is_measured)
    {
        return span(run.m_at_work->count() * left / run.m_percent);
    }
    return span(run.m_predicted.count() * left / all_percent);
}

bool should_move(const draining_run& run)
{
    if (run.m_persistent)
    {
        return true;
    }
    const span late_exit = run.m_writes_checkpoints
                               ? late_exit_with_checkpoint
                               : late_exit_without_checkpoint;
    return remaining_time(run) > run.m_drain_left + late_exit;
}

} // namespace kingcuprudder::dispatch

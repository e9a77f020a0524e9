#ifndef KINGCUPRUDDER_DISPATCH_CAPACITY_FORECAST_HPP
#define KINGCUPRUDDER_DISPATCH_CAPACITY_FORECAST_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/dispatch/job_submission.hpp>

#include <functional>
#include <optional>
#include <vector>

namespace kingcuprudder::dispatch
{

/// The resources of a run that is expected to end.
struct capacity_release
{
    span m_after; ///< The time until the end.
    resources m_resources;

    friend bool operator==(const capacity_release&,
                           const capacity_release&) = default;
};

/// The capacity of a worker for new tasks, now and later.
struct worker_forecast
{
    /// The time until the worker can take new tasks.
    span m_usable_after;
    resources m_free;
    std::vector<capacity_release> m_releases;

    friend bool operator==(const worker_forecast&,
                           const worker_forecast&) = default;
};

/// Returns how long a run is expected to go on. One that has taken longer than
/// expected is taken to need as much time again as it is over.
span expected_time_left(span elapsed, span expected);

/// Returns how many tasks fit into the resources.
using tasks_that_fit = std::function<std::int64_t(const resources&)>;

/// Returns the time until this many tasks fit on the workers together; empty if
/// they never do.
std::optional<span> time_until_fit(const std::vector<worker_forecast>& workers,
                                   int tasks, const tasks_that_fit& fitting);

/// What is known when tasks can be started apart, where they take longer, or
/// wait for the place where they take least time.
struct place_choice
{
    /// The expected time until the better place is free; empty for never.
    std::optional<span> m_wait;
    span m_waited; ///< How long the tasks have waited already.
    /// The duration of a task at the better place.
    span m_duration;
    double m_slowdown = 1; ///< The factor to m_duration elsewhere.

    friend bool operator==(const place_choice&, const place_choice&) = default;
};

/// Returns whether tasks that wait for the better place are expected to end
/// sooner than elsewhere. A wait is taken to last at least as long again as it
/// has lasted, so that wrong forecasts do not prolong it without end.
bool ends_sooner_after_wait(const place_choice& choice);

} // namespace kingcuprudder::dispatch

#endif

#ifndef KINGCUPRUDDER_DISPATCH_UNRECORDED_RUNS_HPP
#define KINGCUPRUDDER_DISPATCH_UNRECORDED_RUNS_HPP

#include <kingcuprudder/dispatch/stop_attempts.hpp>
#include <kingcuprudder/dispatch/worker_orders.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kingcuprudder::dispatch
{

/// The runs that workers hold and no stored record explains, with the orders to
/// stop them.
class unrecorded_runs
{
public:
    using stops_by_run = std::map<run_ref, stop_attempts>;

    /// Returns whether the run is new here.
    bool add(const std::string& worker, const run_ref& run);
    /// Returns the stops of the run, or nothing if it is not here.
    std::optional<stop_attempts> remove(const std::string& worker,
                                        const run_ref& run);

    bool contains(const std::string& worker, const run_ref& run) const;
    bool any_on(const std::string& worker) const
    {
        return m_by_worker.contains(worker);
    }
    std::vector<run_ref> runs_on(const std::string& worker) const;
    std::size_t worker_count() const { return m_by_worker.size(); }
    /// Returns all runs by worker. A worker without runs has no entry.
    std::map<std::string, stops_by_run>& by_worker() { return m_by_worker; }

private:
    std::map<std::string, stops_by_run> m_by_worker;
};

} // namespace kingcuprudder::dispatch

#endif

#ifndef PERFORMANCE_TEST_DISPATCH_LOAD_FAULT_PLAN_HPP
#define PERFORMANCE_TEST_DISPATCH_LOAD_FAULT_PLAN_HPP

#include <kingcuprudder/base/time.hpp>

#include <string>

namespace kingcuprudder::dispatch
{

/// The faults of the workers in a load profile.
struct fault_plan
{
    /// The class of which a share of the jobs has one task that crashes each
    /// worker that starts it; empty for none.
    std::string m_crashing_class;
    double m_crashing_share = 0;
    /// The rate of crashes of single workers that no task causes.
    double m_crashes_per_second = 0;
    /// The number of workers that crash again and again.
    int m_flapping_workers = 0;
    /// The number of racks that lose power, spread over the load's duration.
    int m_rack_losses = 0;
    /// The rate of workers that are cut off and answer again later.
    double m_cut_offs_per_second = 0;
    /// A crashed worker returns with the same id and a new incarnation; else
    /// it returns with a new id.
    bool m_keeps_ids = false;
};

} // namespace kingcuprudder::dispatch

#endif

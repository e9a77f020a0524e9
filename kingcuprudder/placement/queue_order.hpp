#ifndef KINGCUPRUDDER_PLACEMENT_QUEUE_ORDER_HPP
#define KINGCUPRUDDER_PLACEMENT_QUEUE_ORDER_HPP

#include <kingcuprudder/placement/gang_policy_options.hpp>
#include <kingcuprudder/placement/plan.hpp>
#include <kingcuprudder/placement/run_time_estimator.hpp>

#include <vector>

namespace kingcuprudder
{

/// A queued job with the estimates that its order and placement depend on.
struct ordered_job
{
    const queued_job* m_job = nullptr;
    double m_rank = 0; ///< Lower ranks are placed first.
    span m_expected;   ///< Expected remaining run time.
};

/// Returns the queue in the order in which to place jobs: urgent ones first,
/// then by work, reduced with the wait. The aging prevents starvation.
std::vector<ordered_job> order_queue(const std::vector<queued_job>& queue,
                                     const run_time_estimator& estimator,
                                     const gang_policy_options& options,
                                     std::uint32_t fragmentation_weight_percent,
                                     instant now);

/// Returns the positions of at most count waiting jobs to get a reservation, in
/// descending order of size times wait relative to the expected run time. Jobs
/// that have waited less than min_wait are left out.
std::vector<std::size_t>
reservation_candidates(const std::vector<ordered_job>& order, std::size_t count,
                       span min_wait, instant now);

} // namespace kingcuprudder

#endif

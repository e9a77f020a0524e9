#ifndef KINGCUPRUDDER_PLACEMENT_QUEUE_ORDER_HPP
#define KINGCUPRUDDER_PLACEMENT_QUEUE_ORDER_HPP

#include <kingcuprudder/placement/gang_policy_options.hpp>
#include <kingcuprudder/placement/plan.hpp>
#include <kingcuprudder/placement/run_time_estimator.hpp>

#include <vector>

namespace kingcuprudder
{

/// A queued job with what its order and its placement are judged by.
struct ordered_job
{
    const queued_job* m_job = nullptr;
    double m_rank = 0; ///< Lower ranks are placed first.
    span m_expected;   ///< Expected remaining run time.
};

/// The queue in the order in which to place jobs: urgent ones first, then by
/// aged work. Aging moves every job to the front in the end.
std::vector<ordered_job> order_queue(const std::vector<queued_job>& queue,
                                     const run_time_estimator& estimator,
                                     const gang_policy_options& options,
                                     std::uint32_t fragmentation_weight_percent,
                                     instant now);

/// The waiting jobs that should get a reservation first, at most count, the
/// most pressing one first. Pressing are large gangs that wait long compared
/// to their run time.
std::vector<std::size_t>
reservation_candidates(const std::vector<ordered_job>& order, std::size_t count,
                       span min_wait, instant now);

} // namespace kingcuprudder

#endif

#include <kingcuprudder/placement/queue_order.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace kingcuprudder
{

namespace
{

constexpr double full_percent = 100;

/// Shorter expected run times count as this one.
constexpr span min_run_time = span::seconds(1);

double size_of(const shape& needed)
{
    return std::max(1u, needed.accelerators());
}

/// The binary logarithm of the expected work, reduced in proportion to the
/// wait. With a higher fragmentation weight the size counts less, and above
/// 50 % large shapes get lower ranks.
double aged_work(const ordered_job& job, const gang_policy_options& options,
                 std::uint32_t fragmentation_weight_percent, instant now)
{
    double weight = fragmentation_weight_percent / full_percent;
    double run_time =
        static_cast<double>(std::max(job.m_expected, min_run_time).count());
    double size = size_of(job.m_job->m_spec.m_shape);
    double waited =
        static_cast<double>((now - job.m_job->m_accepted_at).count());
    return std::log2(run_time) + (1 - 2 * weight) * std::log2(size) -
           waited / static_cast<double>(options.m_aging_half_life.count());
}

ordered_job make_ordered_job(const queued_job& job,
                             const run_time_estimator& estimator)
{
    const job_spec& spec = job.m_spec;
    const account_id& account = spec.m_key.m_account;
    span declared = spec.m_declared_run_time;
    span saved = job.m_saved_run_time;
    span expected = estimator.expected(account, spec.m_class, declared);
    return {&job, 0, run_time_estimator::remaining(expected, saved)};
}

} // namespace

std::vector<ordered_job> order_queue(const std::vector<queued_job>& queue,
                                     const run_time_estimator& estimator,
                                     const gang_policy_options& options,
                                     std::uint32_t fragmentation_weight_percent,
                                     instant now)
{
    std::vector<ordered_job> order;
    order.reserve(queue.size());
    for (const queued_job& each : queue)
    {
        ordered_job job = make_ordered_job(each, estimator);
        if (options.m_aged_order)
        {
            job.m_rank =
                aged_work(job, options, fragmentation_weight_percent, now);
        }
        order.push_back(job);
    }
    std::sort(order.begin(), order.end(),
              [](const ordered_job& left, const ordered_job& right)
              {
                  const queued_job& a = *left.m_job;
                  const queued_job& b = *right.m_job;
                  return std::tie(b.m_spec.m_urgent, left.m_rank,
                                  a.m_accepted_at, a.m_spec.m_key) <
                         std::tie(a.m_spec.m_urgent, right.m_rank,
                                  b.m_accepted_at, b.m_spec.m_key);
              });
    return order;
}

std::vector<std::size_t>
reservation_candidates(const std::vector<ordered_job>& order, std::size_t count,
                       span min_wait, instant now)
{
    std::vector<std::pair<double, std::size_t>> candidates;
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        const queued_job& job = *order[i].m_job;
        span waited = now - job.m_accepted_at;
        if (waited >= min_wait)
        {
            // The wait is relative to the run time: a reservation for a long
            // job that has waited briefly would delay many short jobs for long.
            double score =
                static_cast<double>(waited.count()) *
                size_of(job.m_spec.m_shape) /
                static_cast<double>(
                    std::max(order[i].m_expected, min_run_time).count());
            candidates.emplace_back(-score, i);
        }
    }
    count = std::min(count, candidates.size());
    std::partial_sort(candidates.begin(),
                      candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end());
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < count; ++i)
    {
        chosen.push_back(candidates[i].second);
    }
    return chosen;
}

} // namespace kingcuprudder

#include "metrics.hpp"

#include <kingcuprudder/placement/guarantee_layout.hpp>

#include <algorithm>
#include <bit>
#include <cmath>
#include <numeric>
#include <set>

namespace kingcuprudder
{

namespace
{

constexpr double ms_per_hour = 3600e3;

/// Number of future arrivals whose shapes measure the fragmentation.
constexpr std::size_t next_shapes = 16;

/// Maximum time until a requested guaranteed shape runs: the reclaim bound of
/// 800 ms plus the time for one further decision.
constexpr span guarantee_bound = span(1200);

double percentile(std::vector<double>& values, double share)
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end());
    long at = std::lround(share * static_cast<double>(values.size() - 1));
    return values[static_cast<std::size_t>(at)];
}

} // namespace

metrics::metrics(const deployment& where,
                 const std::vector<generated_job>& jobs, const cluster& region)
    : m_deployment(where), m_jobs(jobs), m_ranges(region)
{
    for (const auto& [account, values] : where.m_settings.m_accounts)
    {
        for (const guarantee& each : values.m_guarantees)
        {
            m_guarantees[{account, each.m_shape}].m_count += each.m_count;
        }
    }
}

void metrics::job_ended(const generated_job& job, instant now)
{
    double size = job.m_job.m_spec.m_shape.accelerators();
    if (size == 0)
    {
        return;
    }
    auto completion =
        static_cast<double>((now - job.m_job.m_accepted_at).count());
    m_completions.push_back(completion / ms_per_hour);
    m_slowdowns += completion / static_cast<double>(job.m_actual.count());
    m_completed_work += static_cast<double>(job.m_actual.count()) * size;
}

void metrics::job_started_first(const generated_job& job, instant now)
{
    if (job.m_job.m_spec.m_shape.accelerators() >= m_deployment.m_largest_gang)
    {
        m_largest_waits.push_back(
            static_cast<double>((now - job.m_job.m_accepted_at).count()) /
            ms_per_hour);
    }
}

void metrics::record_pass_time(double microseconds)
{
    m_pass_total += microseconds;
    m_result.m_pass_max_us = std::max(m_result.m_pass_max_us, microseconds);
    ++m_passes;
}

metrics::guarantee_state* metrics::guarantee_of(const job_spec& spec)
{
    for (auto& [key, state] : m_guarantees)
    {
        if (key.first == spec.m_key.m_account &&
            covers(key.second, spec.m_shape))
        {
            return &state;
        }
    }
    return nullptr;
}

void metrics::update_guarantees(const std::vector<queued_job>& queue,
                                const std::vector<running_job>& running,
                                instant now)
{
    for (auto& [key, state] : m_guarantees)
    {
        state.m_running = 0;
        state.m_waiting = 0;
    }
    for (const running_job& each : running)
    {
        guarantee_state* state = guarantee_of(each.m_spec);
        if (state != nullptr && !each.m_stopping)
        {
            ++state->m_running;
        }
    }
    for (const queued_job& each : queue)
    {
        guarantee_state* state = guarantee_of(each.m_spec);
        if (state != nullptr)
        {
            ++state->m_waiting;
        }
    }
    for (auto& [key, state] : m_guarantees)
    {
        bool unmet = state.m_waiting > 0 && state.m_running < state.m_count;
        if (unmet && !state.m_unmet)
        {
            state.m_unmet_since = now;
            ++m_result.m_guarantee_requests;
        }
        else if (!unmet && state.m_unmet &&
                 now - state.m_unmet_since > guarantee_bound)
        {
            ++m_result.m_guarantee_misses;
        }
        state.m_unmet = unmet;
    }
}

double metrics::unusable_share(const cluster& region, std::size_t arrived) const
{
    free_table table = free_resources(region);
    double free = 0;
    for (const free_capacity& each : table)
    {
        free += std::popcount(each.m_accelerators);
    }
    std::map<shape, std::size_t> shapes;
    std::size_t count = 0;
    for (std::size_t i = arrived; i < m_jobs.size() && count < next_shapes; ++i)
    {
        const shape& needed = m_jobs[i].m_job.m_spec.m_shape;
        if (needed.accelerators() > 0)
        {
            ++shapes[needed];
            ++count;
        }
    }
    if (free == 0 || count == 0)
    {
        return -1;
    }
    double usable = 0;
    for (const auto& [needed, times] : shapes)
    {
        for (const worker_range& range : m_ranges.of(needed.m_proximity))
        {
            std::uint32_t tasks = 0;
            double in_range = 0;
            for (std::size_t i = range.m_first; i < range.m_last; ++i)
            {
                std::uint32_t here = tasks_that_fit(table[i], needed);
                tasks += here;
                in_range +=
                    here > 0 ? std::popcount(table[i].m_accelerators) : 0;
            }
            if (tasks >= needed.m_tasks)
            {
                usable += in_range * static_cast<double>(times);
            }
        }
    }
    return 1 - usable / free / static_cast<double>(count);
}

void metrics::advance_to(const cluster& region, std::size_t arrived,
                         instant now)
{
    auto length = static_cast<double>((now - m_last).count());
    m_last = now;
    if (length <= 0)
    {
        return;
    }
    double share = unusable_share(region, arrived);
    if (share >= 0)
    {
        m_fragmentation += share * length;
        m_fragmentation_time += length;
    }
}

quality metrics::finish()
{
    double total =
        std::accumulate(m_completions.begin(), m_completions.end(), 0.0);
    auto count =
        static_cast<double>(std::max<std::size_t>(1, m_completions.size()));
    m_result.m_mean_h = total / count;
    m_result.m_p50_h = percentile(m_completions, 0.5);
    m_result.m_p99_h = percentile(m_completions, 0.99);
    m_result.m_slowdown = m_slowdowns / count;
    m_result.m_bound_ratio =
        m_result.m_mean_h * ms_per_hour /
        completion_lower_bound(m_jobs, m_deployment.accelerators());
    m_result.m_fragmentation =
        m_fragmentation / std::max(1.0, m_fragmentation_time);
    m_result.m_largest_p99_wait_h = percentile(m_largest_waits, 0.99);
    m_result.m_lost_share =
        m_lost_work / std::max(1.0, m_completed_work + m_lost_work);
    m_result.m_pass_mean_us =
        m_pass_total / static_cast<double>(std::max<std::size_t>(1, m_passes));
    return m_result;
}

} // namespace kingcuprudder

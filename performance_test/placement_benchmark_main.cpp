// Decision time and memory of the gang policy at the planned size (scale 1:
// 670 workers, 920 accelerators, 13,000 running tasks, 150 accounts) and at
// four and sixteen times that size.

#include "workload.hpp"
#include <kingcuprudder/base/assert.hpp>
#include <kingcuprudder/placement/gang_policy.hpp>

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <string>

namespace
{

using namespace kingcuprudder;

constexpr std::size_t tasks_per_job = 64;
constexpr std::size_t running_tasks = 13000;
constexpr std::uint32_t accelerators_in_use_percent = 85;

/// A region under full load at a multiple of the planned size.
struct busy_region
{
    deployment m_deployment;
    cluster m_region;
    std::vector<running_job> m_running;
    instant m_now{span::hours(100).count()};

    explicit busy_region(std::size_t scale)
        : m_deployment(planned_deployment(
              "planned", 670 * scale, static_cast<std::uint32_t>(920 * scale),
              9, 150 * scale)),
          m_region(m_deployment.m_workers)
    {
        fill_accelerators();
        fill_tasks(scale);
    }

    void start(const job_spec& spec, const placement& where)
    {
        m_region.allocate(spec.m_shape, where);
        instant placed = m_now - span::minutes(static_cast<std::int64_t>(
                                     10 + m_running.size() % 600));
        m_running.push_back({spec, where, placed, {}, false});
    }

    job_spec spec(const shape& needed, std::size_t number) const
    {
        job_spec made;
        made.m_key = {
            m_deployment.m_shares[number % m_deployment.m_shares.size()].first,
            job_id("running" + std::to_string(number))};
        made.m_class = job_class_id("class" + std::to_string(number % 3));
        made.m_shape = needed;
        made.m_declared_run_time =
            span::minutes(static_cast<std::int64_t>(30 + number % 1000));
        return made;
    }

    void fill_accelerators()
    {
        worker_ranges ranges(m_region);
        std::uint32_t wanted =
            m_deployment.accelerators() * accelerators_in_use_percent / 100;
        for (std::uint32_t used = 0, i = 0; used < wanted; ++i)
        {
            shape needed{1 + i * 7 % 16, 1, 2, 1024, proximity::zone};
            auto where = first_fit(free_resources(m_region), ranges, needed);
            if (!where.has_value())
            {
                needed.m_tasks = 1;
                where = first_fit(free_resources(m_region), ranges, needed);
            }
            used += needed.m_tasks;
            start(spec(needed, m_running.size()),
                  to_placement(m_region, *where));
        }
    }

    /// Tasks without accelerators, spread over all workers.
    void fill_tasks(std::size_t scale)
    {
        std::size_t tasks = 0;
        for (const running_job& each : m_running)
        {
            tasks += each.m_spec.m_shape.m_tasks;
        }
        std::size_t worker = 0;
        for (; tasks < running_tasks * scale; tasks += tasks_per_job)
        {
            shape needed{tasks_per_job, 0, 1, 512, proximity::region};
            placement where;
            for (std::size_t i = 0; i < tasks_per_job; ++i)
            {
                where.push_back(
                    {m_region.worker_at(worker++ % m_region.size()).m_id, 1,
                     0});
            }
            start(spec(needed, m_running.size()), where);
        }
    }

    queued_job gang_of_64(std::uint32_t accelerators) const
    {
        queued_job job;
        job.m_spec = spec({64, accelerators, 1, 512, proximity::zone}, 0);
        job.m_spec.m_key.m_account = account_id("another");
        job.m_spec.m_key.m_job = job_id("gang");
        job.m_accepted_at = m_now - span::hours(1);
        return job;
    }

    std::vector<queued_job> long_queue(std::size_t count) const
    {
        std::vector<queued_job> queue;
        for (std::size_t i = 0; i < count; ++i)
        {
            queued_job job = gang_of_64(1);
            auto tasks = static_cast<std::uint32_t>(1 + i % 64);
            job.m_spec.m_shape.m_tasks = tasks;
            job.m_spec.m_key.m_job = job_id("queued" + std::to_string(i));
            queue.push_back(job);
        }
        return queue;
    }
};

std::shared_ptr<busy_region> region_of(std::size_t scale)
{
    static std::shared_ptr<busy_region> kept;
    static std::size_t kept_scale = 0;
    if (kept_scale != scale)
    {
        kept = std::make_shared<busy_region>(scale);
        kept_scale = scale;
    }
    return kept;
}

/// Reports the median and the 99th percentile of the measured times.
void report(benchmark::State& state, std::vector<double>& microseconds)
{
    std::sort(microseconds.begin(), microseconds.end());
    auto at = [&](std::size_t percent)
    { return microseconds[(microseconds.size() - 1) * percent / 100]; };
    state.counters["p50_us"] = at(50);
    state.counters["p99_us"] = at(99);
}

template <class Action>
double microseconds_of(Action action)
{
    auto before = std::chrono::steady_clock::now();
    action();
    std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - before;
    return took.count();
}

std::unique_ptr<gang_policy> make_policy(const busy_region& region)
{
    auto policy = std::make_unique<gang_policy>();
    policy->configure(region.m_deployment.m_settings, region.m_region,
                      region.m_running);
    // Converts the running jobs once, as earlier passes of an owner have done.
    policy->make_plan(region.m_region, {}, region.m_running, region.m_now);
    return policy;
}

/// Measures passes over this queue. Between passes one running job is replaced,
/// as each event in operation changes the running jobs.
void measure_passes(benchmark::State& state,
                    const std::vector<queued_job>& queue)
{
    auto region = region_of(static_cast<std::size_t>(state.range(0)));
    auto policy = make_policy(*region);
    std::vector<running_job> running = region->m_running;
    std::vector<double> times;
    std::size_t changed = 0;
    for (auto unused : state)
    {
        (void)unused;
        running_job& next = running[changed++ % running.size()];
        next.m_placed_at = next.m_placed_at + span(1);
        plan decided;
        times.push_back(microseconds_of(
            [&]
            {
                decided = policy->make_plan(region->m_region, queue, running,
                                            region->m_now);
            }));
        state.SetIterationTime(times.back() / 1e6);
        benchmark::DoNotOptimize(decided);
    }
    report(state, times);
}

void gang_of_64_placed(benchmark::State& state)
{
    auto region = region_of(static_cast<std::size_t>(state.range(0)));
    measure_passes(state, {region->gang_of_64(0)});
}

void gang_of_64_reserved(benchmark::State& state)
{
    auto region = region_of(static_cast<std::size_t>(state.range(0)));
    queued_job job = region->gang_of_64(1);
    job.m_spec.m_shape.m_cores_per_task = 3;
    job.m_spec.m_shape.m_tasks = 64;
    measure_passes(state, {job});
}

void pass_over_queue_of_5000(benchmark::State& state)
{
    auto region = region_of(static_cast<std::size_t>(state.range(0)));
    measure_passes(state, region->long_queue(5000));
}

void pass_over_queue_of_20000(benchmark::State& state)
{
    auto region = region_of(static_cast<std::size_t>(state.range(0)));
    measure_passes(state, region->long_queue(20000));
}

/// Rebuilds the layout without one zone and plans with a queue of 300 jobs.
void replan_after_zone_loss(benchmark::State& state)
{
    auto region = region_of(static_cast<std::size_t>(state.range(0)));
    auto policy = make_policy(*region);
    cluster without = region->m_region;
    for (const worker& each : region->m_deployment.m_workers)
    {
        if (each.m_zone == region->m_deployment.m_workers.front().m_zone)
        {
            without.set_usable(each.m_id, false);
        }
    }
    std::vector<queued_job> queue = region->long_queue(300);
    std::vector<double> times;
    for (auto unused : state)
    {
        (void)unused;
        plan decided;
        times.push_back(microseconds_of(
            [&]
            {
                policy->configure(region->m_deployment.m_settings, without,
                                  region->m_running);
                decided = policy->make_plan(without, queue, region->m_running,
                                            region->m_now);
            }));
        state.SetIterationTime(times.back() / 1e6);
        benchmark::DoNotOptimize(decided);
    }
    report(state, times);
}

double resident_megabytes()
{
    std::ifstream status("/proc/self/status");
    std::string line;
    while (std::getline(status, line))
    {
        if (line.rfind("VmRSS:", 0) == 0)
        {
            return std::strtod(line.c_str() + 6, nullptr) / 1024;
        }
    }
    return 0;
}

/// Measures the resident memory that the region and the policy add: the
/// cluster, the running jobs, settings, layout and the policy's tables.
void resident_memory(benchmark::State& state)
{
    auto scale = static_cast<std::size_t>(state.range(0));
    for (auto unused : state)
    {
        (void)unused;
        double before = resident_megabytes();
        auto region = std::make_unique<busy_region>(scale);
        auto policy = make_policy(*region);
        policy->make_plan(region->m_region, region->long_queue(300),
                          region->m_running, region->m_now);
        state.counters["added_mb"] = resident_megabytes() - before;
        state.counters["process_mb"] = resident_megabytes();
        benchmark::DoNotOptimize(policy);
    }
}

} // namespace

// The memory benchmark runs first, as the others leave freed memory resident.
BENCHMARK(resident_memory)->Arg(1)->Arg(4)->Arg(16)->Iterations(1);
BENCHMARK(gang_of_64_placed)->Arg(1)->Iterations(2000)->UseManualTime();
BENCHMARK(gang_of_64_reserved)->Arg(1)->Iterations(2000)->UseManualTime();
BENCHMARK(replan_after_zone_loss)->Arg(1)->Iterations(200)->UseManualTime();
BENCHMARK(pass_over_queue_of_5000)->Arg(1)->Iterations(100)->UseManualTime();
BENCHMARK(pass_over_queue_of_20000)->Arg(1)->Iterations(50)->UseManualTime();
BENCHMARK(gang_of_64_placed)->Arg(4)->Iterations(1000)->UseManualTime();
BENCHMARK(gang_of_64_reserved)->Arg(4)->Iterations(1000)->UseManualTime();
BENCHMARK(replan_after_zone_loss)->Arg(4)->Iterations(50)->UseManualTime();
BENCHMARK(gang_of_64_placed)->Arg(16)->Iterations(500)->UseManualTime();
BENCHMARK(gang_of_64_reserved)->Arg(16)->Iterations(500)->UseManualTime();
BENCHMARK(replan_after_zone_loss)->Arg(16)->Iterations(20)->UseManualTime();

BENCHMARK_MAIN();

#include <kingcuprudder/dispatch/dispatcher.hpp>

#include <benchmark/benchmark.h>

#include <limits>
#include <memory>
#include <string>

// Processor time of the dispatcher for each event, with every accelerator in
// use, by the number of workers.

namespace
{

using namespace kingcuprudder;
using namespace kingcuprudder::dispatch;

constexpr int workers_per_rack = 12;
constexpr int tasks_per_job = 40;
constexpr std::int64_t gpus_per_worker = 8;
constexpr resources worker_capacity{64'000, 262'144, gpus_per_worker};

/// A dispatcher whose workers are filled with background tasks.
class full_deployment
{
public:
    explicit full_deployment(int workers)
        : m_workers(workers),
          m_dispatcher({}, [](const std::string&, const std::string&,
                              const decision_fields&) {})
    {
        service_configuration configuration;
        configuration.m_queues = {queue("urgent", 0), queue("background", 2)};
        configuration.m_accounts = {{"account", {"key"}, 0}};
        m_dispatcher.begin_term(m_now, 1);
        m_dispatcher.configure(configuration);
        for (int index = 0; index < workers; ++index)
        {
            beat(index);
            m_dispatcher.renewal_answered(name(index), report(), m_now, m_now);
        }
        const int jobs =
            workers * static_cast<int>(gpus_per_worker) / tasks_per_job;
        for (int index = 0; index < jobs; ++index)
        {
            job_step step{tasks_per_job, {5'600, 16'000, 1}, span(9500)};
            add_job("background", step);
        }
        settle();
    }

    /// A worker of the list has changed its entry.
    void beat(int index)
    {
        worker_description worker;
        worker.m_id = name(index);
        worker.m_pool = "pool";
        worker.m_address = "10.0.0.1:" + std::to_string(index);
        worker.m_rack = "rack-" + std::to_string(index / workers_per_rack);
        worker.m_labels = {"kind", worker.m_rack};
        worker.m_capacity = worker_capacity;
        worker.m_incarnation = 1;
        worker.m_clock = m_now.count();
        m_dispatcher.worker_listed(worker, m_now);
    }

    /// An urgent gang that needs other work to be stopped.
    void add_urgent_gang()
    {
        job_step step{5, {7'500, 31'000, 2}, span(2500)};
        step.m_gang = true;
        step.m_same_rack = true;
        add_job("urgent", step);
    }

    void plan()
    {
        m_now = m_now + span(10);
        m_dispatcher.plan(m_now, m_now);
    }

    void collect_orders()
    {
        benchmark::DoNotOptimize(m_dispatcher.collect_orders(m_now));
    }

    void collect_renewals()
    {
        benchmark::DoNotOptimize(m_dispatcher.changed_renewals());
    }

    int workers() const { return m_workers; }

private:
    static std::string name(int index)
    {
        return "worker-" + std::to_string(index);
    }

    static worker_report report()
    {
        worker_report made;
        made.m_clock = 1;
        made.m_incarnation = 1;
        return made;
    }

    static queue_configuration queue(const std::string& name, int priority)
    {
        queue_configuration made;
        made.m_name = name;
        made.m_policy.m_pool = "pool";
        made.m_policy.m_priority = priority;
        made.m_policy.m_stretch = 1.5;
        return made;
    }

    void add_job(const std::string& queue, const job_step& step)
    {
        job_submission job;
        job.m_id = std::to_string(++m_last_job);
        job.m_queue = queue;
        job.m_account = "account";
        job.m_steps = {step};
        job.m_accepted_at = m_now;
        m_dispatcher.add_job(job, std::nullopt, 1, m_now, m_now);
    }

    void settle()
    {
        plan();
        for (const job_write& write :
             m_dispatcher.take_writes(std::numeric_limits<std::size_t>::max()))
        {
            m_dispatcher.write_stored(write.m_job, write.m_version, 2);
        }
        for (const start_order& order :
             m_dispatcher.collect_orders(m_now).m_starts)
        {
            m_dispatcher.start_finished(order, order_outcome::accepted, m_now);
        }
    }

    int m_workers;
    dispatcher m_dispatcher;
    instant m_now = instant(1'000'000);
    int m_last_job = 0;
};

void heartbeat(benchmark::State& state)
{
    full_deployment tested(static_cast<int>(state.range(0)));
    int index = 0;
    for (auto each : state)
    {
        tested.beat(index++ % tested.workers());
    }
}

void renewals(benchmark::State& state)
{
    full_deployment tested(static_cast<int>(state.range(0)));
    int index = 0;
    for (auto each : state)
    {
        tested.beat(index++ % tested.workers());
        tested.collect_renewals();
    }
}

void planning_without_waiting_work(benchmark::State& state)
{
    full_deployment tested(static_cast<int>(state.range(0)));
    for (auto each : state)
    {
        tested.plan();
        tested.collect_orders();
    }
}

void planning_twenty_urgent_gangs(benchmark::State& state)
{
    for (auto each : state)
    {
        state.PauseTiming();
        full_deployment tested(static_cast<int>(state.range(0)));
        for (int gang = 0; gang < 20; ++gang)
        {
            tested.add_urgent_gang();
        }
        state.ResumeTiming();
        tested.plan();
        tested.collect_orders();
    }
}

// Today's deployment, a sweep of 300 instances, and ten workers for each
// instance at 670 instances.
constexpr int sizes[] = {540, 3000, 6700};

void all_sizes(benchmark::internal::Benchmark* benchmark)
{
    for (const int size : sizes)
    {
        benchmark->Arg(size);
    }
    benchmark->Unit(benchmark::kMicrosecond);
}

BENCHMARK(heartbeat)->Apply(all_sizes);
BENCHMARK(renewals)->Apply(all_sizes);
BENCHMARK(planning_without_waiting_work)->Apply(all_sizes)->Iterations(200);
BENCHMARK(planning_twenty_urgent_gangs)->Apply(all_sizes)->Iterations(3);

} // namespace

BENCHMARK_MAIN();

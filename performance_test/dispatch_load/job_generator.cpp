#include <performance_test/dispatch_load/job_generator.hpp>

#include <algorithm>
#include <cmath>

namespace kingcuprudder::dispatch
{

namespace
{

constexpr span burst_start = span::seconds(6);
constexpr span burst_length = span::seconds(6);
constexpr double width_spread = 0.8;
constexpr unsigned fault_seed = 0x5eed;

} // namespace

job_generator::job_generator(const load_profile& profile, unsigned seed)
    : m_profile(profile), m_generator(seed),
      m_fault_generator(seed ^ fault_seed)
{
}

double job_generator::uniform(double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(m_generator);
}

double job_generator::lognormal(double mean, double spread)
{
    const double sigma = std::sqrt(std::log(1 + spread * spread));
    std::lognormal_distribution<double> draw(std::log(mean) - sigma * sigma / 2,
                                             sigma);
    return draw(m_generator);
}

bool job_generator::has_arrival(const load_class& kind, span since,
                                span interval)
{
    const bool burst = kind.m_priority == 0 && since >= burst_start &&
                       since < burst_start + burst_length;
    const double rate = kind.m_per_second * m_profile.m_load *
                        (burst ? m_profile.m_burst_factor : 1);
    return uniform(0, 1) < rate * static_cast<double>(interval.count()) / 1000;
}

simulated_job job_generator::next(const load_class& kind,
                                  const queue_policy& policy,
                                  const std::string& id, instant now)
{
    simulated_job job;
    job.m_class = &kind;
    job_submission& submission = job.m_submission;
    submission.m_id = id;
    submission.m_queue = kind.m_name;
    submission.m_account =
        "a" + std::to_string(m_generator() % m_profile.m_accounts);
    submission.m_policy = policy;
    submission.m_accepted_at = now;
    const auto count = static_cast<int>(
        std::clamp(std::round(lognormal(kind.m_width, width_spread)), 1.0,
                   kind.m_max_width));
    const int gpus = kind.m_gpus[m_generator() % kind.m_gpus.size()];
    const double work = lognormal(kind.m_work_ms, kind.m_work_spread);
    job.m_work_ms.push_back(work);
    const job_step step = next_step(kind, work, count, gpus);
    submission.m_steps.push_back(step);
    const double mean_work =
        kind.m_width * kind.m_work_ms * core_weight(mean_demand(kind));
    const double own_work = step.m_count * work * core_weight(step.m_demand);
    job.m_value =
        kind.m_credit * std::min(4.0, 0.3 + 0.7 * own_work / mean_work);
    choose_crashing_task(job);
    return job;
}

job_step job_generator::next_step(const load_class& kind, double work_ms,
                                  int count, int gpus)
{
    job_step step;
    step.m_count = count;
    step.m_demand = kind.m_per_task;
    step.m_demand.m_gpus = gpus;
    step.m_estimate = span(static_cast<std::int64_t>(
        work_ms *
        uniform(1 - kind.m_estimate_error, 1 + kind.m_estimate_error)));
    step.m_gang = kind.m_gang;
    step.m_same_rack = kind.m_gang && uniform(0, 1) < kind.m_same_rack_share;
    step.m_writes_checkpoints = uniform(0, 1) < kind.m_checkpoint_share;
    const int racks = m_profile.m_workers / m_profile.m_workers_per_rack;
    if (uniform(0, 1) < kind.m_data_rack_share)
    {
        step.m_data_rack = "r" + std::to_string(m_generator() % racks);
    }
    return step;
}

void job_generator::choose_crashing_task(simulated_job& job)
{
    const fault_plan& faults = m_profile.m_faults;
    if (job.m_class->m_name != faults.m_crashing_class)
    {
        return;
    }
    std::bernoulli_distribution crashes(faults.m_crashing_share);
    if (crashes(m_fault_generator))
    {
        job.m_crashing_task = std::uniform_int_distribution<int>(
            0, job.m_submission.m_steps.front().m_count - 1)(m_fault_generator);
    }
}

} // namespace kingcuprudder::dispatch

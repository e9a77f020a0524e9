#include <kingcuprudder/dispatch/dispatcher.hpp>

#include <performance_test/dispatch_load/load_evaluation.hpp>

namespace kingcuprudder::dispatch
{

namespace
{

constexpr int late_factor = 3;

void add_credit(const simulated_job& job, load_outcome::per_class& sum)
{
    ++sum.m_jobs;
    sum.m_credit_owed += job.m_value;
    if (!job.m_ended || !job.m_completed)
    {
        return;
    }
    const double objective =
        job.m_class->m_stretch * job.m_work_ms.front() +
        static_cast<double>(job.m_class->m_start_allowance.count());
    const auto took = static_cast<double>(
        (*job.m_ended - job.m_submission.m_accepted_at).count());
    if (took <= objective)
    {
        ++sum.m_in_time;
        sum.m_credit_earned += job.m_value;
    }
    else if (took <= objective * late_factor)
    {
        ++sum.m_late;
        sum.m_credit_earned +=
            job.m_value * job.m_class->m_late_credit / job.m_class->m_credit;
    }
}

void add_crashing_job(const simulated_job& job, crash_outcome& sum)
{
    if (!job.m_first_crash)
    {
        return;
    }
    ++sum.m_crashing_jobs;
    sum.m_starts_after_third_crash += job.m_starts_after_third_crash;
    if (job.m_ended && !job.m_completed)
    {
        ++sum.m_given_up;
        sum.m_crashes_until_given_up += job.m_crashes;
        sum.m_seconds_until_given_up +=
            static_cast<double>((*job.m_ended - *job.m_first_crash).count()) /
            1000;
    }
}

} // namespace

void evaluate(const load_profile& profile,
              const std::map<std::string, simulated_job>& jobs, instant now,
              load_outcome& outcome)
{
    for (const auto& [id, job] : jobs)
    {
        if (job.m_crashing_task)
        {
            add_crashing_job(job, outcome.m_crashes);
            continue;
        }
        add_credit(job, outcome.m_classes[job.m_class->m_name]);
        if (job.m_ended && !job.m_completed)
        {
            outcome.m_crashes.m_failed_good_jobs.push_back(id);
        }
        if (job.m_guaranteed)
        {
            const span wait =
                job.m_started_at.value_or(now) - job.m_submission.m_accepted_at;
            outcome.m_late_reclaims +=
                wait > dispatch_limits().m_reclaim_bound ? 1 : 0;
        }
    }
    for (const auto& [name, sum] : outcome.m_classes)
    {
        outcome.m_credit_owed += sum.m_credit_owed;
        outcome.m_credit_earned += sum.m_credit_earned;
    }
    outcome.m_net_credit_ratio =
        (outcome.m_credit_earned -
         outcome.m_lost_core_seconds * profile.m_lost_work_price) /
        outcome.m_credit_owed;
}

} // namespace kingcuprudder::dispatch

#ifndef KINGCUPRUDDER_UNIT_TESTS_FAULT_POLICY_HPP
#define KINGCUPRUDDER_UNIT_TESTS_FAULT_POLICY_HPP

#include <kingcuprudder/placement/first_fit_policy.hpp>

namespace kingcuprudder
{

/// First-fit policy that preempts jobs for an urgent one, so that the fault
/// matrix reaches the reclaim step independently of the production policy.
class fault_policy : public first_fit_policy
{
public:
    plan make_plan(const cluster& region, const std::vector<queued_job>& queue,
                   const std::vector<running_job>& running,
                   instant now) override
    {
        std::vector<queued_job> urgent;
        for (const queued_job& each : queue)
        {
            if (each.m_spec.m_urgent)
            {
                urgent.push_back(each);
            }
        }
        if (urgent.empty())
        {
            return first_fit_policy::make_plan(region, queue, running, now);
        }
        // While an urgent job waits, no other job is placed on the accelerators
        // that are freed for it.
        plan result = first_fit_policy::make_plan(region, urgent, running, now);
        if (result.m_placements.size() < urgent.size())
        {
            add_reclaims(urgent.front(), running, result);
        }
        return result;
    }

private:
    static void add_reclaims(const queued_job& urgent,
                             const std::vector<running_job>& running,
                             plan& result)
    {
        for (const running_job& each : running)
        {
            if (each.m_spec.m_preemptible && each.m_spec.m_idempotent &&
                !each.m_spec.m_urgent && !each.m_stopping)
            {
                result.m_reclaims.push_back(
                    {each.m_spec.m_key, urgent.m_spec.m_key});
            }
        }
    }
};

} // namespace kingcuprudder

#endif

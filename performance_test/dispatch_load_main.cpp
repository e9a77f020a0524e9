#include <performance_test/dispatch_simulation.hpp>

#include <cstdio>
#include <cstdlib>

// Simulates the load profiles of both users against the dispatcher alone and
// prints the credit that jobs earned. Usage: dispatch_load [SEEDS]
int main(int argc, char** argv)
{
    using namespace kingcuprudder::dispatch;
    constexpr int default_seeds = 6;
    const int seeds = argc > 1 ? std::atoi(argv[1]) : default_seeds;
    for (const load_profile& base :
         {kovacsmuhely_profile(), etikettwerk_profile(),
          kovacsmuhely_grown_profile(), etikettwerk_grown_profile()})
    {
        for (const double load : {1.2, 1.5})
        {
            load_profile profile = base;
            profile.m_load = load;
            profile.m_burst_factor = 2.1;
            load_outcome sum;
            double net_credit_ratio = 0;
            for (int seed = 1; seed <= seeds; ++seed)
            {
                const load_outcome one =
                    simulate_load(profile, static_cast<unsigned>(seed));
                net_credit_ratio += one.m_net_credit_ratio / seeds;
                sum.m_credit_owed += one.m_credit_owed;
                sum.m_credit_earned += one.m_credit_earned;
                sum.m_lost_core_seconds += one.m_lost_core_seconds;
                sum.m_decision_seconds += one.m_decision_seconds / seeds;
                sum.m_runs += one.m_runs;
                sum.m_stopped_runs += one.m_stopped_runs;
                sum.m_late_reclaims += one.m_late_reclaims;
                sum.m_violations += one.m_violations;
                for (const auto& [name, kind] : one.m_classes)
                {
                    sum.m_classes[name].m_credit_owed += kind.m_credit_owed;
                    sum.m_classes[name].m_credit_earned += kind.m_credit_earned;
                }
            }
            std::printf(
                "%-13s load %.1f net credit %.3f earned %.3f lost work %.3f "
                "stopped %d/%d late reclaims %d violations %d decisions %.2f s",
                profile.m_name.c_str(), load, net_credit_ratio,
                sum.m_credit_earned / sum.m_credit_owed,
                sum.m_lost_core_seconds * profile.m_lost_work_price /
                    sum.m_credit_owed,
                sum.m_stopped_runs, sum.m_runs, sum.m_late_reclaims,
                sum.m_violations, sum.m_decision_seconds);
            for (const auto& [name, kind] : sum.m_classes)
            {
                std::printf("  %s %.3f", name.c_str(),
                            kind.m_credit_earned / kind.m_credit_owed);
            }
            std::printf("\n");
        }
    }
    return EXIT_SUCCESS;
}

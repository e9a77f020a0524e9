#include <performance_test/dispatch_simulation.hpp>

#include <cstdio>
#include <cstdlib>

// Plays the load sheets of both users against the dispatcher alone and prints
// what callers got. Usage: dispatch_load [SEEDS]
int main(int argc, char** argv)
{
    using namespace kingcuprudder::dispatch;
    constexpr int default_seeds = 6;
    const int seeds = argc > 1 ? std::atoi(argv[1]) : default_seeds;
    for (const load_sheet& base :
         {kovacsmuhely_sheet(), etikettwerk_sheet(), kovacsmuhely_grown_sheet(),
          etikettwerk_grown_sheet()})
    {
        for (const double load : {1.2, 1.5})
        {
            load_sheet sheet = base;
            sheet.m_load = load;
            sheet.m_burst = 2.1;
            load_outcome sum;
            double worth = 0;
            for (int seed = 1; seed <= seeds; ++seed)
            {
                const load_outcome one =
                    play_load(sheet, static_cast<unsigned>(seed));
                worth += one.m_worth / seeds;
                sum.m_owed += one.m_owed;
                sum.m_earned += one.m_earned;
                sum.m_wasted_core_seconds += one.m_wasted_core_seconds;
                sum.m_decision_seconds += one.m_decision_seconds / seeds;
                sum.m_runs += one.m_runs;
                sum.m_stopped_runs += one.m_stopped_runs;
                sum.m_late_reclaims += one.m_late_reclaims;
                sum.m_violations += one.m_violations;
                for (const auto& [name, kind] : one.m_classes)
                {
                    sum.m_classes[name].m_owed += kind.m_owed;
                    sum.m_classes[name].m_earned += kind.m_earned;
                }
            }
            std::printf(
                "%-13s load %.1f worth %.3f earned %.3f waste %.3f "
                "stopped %d/%d late reclaims %d violations %d decisions %.2f s",
                sheet.m_name.c_str(), load, worth, sum.m_earned / sum.m_owed,
                sum.m_wasted_core_seconds * sheet.m_waste_price / sum.m_owed,
                sum.m_stopped_runs, sum.m_runs, sum.m_late_reclaims,
                sum.m_violations, sum.m_decision_seconds);
            for (const auto& [name, kind] : sum.m_classes)
            {
                std::printf("  %s %.3f", name.c_str(),
                            kind.m_earned / kind.m_owed);
            }
            std::printf("\n");
        }
    }
    return EXIT_SUCCESS;
}

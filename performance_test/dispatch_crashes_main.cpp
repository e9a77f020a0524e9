#include <performance_test/dispatch_simulation.hpp>

#include <cstdio>
#include <cstdlib>
#include <string>

// Simulates both users' load profiles at load 1.0 with faults of workers and
// prints what the faults did. Usage: dispatch_crashes SHARE FIRST LAST [FAULTS]
// SHARE: of the jobs of the normal class, those that crash workers; FIRST,
// LAST: the seeds; FAULTS: any of crashes, flapping, racks, cut-offs, same-ids.
// Prints each good job that was failed with its seed.

namespace
{

using namespace kingcuprudder::dispatch;

fault_plan faults_of(int argc, char** argv)
{
    fault_plan faults;
    constexpr int first_fault = 4;
    for (int each = first_fault; each < argc; ++each)
    {
        const std::string name = argv[each];
        faults.m_crashes_per_second =
            name == "crashes" ? 0.3 : faults.m_crashes_per_second;
        faults.m_cut_offs_per_second =
            name == "cut-offs" ? 0.3 : faults.m_cut_offs_per_second;
        faults.m_flapping_workers =
            name == "flapping" ? 3 : faults.m_flapping_workers;
        faults.m_rack_losses = name == "racks" ? 2 : faults.m_rack_losses;
        faults.m_keeps_ids = name == "same-ids" || faults.m_keeps_ids;
    }
    return faults;
}

void print_sums(const load_profile& profile, const load_outcome& sum,
                double net_credit, int seeds)
{
    const crash_outcome& crashes = sum.m_crashes;
    std::printf(
        "%-13s share %.2f seeds %d crashed by tasks %d otherwise %d cut off %d "
        "lost by crashes %.0f core-s crashing jobs %d given up %d "
        "crashes each %.2f seconds each %.1f budgets exceeded %d "
        "good jobs failed %zu net credit %.3f violations %d\n",
        profile.m_name.c_str(), profile.m_faults.m_crashing_share, seeds,
        crashes.m_crashed_by_tasks, crashes.m_crashed_otherwise,
        crashes.m_cut_off, crashes.m_lost_core_seconds, crashes.m_crashing_jobs,
        crashes.m_given_up,
        static_cast<double>(crashes.m_crashes_until_given_up) /
            crashes.m_given_up,
        crashes.m_seconds_until_given_up / crashes.m_given_up,
        crashes.m_exceeded_budgets, crashes.m_failed_good_jobs.size(),
        net_credit, sum.m_violations);
}

void simulate_seeds(const load_profile& profile, int first, int last)
{
    load_outcome sum;
    double net_credit = 0;
    for (int seed = first; seed <= last; ++seed)
    {
        const load_outcome one =
            simulate_load(profile, static_cast<unsigned>(seed));
        net_credit += one.m_net_credit_ratio / (last - first + 1);
        sum.m_violations += one.m_violations;
        sum.m_crashes += one.m_crashes;
        for (const std::string& job : one.m_crashes.m_failed_good_jobs)
        {
            std::printf("%s seed %d: good job %s failed\n",
                        profile.m_name.c_str(), seed, job.c_str());
        }
    }
    print_sums(profile, sum, net_credit, last - first + 1);
}

} // namespace

int main(int argc, char** argv)
{
    constexpr int needed_arguments = 4;
    if (argc < needed_arguments)
    {
        std::fprintf(stderr, "usage: dispatch_crashes SHARE FIRST LAST "
                             "[FAULTS]\n");
        return EXIT_FAILURE;
    }
    for (load_profile profile : {kovacsmuhely_profile(), etikettwerk_profile()})
    {
        profile.m_faults = faults_of(argc, argv);
        profile.m_faults.m_crashing_class = profile.m_classes.front().m_name;
        profile.m_faults.m_crashing_share = std::atof(argv[1]);
        simulate_seeds(profile, std::atoi(argv[2]), std::atoi(argv[3]));
    }
    return EXIT_SUCCESS;
}

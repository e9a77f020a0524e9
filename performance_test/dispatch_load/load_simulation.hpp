#ifndef PERFORMANCE_TEST_DISPATCH_LOAD_LOAD_SIMULATION_HPP
#define PERFORMANCE_TEST_DISPATCH_LOAD_LOAD_SIMULATION_HPP

#include <kingcuprudder/dispatch/dispatcher.hpp>

#include <performance_test/dispatch_load/job_generator.hpp>
#include <performance_test/dispatch_load/load_outcome.hpp>
#include <performance_test/dispatch_load/load_profile.hpp>
#include <performance_test/dispatch_load/simulated_job.hpp>
#include <performance_test/dispatch_load/simulated_worker.hpp>
#include <performance_test/dispatch_load/worker_faults.hpp>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kingcuprudder::dispatch
{

/// Simulates the deployment in virtual time.
class load_simulation
{
public:
    load_simulation(const load_profile& profile, unsigned seed);
    load_simulation(const load_simulation&) = delete;
    load_simulation& operator=(const load_simulation&) = delete;

    load_outcome run();

private:
    void configure();
    void add_workers();
    simulated_worker& add_worker(int index, const std::string& id,
                                 std::int64_t incarnation);
    void generate_arrivals(span since);
    void submit(const load_class& kind);
    bool within_guarantee(const job_submission& next) const;
    /// Revokes the guarantee of the account's jobs that have not started, as
    /// its urgent jobs exceed the guaranteed GPUs.
    void revoke_guarantees(const std::string& account);

    const job_step& step_of(const task_ref& ref) const;
    /// Returns the slowdown of a run relative to a normal worker in the rack of
    /// its data; 0 for a member of an incomplete gang, which makes no progress.
    double slowdown(const simulated_worker& worker, const simulated_run& run);
    void find_gangs();
    void work();
    void end_run(simulated_worker& worker, std::size_t at, run_outcome how);
    /// Counts the work of a run that ended unfinished, except for the part that
    /// its checkpoint keeps.
    void count_lost_work(const simulated_run& run, double kept_ms);

    void report();
    void report_of(simulated_worker& worker, const renewal_request& request);
    running_report running_report_of(simulated_run& run) const;
    void note_completions(simulated_worker& worker);
    void fail_renewal(simulated_worker& worker);

    void decide();
    void stop(const stop_order& order);
    /// Delivers the order to the worker if it answers.
    void send(const start_order& order);
    void start(simulated_worker& worker, const start_order& order);
    void answer_overdue_starts();
    /// Sets when the run crashes its worker, and counts starts after crashes.
    void prepare_crash(simulated_job& job, simulated_run& run);
    void store();

    // Faults of workers, in load_simulation_faults.cpp.
    void apply_faults(span since);
    void crash_by_tasks();
    void crash(simulated_worker& worker, span unnoticed);
    void lapse_leases();
    void replace_workers();
    simulated_worker& process_of(int index);

    /// A worker whose crashed process is replaced at this time.
    struct replacement
    {
        instant m_at;
        int m_worker = 0;
    };
    /// A start order that is not answered in time.
    struct unanswered_start
    {
        instant m_until;
        start_order m_order;
    };

    const load_profile m_profile;
    job_generator m_generator;
    worker_faults m_faults;
    dispatcher m_dispatcher;
    service_configuration m_configuration;
    instant m_now = instant(1'000'000);
    std::int64_t m_revision = 1;
    /// All processes of workers, by id.
    std::map<std::string, simulated_worker> m_workers;
    /// The ids of the newest processes, by index of the worker.
    std::vector<std::string> m_ids;
    std::vector<replacement> m_replacements;
    std::vector<std::pair<instant, std::string>> m_unlistings;
    std::vector<unanswered_start> m_unanswered_starts;
    /// The last renewal request for each worker.
    std::map<std::string, renewal_request> m_renewals;
    std::map<std::string, simulated_job> m_jobs;
    std::map<std::pair<std::string, int>, std::vector<std::string>> m_gangs;
    /// The runs of gangs that a crash has ended.
    std::set<std::pair<std::string, int>> m_crashed_gangs;
    std::map<std::string, std::string> m_started_from;
    std::set<std::string> m_done;
    load_outcome m_outcome;
};

} // namespace kingcuprudder::dispatch

#endif

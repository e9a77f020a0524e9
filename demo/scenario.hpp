#ifndef KINGCUPRUDDER_DEMO_SCENARIO_HPP
#define KINGCUPRUDDER_DEMO_SCENARIO_HPP

#include <demo/local_cluster.hpp>

#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace kingcuprudder::demo
{

/// The names in one deployment that the demo uses.
struct deployment
{
    std::string m_name;
    std::string m_region;
    std::vector<std::string> m_zones;
    std::string m_service;
    std::string m_account;
    std::string m_job_class;
    /// A job class whose jobs are not idempotent.
    std::string m_once_class;
    unsigned m_cores = 64;
};

/// Runs the main job of one deployment, kills the region's owner in the middle
/// of it and checks that everything ran exactly once.
class scenario
{
public:
    scenario(deployment names, const std::string& settings_tree,
             const std::string& binary_folder, const std::string& work_folder);

    /// Starts the deployment without jobs and prints the addresses of its
    /// processes.
    void start(std::ostream& out);

    /// Runs the scenario and prints the placement of each job. Returns whether
    /// all checks passed.
    bool run(std::ostream& out);

private:
    struct job_request
    {
        std::string m_id;
        std::string m_class;
        unsigned m_tasks = 1;
        unsigned m_accelerators_per_task = 1;
        std::string m_proximity;
        unsigned m_run_ms = 0;
    };

    /// Starts and ends that the workers recorded for one job.
    struct job_runs
    {
        std::map<std::string, unsigned> m_starts_by_worker;
        unsigned m_accelerators = 0;
        unsigned m_parts_succeeded = 0;
        unsigned m_attempts = 0;
    };

    int submit(std::size_t entry, const job_request& job,
               std::string& answer) const;
    bool wait_for_phase(const std::string& id, const std::string& phase) const;
    std::string phase_of(const std::string& id) const;
    bool kill_owner(std::ostream& out);
    bool send_request_twice(std::ostream& out) const;
    std::map<std::string, job_runs> runs_by_job() const;
    unsigned minion_runs(const std::string& request) const;
    bool check_job(std::ostream& out, const job_request& job,
                   const std::map<std::string, job_runs>& runs) const;

    deployment m_names;
    local_cluster m_cluster;
};

} // namespace kingcuprudder::demo

#endif

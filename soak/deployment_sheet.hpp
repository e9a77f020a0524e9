#ifndef SOAK_DEPLOYMENT_SHEET_HPP
#define SOAK_DEPLOYMENT_SHEET_HPP

#include <kingcuprudder/base/time.hpp>

#include <soak/promise_bounds.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kingcuprudder::soak
{

/// The jobs of one queue. Widths are numbers of tasks per step.
struct job_kind
{
    std::string m_queue;
    int m_priority = 1;
    int m_max_attempts = 2;
    double m_stretch = 3;
    span m_target_duration = span(1000);
    double m_jobs_per_s = 1;
    double m_mean_width = 10;
    /// Standard deviation of the logarithm of the width.
    double m_width_spread = 0.8;
    int m_max_width = 60;
    span m_mean_work = span(8500);
    /// Standard deviation of the logarithm of the time of work.
    double m_work_spread = 0.3;
    span m_max_work = span(11'000);
    int m_max_steps = 1;
    bool m_gang = true;
    std::int64_t m_cpu = 52'000; ///< In thousandths of a core.
    std::int64_t m_memory_mb = 75'000;
    /// The numbers of GPUs per task, each as frequent as the others.
    std::vector<int> m_gpus = {1, 2, 4, 8, 8};
    /// Shares of the jobs, 0 to 1.
    double m_same_rack = 0;
    double m_saves_progress = 0;
    double m_cancelled = 0.05;
    double m_timed = 0.03;
    double m_persistent = 0;
};

/// Returns the three kinds of jobs of the deployment.
inline std::vector<job_kind> default_job_kinds()
{
    job_kind normal;
    normal.m_queue = "normal";
    normal.m_jobs_per_s = 2.96;
    normal.m_same_rack = 0.6;
    normal.m_saves_progress = 0.45;
    job_kind urgent;
    urgent.m_queue = "urgent";
    urgent.m_priority = 0;
    urgent.m_stretch = 1.5;
    urgent.m_target_duration = span(300);
    urgent.m_jobs_per_s = 13.8;
    urgent.m_mean_width = 5;
    urgent.m_max_width = 28;
    urgent.m_mean_work = span(2500);
    urgent.m_work_spread = 0.5;
    urgent.m_max_work = span(8000);
    urgent.m_cpu = 15'000;
    urgent.m_memory_mb = 22'000;
    urgent.m_same_rack = 0.8;
    urgent.m_timed = 0;
    job_kind background;
    background.m_queue = "background";
    background.m_priority = 2;
    background.m_max_attempts = 3;
    background.m_target_duration = span(3000);
    background.m_jobs_per_s = 2.92;
    background.m_mean_width = 30;
    background.m_max_width = 180;
    background.m_mean_work = span(7600);
    background.m_max_steps = 3;
    background.m_gang = false;
    background.m_cpu = 11'000;
    background.m_memory_mb = 29'000;
    background.m_gpus = {1};
    background.m_saves_progress = 0.45;
    background.m_cancelled = 0.15;
    background.m_persistent = 0.04;
    return {normal, urgent, background};
}

/// Size, times and load of a deployment. Shares are from 0 to 1.
struct deployment_sheet
{
    int m_processes = 30;
    /// How many of the processes have the smaller share of a processor.
    int m_small_processes = 22;
    /// The bandwidth of their links to the store, in bytes per second.
    std::int64_t m_small_link = 1'250'000;
    double m_processor_share = 0.5;
    double m_small_processor_share = 0.12;
    /// Memory in MB and file descriptors of each process; nothing for the
    /// defaults of the process.
    std::optional<int> m_process_memory_mb = std::nullopt;
    std::optional<int> m_process_descriptors = std::nullopt;
    /// The availability zones; processes are assigned to them in turn.
    std::vector<std::string> m_zones = {"zone"};
    span m_shutdown_grace = span::seconds(6);
    span m_worker_lease = span(6000);
    int m_workers = 350;
    int m_workers_per_rack = 20;
    int m_gpus_per_worker = 8;
    std::int64_t m_cpu_per_worker = 128'000; ///< In thousandths of a core.
    std::int64_t m_memory_mb_per_worker = 262'144;
    span m_heartbeat = span(1500);
    span m_gang_timeout = span(4000);
    span m_drain_time = span(3000);
    int m_callers = 152;
    /// Further callers that ask for the state of one job all the time, if there
    /// are no unplanned faults.
    int m_status_callers = 6;
    std::vector<job_kind> m_kinds = default_job_kinds();
    span m_load_time = span::seconds(34);
    /// The time from the end of the load until callers ask for all jobs.
    span m_finish_time = span::seconds(14);
    /// The time after that in which all jobs must be completed.
    span m_completion_time = span::seconds(90);
    /// The bounds of the promises to callers.
    promise_bounds m_bounds;
    /// How often the planned work below is drawn, each time within an equal
    /// part of the load.
    int m_rounds = 1;
    /// Series of SIGTERM, of SIGHUP and of workers that leave; each begins at
    /// a time of its own, so that they overlap.
    int m_rolls = 2;
    int m_reload_series = 2;
    int m_drain_series = 2;
    int m_configurations = 4;
    span m_min_gap = span(1000);
    span m_max_gap = span(2000);
    /// The share of the processes that a series of signals reaches.
    double m_rolled_share = 0.6;
    /// The share of the workers that leaves in a series.
    double m_drained_share = 0.065;
    /// The time until as many workers are added as have left.
    span m_replacement_time = span(4000);
};

/// Returns the sheet with a load of this length. Planned work is as frequent
/// as before, up to half a round.
inline deployment_sheet with_load_time(deployment_sheet sheet, span load_time)
{
    const std::int64_t before = sheet.m_load_time.count();
    const std::int64_t rounds =
        (sheet.m_rounds * load_time.count() + before / 2) / before;
    sheet.m_rounds = static_cast<int>(std::max<std::int64_t>(1, rounds));
    sheet.m_load_time = load_time;
    return sheet;
}

} // namespace kingcuprudder::soak

#endif

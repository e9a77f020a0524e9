#include <soak/etw_label_sheet.hpp>

namespace kingcuprudder::soak
{

namespace
{

// 1,000 Mbit/s.
constexpr std::int64_t link_bytes_per_s = 125'000'000;

job_kind normal_jobs()
{
    job_kind normal;
    normal.m_queue = "normal";
    normal.m_max_attempts = 4;
    normal.m_jobs_per_s = 0.687;
    normal.m_mean_width = 4;
    normal.m_max_width = 24;
    normal.m_mean_work = span(11'000);
    normal.m_memory_mb = 110'000;
    normal.m_same_rack = 0.6;
    normal.m_saves_progress = 0.45;
    return normal;
}

job_kind urgent_jobs()
{
    job_kind urgent;
    urgent.m_queue = "urgent";
    urgent.m_priority = 0;
    urgent.m_max_attempts = 3;
    urgent.m_stretch = 1.5;
    urgent.m_target_duration = span(250);
    urgent.m_jobs_per_s = 1.92;
    urgent.m_mean_width = 3;
    urgent.m_max_width = 18;
    urgent.m_mean_work = span(2500);
    urgent.m_work_spread = 0.5;
    urgent.m_max_work = span(8000);
    urgent.m_cpu = 15'000;
    urgent.m_memory_mb = 22'000;
    urgent.m_same_rack = 0.8;
    urgent.m_timed = 0;
    return urgent;
}

job_kind background_jobs()
{
    job_kind background;
    background.m_queue = "background";
    background.m_priority = 2;
    background.m_max_attempts = 3;
    background.m_target_duration = span(3000);
    background.m_jobs_per_s = 0.681;
    background.m_mean_width = 12;
    background.m_max_width = 72;
    background.m_mean_work = span(9500);
    background.m_max_steps = 3;
    background.m_gang = false;
    background.m_cpu = 11'000;
    background.m_memory_mb = 23'000;
    background.m_gpus = {1};
    background.m_saves_progress = 0.45;
    background.m_cancelled = 0.15;
    background.m_persistent = 0.04;
    return background;
}

promise_bounds bounds()
{
    promise_bounds bounds;
    bounds.m_contact = span(3000);
    bounds.m_configuration_applied = span(2000);
    return bounds;
}

} // namespace

deployment_sheet etw_label_sheet()
{
    deployment_sheet sheet;
    sheet.m_processes = 7;
    sheet.m_small_processes = 0;
    sheet.m_small_link = link_bytes_per_s;
    sheet.m_processor_share = 0.25;
    sheet.m_small_processor_share = sheet.m_processor_share;
    sheet.m_process_memory_mb = 260;
    sheet.m_process_descriptors = 4100;
    sheet.m_zones = {"bern", "olten", "aarau"};
    sheet.m_workers = 48;
    sheet.m_workers_per_rack = 8;
    sheet.m_gang_timeout = span(3000);
    sheet.m_drain_time = span(2000);
    sheet.m_callers = 30;
    sheet.m_status_callers = 1;
    sheet.m_kinds = {normal_jobs(), urgent_jobs(), background_jobs()};
    sheet.m_bounds = bounds();
    sheet.m_rolled_share = 0.45;
    sheet.m_min_gap = span(1300);
    return sheet;
}

} // namespace kingcuprudder::soak

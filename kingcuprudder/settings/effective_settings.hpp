#ifndef KINGCUPRUDDER_SETTINGS_EFFECTIVE_SETTINGS_HPP
#define KINGCUPRUDDER_SETTINGS_EFFECTIVE_SETTINGS_HPP

#include <kingcuprudder/base/tagged_id.hpp>
#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/topology/shape.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

namespace kingcuprudder
{

/// Capacity guaranteed to a client account: a shape, `count` times at once.
struct guarantee
{
    shape m_shape;
    std::uint32_t m_count = 1;

    friend auto operator<=>(const guarantee&, const guarantee&) = default;
};

/// The effective settings of one client account.
struct account_settings
{
    /// Accounts with a higher priority get their guarantees back first.
    std::int32_t m_priority = 0;
    std::vector<guarantee> m_guarantees;
    std::uint32_t m_max_queued_jobs = 1000;
    std::uint32_t m_max_requests_in_flight = 100;

    friend auto operator<=>(const account_settings&,
                            const account_settings&) = default;
};

/// The effective settings of one job class.
struct job_class_settings
{
    bool m_idempotent = true;
    bool m_preemptible = true;
    bool m_urgent = false;
    span m_default_run_time = span::hours(1);

    friend auto operator<=>(const job_class_settings&,
                            const job_class_settings&) = default;
};

/// The effective settings of one service that requests are sent to.
struct service_settings
{
    std::uint32_t m_max_in_flight_per_target = 2;
    std::uint32_t m_max_in_flight = 400;
    span m_default_deadline = span::seconds(30);

    friend auto operator<=>(const service_settings&,
                            const service_settings&) = default;
};

/// The effective settings of the scheduler itself.
struct scheduler_settings
{
    /// 0 weighs only completion time, 100 only fragmentation.
    std::uint32_t m_fragmentation_weight_percent = 50;
    span m_reclaim_bound = span(800);
    std::uint32_t m_max_attempts = 3;
    std::uint32_t m_worker_failures_before_set_aside = 3;
    span m_worker_probation = span::minutes(10);
    span m_min_task_lease = span::seconds(60);
    std::uint32_t m_max_queued_jobs = 20000;

    friend auto operator<=>(const scheduler_settings&,
                            const scheduler_settings&) = default;
};

/// All effective values of one revision of the settings tree.
struct effective_settings
{
    std::uint64_t m_revision = 0;
    std::map<account_id, account_settings> m_accounts;
    std::map<job_class_id, job_class_settings> m_job_classes;
    std::map<service_id, service_settings> m_services;
    scheduler_settings m_scheduler;

    friend bool operator==(const effective_settings&,
                           const effective_settings&) = default;
};

} // namespace kingcuprudder

#endif

#ifndef KINGCUPRUDDER_PLACEMENT_PLAN_HPP
#define KINGCUPRUDDER_PLACEMENT_PLAN_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/region/job_spec.hpp>
#include <kingcuprudder/topology/placement.hpp>

#include <string>
#include <vector>

namespace kingcuprudder
{

/// A job that waits for accelerators.
struct queued_job
{
    job_spec m_spec;
    instant m_accepted_at;
    span m_saved_run_time;
    /// Workers on which earlier attempts of this job failed. The job is not
    /// placed on them.
    std::vector<worker_id> m_excluded_workers;

    friend bool operator==(const queued_job&, const queued_job&) = default;
};

/// A job that has been placed and occupies resources.
struct running_job
{
    job_spec m_spec;
    placement m_placement;
    instant m_placed_at;
    span m_saved_run_time;
    bool m_stopping = false;

    friend bool operator==(const running_job&, const running_job&) = default;
};

/// Decision to start a job with this placement now.
struct planned_placement
{
    job_key m_job;
    placement m_placement;

    friend auto operator<=>(const planned_placement&,
                            const planned_placement&) = default;
};

/// Decision to stop a running job so that another job gets its guaranteed
/// shape.
struct planned_reclaim
{
    job_key m_victim;
    job_key m_beneficiary;

    friend auto operator<=>(const planned_reclaim&,
                            const planned_reclaim&) = default;
};

/// Why a job waits and when it is expected to start.
struct wait_reason
{
    job_key m_job;
    std::string m_text;
    /// Zero when there is no estimate.
    instant m_expected_start;

    friend auto operator<=>(const wait_reason&, const wait_reason&) = default;
};

/// The decisions of the placement policy in one pass.
struct plan
{
    std::vector<planned_placement> m_placements;
    std::vector<planned_reclaim> m_reclaims;
    std::vector<wait_reason> m_wait_reasons;

    friend bool operator==(const plan&, const plan&) = default;
};

} // namespace kingcuprudder

#endif

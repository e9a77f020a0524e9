#ifndef KINGCUPRUDDER_REGION_JOB_SPEC_HPP
#define KINGCUPRUDDER_REGION_JOB_SPEC_HPP

#include <kingcuprudder/base/tagged_id.hpp>
#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/topology/shape.hpp>

#include <compare>
#include <string>

namespace kingcuprudder
{

/// Identifies a job. The caller chooses the job id, which is unique within its
/// account.
struct job_key
{
    account_id m_account;
    job_id m_job;

    friend auto operator<=>(const job_key&, const job_key&) = default;
};

/// A submitted job, with defaults filled in from its job class.
struct job_spec
{
    job_key m_key;
    job_class_id m_class;
    shape m_shape;
    span m_declared_run_time;
    instant m_deadline; ///< Zero for none.
    bool m_urgent = false;
    /// A job that is not idempotent is started at most once.
    bool m_idempotent = true;
    /// Whether the job may be stopped and run again from a checkpoint.
    bool m_preemptible = true;
    std::string m_payload; ///< Passed to the tasks unchanged.

    friend auto operator<=>(const job_spec&, const job_spec&) = default;
};

} // namespace kingcuprudder

#endif

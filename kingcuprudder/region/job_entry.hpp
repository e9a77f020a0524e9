#ifndef KINGCUPRUDDER_REGION_JOB_ENTRY_HPP
#define KINGCUPRUDDER_REGION_JOB_ENTRY_HPP

#include <kingcuprudder/region/log_record.hpp>
#include <kingcuprudder/region/owner_io.hpp>

#include <optional>
#include <vector>

namespace kingcuprudder
{

/// The state of one job, as recorded in the log.
struct job_entry
{
    job_spec m_spec;
    instant m_accepted_at;
    job_phase m_phase = job_phase::queued;
    std::uint32_t m_attempt = 0; ///< The latest attempt; 0 before the first.
    placement m_placement;       ///< Empty while queued and after the end.
    instant m_placed_at;
    instant m_started_at; ///< Start of the latest attempt; zero before it.
    stop_reason m_stop_reason = stop_reason::cancelled;
    /// Releases of attempts that count against the job's limit of failures.
    std::vector<job_released> m_failures;
    /// The latest release. Its verdict covers all earlier attempts as well.
    std::optional<job_released> m_last_release;
    std::optional<job_ended> m_end;

    /// The run time saved by the checkpoints of earlier attempts.
    span saved_run_time() const
    {
        return m_last_release ? m_last_release->m_saved_run_time : span();
    }

    /// Whether an earlier, released attempt may have run.
    verdict earlier_verdict() const
    {
        return m_last_release ? m_last_release->m_verdict : verdict::not_run;
    }

    friend bool operator==(const job_entry&, const job_entry&) = default;
};

/// The state of one non-idempotent request, as recorded in the log.
struct permit_entry
{
    request_permitted m_permit;
    std::optional<request_ended> m_end;

    friend bool operator==(const permit_entry&, const permit_entry&) = default;
};

/// The quarantine of a worker on which consecutive jobs failed, as recorded in
/// the log.
struct quarantine_entry
{
    instant m_until;
    /// How often the worker was quarantined since its last success.
    std::uint32_t m_times = 0;
    bool m_active = false; ///< False once the quarantine has ended.

    friend bool operator==(const quarantine_entry&,
                           const quarantine_entry&) = default;
};

/// The status of the job that is reported to its caller.
job_status status_of(const job_entry& entry);

} // namespace kingcuprudder

#endif

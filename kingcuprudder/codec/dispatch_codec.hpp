#ifndef KINGCUPRUDDER_CODEC_DISPATCH_CODEC_HPP
#define KINGCUPRUDDER_CODEC_DISPATCH_CODEC_HPP

#include <kingcuprudder/dispatch/job_progress.hpp>
#include <kingcuprudder/dispatch/job_submission.hpp>

#include <map>
#include <optional>
#include <string>

namespace kingcuprudder::dispatch
{

/// Encodes the stored record of an accepted job.
std::string encode_submission(const job_submission& submission);
/// Returns nothing when the text is not a valid record.
std::optional<job_submission> decode_submission(const std::string& text);

/// Encodes the stored record of a job's progress, without tasks if the job has
/// ended.
std::string encode_progress(const job_progress& progress);
/// Encodes the same with each worker only once, for a job that has not ended
/// and whose record is too large otherwise. Earlier versions cannot read it.
std::string encode_progress_compactly(const job_progress& progress);
/// Encodes the progress of a job that ended at this wall-clock time.
std::string encode_ended_progress(const job_progress& progress,
                                  instant ended_at);
std::optional<job_progress> decode_progress(const std::string& text);
/// Returns the wall-clock time of a job's end from its encoded progress, or
/// nothing if it is absent, as in records of earlier versions.
std::optional<instant> decode_end_time(const std::string& text);

/// Encodes the cancellation of a job that has a record.
std::string encode_cancellation();
/// Encodes the cancellation of an id without a job at this wall-clock time.
std::string encode_cancellation_of_absent_job(instant cancelled_at);
/// Returns the wall-clock time of an encoded cancellation if there was no job,
/// else nothing.
std::optional<instant> decode_absence_time(const std::string& text);

/// Queue lengths that the scheduler publishes for processes that accept jobs.
struct queue_summary
{
    /// Number of jobs that are due and have not started, by queue.
    std::map<std::string, int> m_waiting;
    instant m_written_at; ///< Wall time.

    friend bool operator==(const queue_summary&,
                           const queue_summary&) = default;
};

std::string encode_summary(const queue_summary& summary);
std::optional<queue_summary> decode_summary(const std::string& text);

} // namespace kingcuprudder::dispatch

#endif

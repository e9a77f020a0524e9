#ifndef KINGCUPRUDDER_CODEC_DISPATCH_CODEC_HPP
#define KINGCUPRUDDER_CODEC_DISPATCH_CODEC_HPP

#include <kingcuprudder/dispatch/job_progress.hpp>
#include <kingcuprudder/dispatch/job_submission.hpp>

#include <map>
#include <optional>
#include <string>

namespace kingcuprudder::dispatch
{

/// The stored form of an accepted job.
std::string encode_submission(const job_submission& submission);
/// Nothing when the text is not such a record.
std::optional<job_submission> decode_submission(const std::string& text);

/// The stored form of a job's progress. That of an ended job holds no tasks.
std::string encode_progress(const job_progress& progress);
std::optional<job_progress> decode_progress(const std::string& text);

/// What the scheduler publishes for the processes that take callers' jobs.
struct queue_summary
{
    /// Accepted jobs that are due and have not begun, by queue.
    std::map<std::string, int> m_waiting;
    instant m_written_at; ///< Wall time.

    friend bool operator==(const queue_summary&,
                           const queue_summary&) = default;
};

std::string encode_summary(const queue_summary& summary);
std::optional<queue_summary> decode_summary(const std::string& text);

} // namespace kingcuprudder::dispatch

#endif

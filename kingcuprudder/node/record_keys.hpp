#ifndef KINGCUPRUDDER_NODE_RECORD_KEYS_HPP
#define KINGCUPRUDDER_NODE_RECORD_KEYS_HPP

#include <string>

namespace kingcuprudder::node::record_keys
{

/// Names the leader. The record is bound to the leader's lease.
inline const std::string leader = "kcr/leader";
/// Queue lengths that the scheduler publishes for processes that accept jobs.
inline const std::string summary = "kcr/summary";
/// Jobs that have not ended and requests to cancel them.
inline const std::string live_prefix = "kcr/live/";
inline const std::string submission_prefix = "kcr/live/job/";
inline const std::string cancellation_prefix = "kcr/live/cancel/";
/// The progress of jobs, including ended ones.
inline const std::string progress_prefix = "kcr/progress/";

inline std::string submission(const std::string& job)
{
    return submission_prefix + job;
}
inline std::string cancellation(const std::string& job)
{
    return cancellation_prefix + job;
}
inline std::string progress(const std::string& job)
{
    return progress_prefix + job;
}

} // namespace kingcuprudder::node::record_keys

#endif

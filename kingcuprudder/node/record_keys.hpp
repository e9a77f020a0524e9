#ifndef KINGCUPRUDDER_NODE_RECORD_KEYS_HPP
#define KINGCUPRUDDER_NODE_RECORD_KEYS_HPP

#include <string>

namespace kingcuprudder::node::record_keys
{

/// Names the process that decides; held under its lease.
inline const std::string leader = "kcr/leader";
/// What the scheduler publishes for the processes that take jobs.
inline const std::string summary = "kcr/summary";
/// Jobs that have not ended and requests to cancel them.
inline const std::string live_prefix = "kcr/live/";
inline const std::string submission_prefix = "kcr/live/job/";
inline const std::string cancellation_prefix = "kcr/live/cancel/";
/// The progress of jobs, also of ended ones.
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

#ifndef KINGCUPRUDDER_NODE_WAITING_JOB_COUNTER_HPP
#define KINGCUPRUDDER_NODE_WAITING_JOB_COUNTER_HPP

#include <kingcuprudder/node/call_retry.hpp>
#include <kingcuprudder/node/record_store.hpp>

#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace kingcuprudder::node
{

/// Counts the jobs without a started task by queue: from the summary that the
/// scheduler publishes or, without a recent one, from the records of the jobs.
/// Safe to use from several threads.
class waiting_job_counter
{
public:
    explicit waiting_job_counter(record_store& store);

    /// Returns the counts, which may be a short time old; nothing if the store
    /// is unavailable. A queue without such jobs may be absent.
    std::optional<std::map<std::string, int>> count(const call_retry& retry);

private:
    record_store& m_store;
    std::mutex m_mutex;
    std::map<std::string, int> m_waiting;
    instant m_read_at;
};

} // namespace kingcuprudder::node

#endif

#ifndef SOAK_JOB_LEDGER_HPP
#define SOAK_JOB_LEDGER_HPP

#include <kingcuprudder/base/time.hpp>

#include <stand_ins/simulated_minions.hpp>

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace kingcuprudder::soak
{

/// The jobs of one task that callers have submitted, and what they were told of
/// them. Callable from several threads.
class job_ledger
{
public:
    /// Returns the state of a job by its id, or a text that is no state.
    using state_query = std::function<std::string(const std::string& id)>;

    /// Returns the id of a new job.
    std::string add();
    void note_accepted(const std::string& id);
    /// Notes that a cancellation is sent, whatever the response will be.
    void note_cancellation(const std::string& id);
    int accepted_count() const;

    /// Waits until each accepted job has ended. Returns a message for each
    /// violation of what must hold for the jobs and their runs.
    std::vector<std::string> check(stand_ins::simulated_minions& workers,
                                   const state_query& state,
                                   span timeout) const;

private:
    struct job
    {
        bool m_accepted = false;
        bool m_cancelled = false;
    };

    mutable std::mutex m_mutex;
    int m_last = 0;
    std::map<std::string, job> m_jobs;
};

/// Returns the state of a job as the first process tells it that answers, or
/// the status of its answer, or "no answer".
std::string ask_for_state(const std::vector<std::string>& addresses,
                          const std::string& id);

} // namespace kingcuprudder::soak

#endif

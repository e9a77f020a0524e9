#ifndef SOAK_DEPLOYMENT_CALLERS_HPP
#define SOAK_DEPLOYMENT_CALLERS_HPP

#include <soak/balanced_connection.hpp>
#include <soak/job_plan.hpp>
#include <soak/promise_checks.hpp>

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace kingcuprudder::soak
{

/// What the caller of a job saw of it.
struct called_job
{
    planned_job m_plan;
    bool m_submitted = false;
    /// When the first occurrence of a timed job is due, since 1970.
    instant m_first_due;
    /// When the acknowledgement of the submission arrived.
    std::optional<instant> m_accepted_at;
    /// Each attempt to submit it was refused or got no connection.
    bool m_refused_only = true;
    /// When its cancelling was first sent.
    std::optional<instant> m_cancel_sent_at;
    std::optional<instant> m_cancelled_at;
    /// The state that was told last, a status, or "no answer". A final state
    /// stays when the job is forgotten after its end.
    std::string m_state;
    /// The calls for its state, while the load lasted and after it.
    std::vector<call_end> m_reads;
    std::vector<call_end> m_final_reads;

    /// Whether its callers expect no more of it.
    bool has_ended() const
    {
        return m_state == "completed" || m_state == "failed" ||
               m_state == "cancelled";
    }
};

/// Returns what a call for a job's state had as its result.
status_result result_of(const call_end& call);

/// Returns the state in the answer to such a call, if there is one.
std::optional<dispatch::job_state> state_of(const call_end& call);

/// The callers of a deployment. Each has a connection that it keeps, submits
/// its share of the jobs, asks for their states and cancels some.
class deployment_callers
{
public:
    /// All must outlive this.
    deployment_callers(const deployment& nodes, balancer& balance,
                       const disruption_record& disruptions,
                       call_record& record, const deployment_sheet& sheet,
                       unsigned seed);

    /// Plays the load, with one thread for each caller, and returns at its end.
    void play_load();
    /// All callers ask at once for those of their jobs that were accepted, or
    /// only for the ones among them that have not ended.
    void ask_for_jobs(bool all);
    /// Calls the function with each job. Callable from any thread.
    void
    for_each_job(const std::function<void(const called_job&)>& function) const;
    /// Returns the answers with numbers of pending jobs. Must not be called
    /// while the load is played.
    const std::vector<pending_answer>& pending_answers() const
    {
        return m_pending_answers;
    }

private:
    struct action
    {
        enum class kind
        {
            submit,
            read,
            cancel,
            read_queue,
        };
        span m_at;
        kind m_kind = kind::submit;
        /// The index of the job, or of the queue's kind.
        std::size_t m_subject = 0;

        /// Whether it is due later; the order of a queue of actions.
        bool operator<(const action& other) const { return m_at > other.m_at; }
    };

    void for_each_caller(const std::function<void(int)>& play);
    void play(int caller);
    void perform(const action& next, balanced_connection& connection);
    void submit(called_job& job, balanced_connection& connection);
    void cancel(called_job& job, balanced_connection& connection);
    void read(called_job& job, balanced_connection& connection, bool final);
    void read_queue(const job_kind& kind, balanced_connection& connection);
    span now() const;

    const deployment_sheet& m_sheet;
    std::vector<std::unique_ptr<balanced_connection>> m_connections;
    mutable std::mutex m_mutex;
    std::vector<called_job> m_jobs;
    std::vector<pending_answer> m_pending_answers;
    instant m_begin;
};

} // namespace kingcuprudder::soak

#endif

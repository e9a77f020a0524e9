#ifndef KINGCUPRUDDER_NODE_JOB_SERVICE_HPP
#define KINGCUPRUDDER_NODE_JOB_SERVICE_HPP

#include <kingcuprudder/dispatch/job_progress.hpp>
#include <kingcuprudder/dispatch/job_submission.hpp>
#include <kingcuprudder/node/call_retry.hpp>
#include <kingcuprudder/node/configuration_view.hpp>
#include <kingcuprudder/node/event_log.hpp>
#include <kingcuprudder/node/record_store.hpp>
#include <kingcuprudder/node/waiting_job_counter.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace kingcuprudder::node
{

/// Reasons for refusing a caller's request.
enum class refusal
{
    not_configured, ///< This process has no configuration yet.
    unknown_queue,  ///< No queue has this host and path.
    unknown_key,    ///< The key belongs to no client account.
    unknown_job,    ///< No such job exists.
    cancelled,      ///< The id was cancelled before the job was submitted.
    too_large,      ///< The body or the job's record is larger than its limit.
    invalid,        ///< The request is malformed or can never be met.
    unavailable,    ///< The store is unavailable; nothing was written.
    unreadable,     ///< The record of the job cannot be decoded.
    unknown,        ///< The write may have taken effect.
};

std::string_view to_string(refusal reason);

/// The queue and the account of an authorized caller's request.
struct caller_access
{
    dispatch::queue_configuration m_queue;
    std::string m_account; ///< Empty on a public queue.
    std::string m_path;    ///< The path after the queue's prefix.
    std::int64_t m_configuration_revision = 0;
    std::int64_t m_max_body_bytes = 0; ///< 0 for no limit.
};

/// Host, path and API key of a caller's request, and its deadline.
struct caller_request
{
    std::string m_host;
    std::string m_path;
    std::string m_key;
    instant m_deadline;        ///< On the clock of boottime_now().
    std::string m_method = {}; ///< Logged only.
    span m_waited = {}; ///< For a thread, before it was begun. Logged only.
};

template <class T>
using service_result = std::variant<T, refusal>;

/// Accepts and cancels jobs and reports their states. An accepted job is stored
/// before it is acknowledged. Calls to the store that fail are repeated while
/// that can help the caller. Safe to use from several threads.
class job_service
{
public:
    job_service(record_store& store, configuration_view& configuration,
                event_log& log);

    /// Looks up the queue and checks the key in a recently confirmed
    /// configuration. Logs a refusal.
    service_result<caller_access> authorize(const caller_request& request);
    /// Like authorize(), but grants access by the newest known configuration
    /// however old it is: only for calls that check the key again.
    service_result<caller_access>
    authorize_provisionally(const caller_request& request);

    /// Stores the job. Submitting the same id again succeeds without a change.
    /// An id that was cancelled while it had no job is refused.
    std::optional<refusal> submit(const caller_request& request,
                                  dispatch::job_submission submission);
    /// Cancels the job. If there is none, a submission of the id that arrives
    /// later is refused: it may be on its way through a process that stands
    /// still.
    std::optional<refusal> cancel(const caller_request& request,
                                  const std::string& id);
    service_result<dispatch::job_state> state(const caller_request& request,
                                              const std::string& id);
    /// Returns the number of jobs of the queue that are due and have not
    /// started.
    service_result<int> waiting_job_count(const caller_request& request);

private:
    struct nothing_to_write
    {
    };
    using prepared_write =
        std::variant<store_transaction, nothing_to_write, refusal>;
    using transaction_builder = std::function<prepared_write()>;

    enum class write_outcome
    {
        done,
        outdated,  ///< A record has changed since it was prepared.
        cancelled, ///< The job was cancelled before it was submitted.
        unusable,  ///< The newest configuration cannot be used.
        refused,   ///< The store never takes what was to be written.
        not_done,
        unknown,
    };

    // One attempt each.
    service_result<caller_access> authorize_once(const caller_request& request,
                                                 call_retry& retry);
    /// Checks the key of a call that began then in a configuration that was
    /// recent at that time or was read since.
    service_result<caller_access> authorize_since(instant began,
                                                  const caller_request& request,
                                                  call_retry& retry);
    /// Whether the newest known configuration gives the caller access, so that
    /// the record may be read before the key is checked in a recent one.
    bool may_read_first(const caller_request& request) const;
    service_result<dispatch::job_state>
    find_state(const caller_request& request, const std::string& id,
               call_retry& retry);
    service_result<dispatch::job_progress> read_progress(const std::string& id,
                                                         call_retry& retry);
    /// Reads a record and notes how long that took.
    store_result<std::optional<record>> read_record(const std::string& key,
                                                    call_retry& retry);
    service_result<int> find_waiting_count(const caller_request& request,
                                           call_retry& retry);
    static write_outcome outcome_of(store_failure failure);
    /// A conflict on `new_key` means that an earlier call has written it.
    write_outcome commit_once(const store_transaction& transaction,
                              const std::string& new_key,
                              const call_retry& retry);
    /// Prepares and commits, and repeats that once without a pause if a newer
    /// configuration interferes.
    std::optional<refusal> write_once(const std::string& new_key,
                                      const transaction_builder& build,
                                      call_retry& retry);

    /// Writes until the outcome is certain or further attempts are useless.
    std::optional<refusal> write(const std::string& new_key,
                                 const transaction_builder& build,
                                 call_retry& retry);
    std::optional<refusal> store_job(const caller_request& request,
                                     const dispatch::job_submission& job,
                                     call_retry& retry);
    /// Logs why a caller does not get what it asked for, or gets it late, and
    /// what the time was spent on.
    void log_outcome(const std::string& event, const std::string& id,
                     std::string_view reason, const caller_request& request,
                     instant began, const call_retry& retry);
    /// Logs a refusal, and a success that took long.
    template <class T>
    void log_if_notable(const service_result<T>& result,
                        const std::string& subject, const std::string& id,
                        const caller_request& request, instant began,
                        const call_retry& retry);

    record_store& m_store;
    configuration_view& m_configuration;
    event_log& m_log;
    retry_capacity m_retries;
    read_latency& m_read_latency;
    waiting_job_counter m_waiting_jobs;
};

} // namespace kingcuprudder::node

#endif

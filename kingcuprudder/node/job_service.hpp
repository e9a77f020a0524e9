#ifndef KINGCUPRUDDER_NODE_JOB_SERVICE_HPP
#define KINGCUPRUDDER_NODE_JOB_SERVICE_HPP

#include <kingcuprudder/dispatch/job_progress.hpp>
#include <kingcuprudder/dispatch/job_submission.hpp>
#include <kingcuprudder/node/configuration_view.hpp>
#include <kingcuprudder/node/event_log.hpp>
#include <kingcuprudder/node/record_store.hpp>

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace kingcuprudder::node
{

/// Why a caller's request is not served.
enum class refusal
{
    not_configured, ///< This process has no configuration yet.
    unknown_queue,  ///< No queue has this host and path.
    unknown_key,    ///< The key belongs to no client account.
    unknown_job,    ///< No such job exists.
    too_large,      ///< The request is over the configured size.
    invalid,        ///< The request cannot be read or can never be served.
    unavailable,    ///< The store cannot be reached; nothing was done.
    unknown,        ///< Whether it was done is not known.
};

std::string_view to_string(refusal reason);

/// Where a caller's request goes and what it may do there.
struct caller_access
{
    dispatch::queue_configuration m_queue;
    std::string m_account; ///< Empty on a public queue.
    std::string m_path;    ///< What follows the queue's prefix.
    std::int64_t m_configuration_revision = 0;
    std::int64_t m_max_body_bytes = 0; ///< 0 for no limit.
};

/// Who asks for what, and until when the answer is of use.
struct caller_request
{
    std::string m_host;
    std::string m_path;
    std::string m_key;
    instant m_deadline; ///< On the boot clock.
};

template <class T>
using service_result = std::variant<T, refusal>;

/// Accepts, cancels and shows jobs. An accepted job is stored before it is
/// acknowledged. Safe to use from several threads.
class job_service
{
public:
    job_service(record_store& store, configuration_view& configuration,
                event_log& log);

    /// Finds the queue and checks the key against a configuration that was
    /// recently confirmed.
    service_result<caller_access> authorize(const caller_request& request);

    /// Stores the job. Accepting the same id again changes nothing.
    std::optional<refusal> submit(const caller_request& request,
                                  dispatch::job_submission submission);
    std::optional<refusal> cancel(const caller_request& request,
                                  const std::string& id);
    service_result<dispatch::job_state> state(const caller_request& request,
                                              const std::string& id);
    /// Accepted jobs of the queue that are due and have not begun.
    service_result<int> waiting_job_count(const caller_request& request);

private:
    struct nothing_to_write
    {
    };
    using prepared_write =
        std::variant<store_transaction, nothing_to_write, refusal>;
    using transaction_maker = std::function<prepared_write()>;

    enum class write_state
    {
        done,
        outdated, ///< It was prepared by an older configuration.
        not_done,
        unknown,
    };

    write_state write_once(const caller_request& request,
                           const store_transaction& transaction,
                           const std::string& new_key);
    /// Prepares and writes until the outcome is known or the deadline is near.
    /// A conflict on the new key means that an earlier call wrote it.
    std::optional<refusal> write(const caller_request& request,
                                 const std::string& new_key,
                                 const transaction_maker& make);
    std::optional<refusal> store_job(const caller_request& request,
                                     const dispatch::job_submission& job);
    std::optional<std::optional<dispatch::job_progress>>
    read_progress(const std::string& id, instant deadline);
    std::optional<std::map<std::string, int>> count_waiting(instant deadline);

    record_store& m_store;
    configuration_view& m_configuration;
    event_log& m_log;
    std::mutex m_waiting_mutex;
    std::map<std::string, int> m_waiting;
    instant m_waiting_read_at;
};

} // namespace kingcuprudder::node

#endif

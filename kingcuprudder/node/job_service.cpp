#include <kingcuprudder/codec/dispatch_codec.hpp>
#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/node/job_service.hpp>
#include <kingcuprudder/node/record_keys.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace kingcuprudder::node
{

namespace
{

// A deleted key must stop working within seconds, so a configuration whose last
// confirmation is older than this is confirmed before it is used.
constexpr span configuration_max_age = span(2000);
// A newer configuration seldom interferes with two commits in a row.
constexpr int max_commits_without_pause = 2;
// A request that takes this long is logged although it succeeds.
constexpr span notable_time = span(500);

bool is_temporary(refusal reason)
{
    return reason == refusal::unavailable || reason == refusal::unknown ||
           reason == refusal::not_configured;
}

/// Repeats a call until it succeeds or its failure is final. Returns why it
/// failed.
std::optional<refusal>
repeat(call_retry& retry, const std::function<std::optional<refusal>()>& call)
{
    // Once an attempt has an unknown outcome, no later answer proves that
    // nothing was stored.
    bool may_be_stored = false;
    while (true)
    {
        const std::optional<refusal> refused = call();
        if (!refused)
        {
            return std::nullopt;
        }
        may_be_stored = may_be_stored || *refused == refusal::unknown;
        const auto persistence = may_be_stored
                                     ? call_retry::persistence::until_deadline
                                     : call_retry::persistence::while_useful;
        if (!is_temporary(*refused) || !retry.next(persistence))
        {
            return may_be_stored ? refusal::unknown : *refused;
        }
    }
}

/// Repeats a call that writes nothing, and returns the last result.
template <class T>
service_result<T> repeat_read(call_retry& retry,
                              const std::function<service_result<T>()>& call)
{
    service_result<T> result = refusal::unavailable;
    repeat(retry,
           [&]() -> std::optional<refusal>
           {
               result = call();
               const refusal* refused = std::get_if<refusal>(&result);
               return refused == nullptr ? std::nullopt
                                         : std::optional<refusal>(*refused);
           });
    return result;
}

/// Returns the revision that the transaction expects of the record.
std::int64_t expected_revision(const store_transaction& transaction,
                               const std::string& key)
{
    const auto found = std::find_if(
        transaction.m_expected.begin(), transaction.m_expected.end(),
        [&key](const auto& each) { return each.first == key; });
    return found == transaction.m_expected.end() ? 0 : found->second;
}

/// Checks the key of a request in this configuration.
service_result<caller_access>
access_given_by(const configuration_snapshot& snapshot,
                const caller_request& request)
{
    const dispatch::service_configuration& configuration =
        snapshot.m_configuration;
    const dispatch::queue_configuration* queue =
        configuration.find_queue(request.m_host, request.m_path);
    if (queue == nullptr)
    {
        return refusal::unknown_queue;
    }
    caller_access access;
    access.m_queue = *queue;
    access.m_path = request.m_path.substr(queue->m_path_prefix.size());
    access.m_configuration_revision = snapshot.m_revision;
    access.m_max_body_bytes = configuration.m_max_body_bytes;
    const dispatch::account_configuration* account =
        configuration.account_with_key(request.m_key);
    if (account != nullptr)
    {
        access.m_account = account->m_name;
    }
    else if (!queue->m_public)
    {
        return refusal::unknown_key;
    }
    return access;
}

/// Returns whether the conflict is that the record exists.
bool has_record(const store_conflict& conflict, const std::string& key)
{
    return std::any_of(conflict.m_records.begin(), conflict.m_records.end(),
                       [&key](const record& found)
                       { return found.m_key == key && found.m_revision != 0; });
}

/// Returns the part of a path after the last '/', which is the id in the path
/// of a job.
std::string last_segment(const std::string& path)
{
    return path.substr(path.rfind('/') + 1);
}

} // namespace

std::string_view to_string(refusal reason)
{
    switch (reason)
    {
    case refusal::not_configured:
        return "not_configured";
    case refusal::unknown_queue:
        return "unknown_queue";
    case refusal::unknown_key:
        return "unknown_key";
    case refusal::unknown_job:
        return "unknown_job";
    case refusal::cancelled:
        return "cancelled";
    case refusal::too_large:
        return "too_large";
    case refusal::invalid:
        return "invalid";
    case refusal::unavailable:
        return "unavailable";
    case refusal::unreadable:
        return "unreadable";
    case refusal::unknown:
        return "unknown";
    }
    return "unknown";
}

job_service::job_service(record_store& store, configuration_view& configuration,
                         event_log& log)
    : m_store(store), m_configuration(configuration), m_log(log),
      m_read_latency(configuration.latency()), m_waiting_jobs(store)
{
}

service_result<caller_access>
job_service::authorize(const caller_request& request)
{
    const instant began = boottime_now();
    call_retry retry(request.m_deadline, m_retries, m_read_latency);
    service_result<caller_access> access = repeat_read<caller_access>(
        retry, [&] { return authorize_once(request, retry); });
    log_if_notable(access, "access", last_segment(request.m_path), request,
                   began, retry);
    return access;
}

service_result<caller_access>
job_service::authorize_provisionally(const caller_request& request)
{
    if (const configuration_view::snapshot known = m_configuration.current())
    {
        service_result<caller_access> access = access_given_by(*known, request);
        if (std::holds_alternative<caller_access>(access))
        {
            return access;
        }
    }
    return authorize(request);
}

service_result<caller_access>
job_service::authorize_once(const caller_request& request, call_retry& retry)
{
    return authorize_since(boottime_now(), request, retry);
}

service_result<caller_access>
job_service::authorize_since(instant began, const caller_request& request,
                             call_retry& retry)
{
    const instant asked = boottime_now();
    configuration_view::snapshot snapshot =
        m_configuration.confirmed_since(began - configuration_max_age);
    if (!snapshot)
    {
        snapshot = m_configuration.confirmed(configuration_max_age,
                                             retry.read_timeout());
    }
    retry.times().m_confirmation =
        retry.times().m_confirmation + (boottime_now() - asked);
    if (!snapshot)
    {
        return m_configuration.current() ? refusal::unavailable
                                         : refusal::not_configured;
    }
    return access_given_by(*snapshot, request);
}

std::optional<refusal> job_service::submit(const caller_request& request,
                                           dispatch::job_submission submission)
{
    const instant began = boottime_now();
    submission.m_accepted_at = wall_now();
    call_retry retry(request.m_deadline, m_retries, m_read_latency);
    const std::optional<refusal> refused =
        store_job(request, submission, retry);
    m_log.write(
        "jobs", refused ? "job_refused" : "job_accepted", submission.m_id,
        {{"reason", refused ? std::string(to_string(*refused)) : "none"},
         {"host", request.m_host},
         {"path", request.m_path},
         {"attempts", std::to_string(retry.attempts())},
         {"configuration_age_ms",
          std::to_string(
              (boottime_now() - m_configuration.confirmed_at()).count())},
         {"waited_ms", std::to_string(request.m_waited.count())},
         {"took_ms", std::to_string((boottime_now() - began).count())}});
    return refused;
}

void job_service::log_outcome(const std::string& event, const std::string& id,
                              std::string_view reason,
                              const caller_request& request, instant began,
                              const call_retry& retry)
{
    const instant now = boottime_now();
    const store_times& times = retry.times();
    m_log.write(
        "jobs", event, id,
        {{"reason", std::string(reason)},
         {"method", request.m_method},
         {"host", request.m_host},
         {"path", request.m_path},
         {"attempts", std::to_string(retry.attempts())},
         {"configuration_age_ms",
          std::to_string((now - m_configuration.confirmed_at()).count())},
         {"confirmation_ms", std::to_string(times.m_confirmation.count())},
         {"read_ms", std::to_string(times.m_read.count())},
         {"expected_read_ms",
          std::to_string(retry.expected_read_time().count())},
         {"waited_ms", std::to_string(request.m_waited.count())},
         {"took_ms", std::to_string((now - began).count())},
         {"left_ms", std::to_string((request.m_deadline - now).count())}});
}

template <class T>
void job_service::log_if_notable(const service_result<T>& result,
                                 const std::string& subject,
                                 const std::string& id,
                                 const caller_request& request, instant began,
                                 const call_retry& retry)
{
    if (const refusal* refused = std::get_if<refusal>(&result))
    {
        log_outcome(subject + "_not_given", id, to_string(*refused), request,
                    began, retry);
    }
    else if (boottime_now() - began >= notable_time)
    {
        log_outcome(subject + "_given_late", id, "none", request, began, retry);
    }
}

job_service::write_outcome job_service::outcome_of(store_failure failure)
{
    switch (failure)
    {
    case store_failure::not_done:
        return write_outcome::not_done;
    case store_failure::refused:
        return write_outcome::refused;
    case store_failure::unknown:
    case store_failure::compacted:
    case store_failure::lease_ended:
        return write_outcome::unknown;
    }
    return write_outcome::unknown;
}

job_service::write_outcome
job_service::commit_once(const store_transaction& transaction,
                         const std::string& new_key, const call_retry& retry)
{
    const instant sent = boottime_now();
    const store_result<commit_answer> outcome =
        m_store.commit(transaction, retry.write_timeout());
    if (!is_ok(outcome))
    {
        return outcome_of(std::get<1>(outcome));
    }
    const commit_answer& answer = std::get<0>(outcome);
    const auto* conflict = std::get_if<store_conflict>(&answer);
    if (conflict == nullptr)
    {
        return write_outcome::done;
    }
    if (has_record(*conflict, new_key))
    {
        return write_outcome::done; // Written by an earlier call.
    }
    const std::string id = last_segment(new_key);
    if (has_record(*conflict, record_keys::cancellation(id)))
    {
        return write_outcome::cancelled;
    }
    if (has_record(*conflict, record_keys::progress(id)))
    {
        return write_outcome::outdated; // Accepted since it was looked for.
    }
    for (const record& found : conflict->m_records)
    {
        if (found.m_revision != 0)
        {
            m_configuration.adopt(found, sent);
        }
    }
    const configuration_view::snapshot newest = m_configuration.current();
    const bool is_newer =
        newest && newest->m_revision >
                      expected_revision(transaction, m_configuration.key());
    return is_newer ? write_outcome::outdated : write_outcome::unusable;
}

std::optional<refusal> job_service::write_once(const std::string& new_key,
                                               const transaction_builder& build,
                                               call_retry& retry)
{
    for (int commits = 0; commits < max_commits_without_pause; ++commits)
    {
        const prepared_write prepared = build();
        if (const refusal* refused = std::get_if<refusal>(&prepared))
        {
            return *refused;
        }
        if (std::holds_alternative<nothing_to_write>(prepared))
        {
            return std::nullopt;
        }
        if (retry.is_past_deadline())
        {
            // The process may have stood still, and the caller has given up.
            return refusal::unavailable;
        }
        switch (
            commit_once(std::get<store_transaction>(prepared), new_key, retry))
        {
        case write_outcome::done:
            return std::nullopt;
        case write_outcome::not_done:
            return refusal::unavailable;
        case write_outcome::unknown:
            return refusal::unknown;
        case write_outcome::cancelled:
            return refusal::cancelled;
        case write_outcome::refused:
            return refusal::invalid;
        case write_outcome::unusable:
            m_log.write("jobs", "configuration_not_usable",
                        last_segment(new_key), {});
            retry.give_up();
            return refusal::unavailable;
        case write_outcome::outdated:
            if (!retry.has_time())
            {
                return refusal::unavailable;
            }
        }
    }
    return refusal::unavailable; // Nothing was written.
}

std::optional<refusal> job_service::write(const std::string& new_key,
                                          const transaction_builder& build,
                                          call_retry& retry)
{
    return repeat(retry, [&] { return write_once(new_key, build, retry); });
}

std::optional<refusal>
job_service::store_job(const caller_request& request,
                       const dispatch::job_submission& job, call_retry& retry)
{
    const std::string progress_key = record_keys::progress(job.m_id);
    const auto build = [&]() -> prepared_write
    {
        const service_result<caller_access> access =
            authorize_once(request, retry);
        if (const refusal* refused = std::get_if<refusal>(&access))
        {
            return *refused;
        }
        const caller_access& allowed = std::get<caller_access>(access);
        dispatch::job_submission stored = job;
        stored.m_queue = allowed.m_queue.m_name;
        stored.m_policy = allowed.m_queue.m_policy;
        stored.m_account = allowed.m_account;
        std::string submission = dispatch::encode_submission(stored);
        if (submission.size() > max_value_bytes)
        {
            return refusal::too_large;
        }
        dispatch::job_progress progress;
        progress.m_account = allowed.m_account;
        store_transaction transaction;
        transaction.m_expected = {
            {m_configuration.key(), allowed.m_configuration_revision},
            {progress_key, 0},
            {record_keys::cancellation(job.m_id), 0}};
        transaction.m_writes = {
            {record_keys::submission(job.m_id), std::move(submission), 0},
            {progress_key, dispatch::encode_progress(progress), 0}};
        return transaction;
    };
    return write(progress_key, build, retry);
}

store_result<std::optional<record>>
job_service::read_record(const std::string& key, call_retry& retry)
{
    const instant sent = boottime_now();
    store_result<std::optional<record>> found =
        observed(m_read_latency,
                 [&] { return m_store.read(key, retry.read_timeout()); });
    retry.times().m_read = retry.times().m_read + (boottime_now() - sent);
    return found;
}

service_result<dispatch::job_progress>
job_service::read_progress(const std::string& id, call_retry& retry)
{
    const store_result<std::optional<record>> found =
        read_record(record_keys::progress(id), retry);
    if (!is_ok(found))
    {
        return refusal::unavailable;
    }
    const std::optional<record>& stored = std::get<0>(found);
    if (!stored)
    {
        return refusal::unknown_job;
    }
    const std::optional<dispatch::job_progress> progress =
        dispatch::decode_progress(stored->m_value);
    if (!progress)
    {
        m_log.write("jobs", "progress_record_not_read", id,
                    {{"revision", std::to_string(stored->m_revision)}});
        return refusal::unreadable;
    }
    return *progress;
}

service_result<dispatch::job_state>
job_service::state(const caller_request& request, const std::string& id)
{
    const instant began = boottime_now();
    call_retry retry(request.m_deadline, m_retries, m_read_latency);
    const auto found = repeat_read<dispatch::job_state>(
        retry, [&] { return find_state(request, id, retry); });
    log_if_notable(found, "status", id, request, began, retry);
    return found;
}

bool job_service::may_read_first(const caller_request& request) const
{
    const configuration_view::snapshot known = m_configuration.current();
    return known && std::holds_alternative<caller_access>(
                        access_given_by(*known, request));
}

service_result<dispatch::job_state>
job_service::find_state(const caller_request& request, const std::string& id,
                        call_retry& retry)
{
    // Any key that is valid for the queue may read the state, so that an
    // account can still follow its jobs after all its keys were replaced.
    const instant began = boottime_now();
    if (!may_read_first(request))
    {
        const service_result<caller_access> access =
            authorize_once(request, retry);
        if (const refusal* refused = std::get_if<refusal>(&access))
        {
            return *refused;
        }
    }
    const service_result<dispatch::job_progress> progress =
        read_progress(id, retry);
    const refusal* unread = std::get_if<refusal>(&progress);
    if (unread != nullptr && *unread == refusal::unavailable)
    {
        return *unread;
    }
    // While the record was read, the watch has most often confirmed an old
    // configuration.
    const service_result<caller_access> access =
        authorize_since(began, request, retry);
    if (const refusal* refused = std::get_if<refusal>(&access))
    {
        return *refused;
    }
    if (unread != nullptr)
    {
        return *unread;
    }
    return std::get<0>(progress).m_state;
}

std::optional<refusal> job_service::cancel(const caller_request& request,
                                           const std::string& id)
{
    const instant began = boottime_now();
    call_retry retry(request.m_deadline, m_retries, m_read_latency);
    const std::string key = record_keys::cancellation(id);
    bool is_absent = false;
    const auto build = [&]() -> prepared_write
    {
        const service_result<dispatch::job_state> found =
            find_state(request, id, retry);
        const refusal* not_found = std::get_if<refusal>(&found);
        is_absent = not_found != nullptr && *not_found == refusal::unknown_job;
        if (not_found != nullptr && !is_absent)
        {
            return *not_found;
        }
        if (!is_absent && dispatch::is_final(std::get<0>(found)))
        {
            return nothing_to_write();
        }
        store_transaction transaction;
        transaction.m_expected = {
            {m_configuration.key(), m_configuration.current()->m_revision},
            {key, 0}};
        if (is_absent)
        {
            // A submission may still be on its way. It expects no cancellation.
            transaction.m_expected.emplace_back(record_keys::progress(id), 0);
        }
        transaction.m_writes = {
            {key,
             is_absent ? dispatch::encode_cancellation_of_absent_job(wall_now())
                       : dispatch::encode_cancellation(),
             0}};
        return transaction;
    };
    std::optional<refusal> refused = write(key, build, retry);
    if (!refused && is_absent)
    {
        refused = refusal::unknown_job;
    }
    if (refused)
    {
        log_outcome("cancellation_refused", id, to_string(*refused), request,
                    began, retry);
    }
    else
    {
        m_log.write("jobs", "cancellation_stored", id, {});
    }
    return refused;
}

service_result<int>
job_service::waiting_job_count(const caller_request& request)
{
    const instant began = boottime_now();
    call_retry retry(request.m_deadline, m_retries, m_read_latency);
    const auto found = repeat_read<int>(
        retry, [&] { return find_waiting_count(request, retry); });
    log_if_notable(found, "status", "", request, began, retry);
    return found;
}

service_result<int>
job_service::find_waiting_count(const caller_request& request,
                                call_retry& retry)
{
    const service_result<caller_access> access = authorize_once(request, retry);
    if (const refusal* refused = std::get_if<refusal>(&access))
    {
        return *refused;
    }
    const std::optional<std::map<std::string, int>> counts =
        m_waiting_jobs.count(retry);
    if (!counts)
    {
        return refusal::unavailable;
    }
    const auto found = counts->find(std::get<0>(access).m_queue.m_name);
    return found == counts->end() ? 0 : found->second;
}

} // namespace kingcuprudder::node

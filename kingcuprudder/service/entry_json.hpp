#ifndef KINGCUPRUDDER_SERVICE_ENTRY_JSON_HPP
#define KINGCUPRUDDER_SERVICE_ENTRY_JSON_HPP

#include <kingcuprudder/region/owner_io.hpp>
#include <kingcuprudder/request/request_session.hpp>
#include <kingcuprudder/settings/effective_settings.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace kingcuprudder
{

/// A job as its caller submitted it. What is left out comes from its class.
struct job_submission
{
    job_key m_key;
    job_class_id m_class;
    shape m_shape;
    std::optional<span> m_run_time;
    instant m_deadline; ///< Zero for none.
    std::optional<bool> m_urgent;
    std::optional<bool> m_idempotent;
    std::optional<bool> m_preemptible;
    std::string m_payload;

    friend bool operator==(const job_submission&,
                           const job_submission&) = default;
};

/// A request as its caller sent it. Without a timeout, the service's default
/// deadline applies.
struct request_submission
{
    request_key m_key;
    service_id m_service;
    bool m_idempotent = false;
    std::optional<span> m_timeout;
    std::string m_body;

    friend bool operator==(const request_submission&,
                           const request_submission&) = default;
};

/// Parses a submission strictly: error_code::malformed names the field at
/// fault, and for an unknown field the nearest known one.
result<job_submission> parse_job(std::string_view text);
result<request_submission> parse_request(std::string_view text);

/// Whether a text can be an id: 1 to 128 letters, digits, '.', '_' or '-'.
bool is_valid_id(std::string_view text);

/// The submission with the values of its class filled in.
job_spec fill_in(const job_submission& submission,
                 const job_class_settings& defaults);

/// Whether a job that was accepted earlier has all that the submission
/// states. The defaults of the class may have changed in between.
bool describes(const job_submission& submission, const job_spec& accepted);

/// Tells requests with the same id but other content apart.
std::uint64_t content_hash(const request_submission& request);

/// An answer to a caller.
struct entry_response
{
    int m_status = 200;
    std::string m_body; ///< JSON text.
    /// Seconds after which the caller may repeat the call; 0 for none.
    int m_retry_after_seconds = 0;

    friend bool operator==(const entry_response&,
                           const entry_response&) = default;
};

entry_response respond(const error& refusal);
entry_response respond(const caller_reply& reply);
entry_response respond(const request_key& request,
                       const request_answer& answer);

} // namespace kingcuprudder

#endif

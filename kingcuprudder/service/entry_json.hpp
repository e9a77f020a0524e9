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

/// A job as its caller submitted it. Omitted fields are taken from the job
/// class.
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

/// A request as its caller sent it. Without a timeout, the default deadline of
/// the service applies.
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

/// Parses a submission strictly. Fails with error_code::malformed; the message
/// names the invalid field, and for an unknown field the closest valid name.
result<job_submission> parse_job(std::string_view text);
result<request_submission> parse_request(std::string_view text);

/// Returns whether a text is a valid id: 1 to 128 letters, digits, '.', '_' or
/// '-'.
bool is_valid_id(std::string_view text);

/// Returns the job specification: the submission, with omitted fields set to
/// the defaults of its class.
job_spec fill_in(const job_submission& submission,
                 const job_class_settings& defaults);

/// Returns whether an accepted job matches all fields that the submission
/// states. The defaults of the class may have changed since the job was
/// accepted.
bool describes(const job_submission& submission, const job_spec& accepted);

/// Returns a hash that distinguishes requests with the same id but different
/// content.
std::uint64_t content_hash(const request_submission& request);

/// An HTTP response to a caller.
struct entry_response
{
    int m_status = 200;
    std::string m_body; ///< JSON text.
    /// Seconds after which the caller may repeat the call (Retry-After); 0 for
    /// none.
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

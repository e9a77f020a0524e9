#include <kingcuprudder/service/entry_json.hpp>
#include <kingcuprudder/service/entry_strict_object.hpp>
#include <kingcuprudder/settings/settings_json.hpp>

#include <nlohmann/json.hpp>

#define XXH_INLINE_ALL
#include <algorithm>
#include <xxhash.h>

namespace kingcuprudder
{

namespace
{

constexpr std::size_t max_id_length = 128;
constexpr std::int64_t max_tasks = 4096;
constexpr std::int64_t max_accelerators_per_task = 64;
constexpr std::int64_t max_cores_per_task = 4096;
constexpr std::int64_t max_memory_mb_per_task = 64LL * 1024 * 1024;
constexpr span max_run_time = span::hours(std::int64_t{24} * 90);
constexpr span max_request_timeout = span::minutes(10);
/// Bounds instants so that sums of instants and spans cannot overflow.
constexpr std::int64_t max_instant = 1LL << 52;

error malformed(const std::string& message)
{
    return error{error_code::malformed, message, verdict::not_run};
}

std::uint32_t count_of(const strict_object& object, const char* name,
                       std::int64_t min, std::int64_t max,
                       std::uint32_t otherwise)
{
    return static_cast<std::uint32_t>(
        object.integer(name, min, max).value_or(otherwise));
}

proximity parse_proximity(const strict_object& object)
{
    const std::optional<std::string> name = object.text("proximity");
    if (!name)
    {
        return proximity::region;
    }
    const std::optional<proximity> value = proximity_from_string(*name);
    if (!value)
    {
        throw strict_json_error("'" + object.path_of("proximity") +
                                "' must be worker, rack, zone or region");
    }
    return *value;
}

shape parse_shape(const nlohmann::json& json)
{
    const strict_object object(json, "shape",
                               {"tasks", "accelerators_per_task",
                                "cores_per_task", "memory_mb_per_task",
                                "proximity"});
    object.required("tasks");
    shape parsed;
    parsed.m_tasks = count_of(object, "tasks", 1, max_tasks, 1);
    parsed.m_accelerators_per_task = count_of(object, "accelerators_per_task",
                                              0, max_accelerators_per_task, 0);
    parsed.m_cores_per_task =
        count_of(object, "cores_per_task", 0, max_cores_per_task, 1);
    parsed.m_memory_mb_per_task =
        count_of(object, "memory_mb_per_task", 0, max_memory_mb_per_task, 0);
    parsed.m_proximity = parse_proximity(object);
    return parsed;
}

job_submission parse_job_object(const nlohmann::json& json)
{
    const strict_object object(json, "",
                               {"account", "id", "class", "shape",
                                "run_time_ms", "deadline_ms", "urgent",
                                "idempotent", "preemptible", "payload"});
    job_submission job;
    job.m_key.m_account = account_id(object.id("account"));
    job.m_key.m_job = job_id(object.id("id"));
    job.m_class = job_class_id(object.id("class"));
    job.m_shape = parse_shape(object.required("shape"));
    if (auto run_time = object.integer("run_time_ms", 1, max_run_time.count()))
    {
        job.m_run_time = span(*run_time);
    }
    job.m_deadline =
        instant(object.integer("deadline_ms", 0, max_instant).value_or(0));
    job.m_urgent = object.boolean("urgent");
    job.m_idempotent = object.boolean("idempotent");
    job.m_preemptible = object.boolean("preemptible");
    job.m_payload = object.text("payload").value_or("");
    return job;
}

request_submission parse_request_object(const nlohmann::json& json)
{
    const strict_object object(
        json, "",
        {"account", "id", "service", "idempotent", "timeout_ms", "body"});
    request_submission request;
    request.m_key.m_account = account_id(object.id("account"));
    request.m_key.m_request = request_id(object.id("id"));
    request.m_service = service_id(object.id("service"));
    request.m_idempotent = object.boolean("idempotent").value_or(false);
    if (auto timeout =
            object.integer("timeout_ms", 1, max_request_timeout.count()))
    {
        request.m_timeout = span(*timeout);
    }
    request.m_body = object.text("body").value_or("");
    return request;
}

template <class T, class Parse>
result<T> parse_with(std::string_view text, Parse parse)
{
    try
    {
        return parse(parse_json_without_duplicates(text));
    }
    catch (const nlohmann::json::exception& problem)
    {
        return malformed(std::string("not valid JSON: ") + problem.what());
    }
    catch (const std::runtime_error& problem)
    {
        return malformed(problem.what());
    }
}

int status_of(error_code code)
{
    switch (code)
    {
    case error_code::malformed:
    case error_code::invalid_settings:
        return 400;
    case error_code::unknown_account:
    case error_code::unknown_job_class:
    case error_code::unknown_service:
    case error_code::unknown_job:
        return 404;
    case error_code::id_conflict:
    case error_code::revision_conflict:
    case error_code::cancelled:
        return 409;
    case error_code::too_large:
        return 413;
    case error_code::never_fits:
        return 422;
    case error_code::limit_reached:
        return 429;
    case error_code::failed:
        return 502;
    case error_code::store_unavailable:
    case error_code::owner_unavailable:
    case error_code::not_owner:
    case error_code::stale_epoch:
    case error_code::target_unavailable:
        return 503;
    case error_code::deadline_exceeded:
    case error_code::connection_lost:
        return 504;
    case error_code::internal:
        return 500;
    }
    return 500;
}

nlohmann::json describe(const allocation& part)
{
    nlohmann::json accelerators = nlohmann::json::array();
    for (int i = 0; i < 64; ++i)
    {
        if ((part.m_accelerators >> i) & 1)
        {
            accelerators.push_back(i);
        }
    }
    return {{"worker", part.m_worker.str()},
            {"tasks", part.m_tasks},
            {"accelerators", accelerators}};
}

nlohmann::json describe(const shape& needed)
{
    return {{"tasks", needed.m_tasks},
            {"accelerators_per_task", needed.m_accelerators_per_task},
            {"cores_per_task", needed.m_cores_per_task},
            {"memory_mb_per_task", needed.m_memory_mb_per_task},
            {"proximity", to_string(needed.m_proximity)}};
}

nlohmann::json describe(const job_status& job)
{
    const job_spec& spec = job.m_spec;
    nlohmann::json json{{"account", spec.m_key.m_account.str()},
                        {"id", spec.m_key.m_job.str()},
                        {"class", spec.m_class.str()},
                        {"shape", describe(spec.m_shape)},
                        {"run_time_ms", spec.m_declared_run_time.count()},
                        {"deadline_ms", spec.m_deadline.count()},
                        {"urgent", spec.m_urgent},
                        {"idempotent", spec.m_idempotent},
                        {"preemptible", spec.m_preemptible},
                        {"phase", to_string(job.m_phase)},
                        {"attempt", job.m_attempt},
                        {"accepted_at_ms", job.m_accepted_at.count()},
                        {"started_at_ms", job.m_started_at.count()},
                        {"ended_at_ms", job.m_ended_at.count()},
                        {"verdict", to_string(job.m_verdict)}};
    nlohmann::json& parts = json["placement"] = nlohmann::json::array();
    for (const allocation& each : job.m_placement)
    {
        parts.push_back(describe(each));
    }
    if (job.m_phase == job_phase::ended)
    {
        json["outcome"] = to_string(job.m_outcome);
        json["answer"] = job.m_answer;
    }
    return json;
}

nlohmann::json describe(const std::vector<job_status>& jobs)
{
    nlohmann::json list = nlohmann::json::array();
    for (const job_status& each : jobs)
    {
        list.push_back(describe(each));
    }
    return {{"jobs", list}};
}

nlohmann::json describe(const wait_reason& reason)
{
    return {{"account", reason.m_job.m_account.str()},
            {"id", reason.m_job.m_job.str()},
            {"reason", reason.m_text},
            {"expected_start_ms", reason.m_expected_start.count()}};
}

nlohmann::json describe(const ok&)
{
    return nlohmann::json::object();
}

/// The entry process requests permits for itself, so this reply never reaches a
/// caller.
nlohmann::json describe(const permit_granted&)
{
    return nlohmann::json::object();
}

nlohmann::json describe(const permit_ended& ended)
{
    return {{"verdict", to_string(ended.m_verdict)},
            {"answer", ended.m_answer}};
}

/// Responses of targets can contain arbitrary bytes. Invalid UTF-8 is replaced,
/// because JSON cannot represent it.
std::string to_text(const nlohmann::json& json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

result<job_submission> parse_job(std::string_view text)
{
    return parse_with<job_submission>(text, parse_job_object);
}

result<request_submission> parse_request(std::string_view text)
{
    return parse_with<request_submission>(text, parse_request_object);
}

bool is_valid_id(std::string_view text)
{
    return !text.empty() && text.size() <= max_id_length &&
           text.find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                                  "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                  "0123456789._-") == std::string_view::npos;
}

job_spec fill_in(const job_submission& submission,
                 const job_class_settings& defaults)
{
    job_spec spec;
    spec.m_key = submission.m_key;
    spec.m_class = submission.m_class;
    spec.m_shape = submission.m_shape;
    spec.m_declared_run_time =
        submission.m_run_time.value_or(defaults.m_default_run_time);
    spec.m_deadline = submission.m_deadline;
    spec.m_urgent = submission.m_urgent.value_or(defaults.m_urgent);
    spec.m_idempotent = submission.m_idempotent.value_or(defaults.m_idempotent);
    spec.m_preemptible =
        submission.m_preemptible.value_or(defaults.m_preemptible);
    spec.m_payload = submission.m_payload;
    return spec;
}

bool describes(const job_submission& submission, const job_spec& accepted)
{
    job_class_settings values;
    values.m_default_run_time = accepted.m_declared_run_time;
    values.m_urgent = accepted.m_urgent;
    values.m_idempotent = accepted.m_idempotent;
    values.m_preemptible = accepted.m_preemptible;
    return fill_in(submission, values) == accepted;
}

std::uint64_t content_hash(const request_submission& request)
{
    // The separator cannot occur in a service id, so the text is unambiguous.
    const std::string content = request.m_service.str() + '\n' + request.m_body;
    return XXH64(content.data(), content.size(), 0);
}

entry_response respond(const error& refusal)
{
    entry_response response;
    response.m_status = status_of(refusal.m_code);
    response.m_body = to_text({{"code", to_string(refusal.m_code)},
                               {"message", refusal.m_message},
                               {"verdict", to_string(refusal.m_verdict)}});
    if (response.m_status == 429 || response.m_status == 503)
    {
        response.m_retry_after_seconds = 1;
    }
    return response;
}

entry_response respond(const caller_reply& reply)
{
    entry_response response;
    response.m_body = to_text(
        std::visit([](const auto& each) { return describe(each); }, reply));
    return response;
}

entry_response respond(const request_key& request, const request_answer& answer)
{
    entry_response response;
    response.m_body = to_text({{"account", request.m_account.str()},
                               {"id", request.m_request.str()},
                               {"verdict", to_string(verdict::ran)},
                               {"answer", answer.m_body}});
    return response;
}

} // namespace kingcuprudder

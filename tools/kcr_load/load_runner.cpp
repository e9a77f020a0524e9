#include "load_runner.hpp"

#include <kingcuprudder/runtime/timer_service.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <httplib.h>
#include <memory>
#include <optional>
#include <random>
#include <thread>
#include <utility>

namespace kingcuprudder::load
{

namespace
{

using clock = std::chrono::steady_clock;
using json = nlohmann::json;

/// The maximum number of times that an unanswered call is sent, each time
/// through the next entry process.
constexpr int max_tries = 4;
constexpr span query_wait = span::seconds(20);
constexpr span retry_delay = span(200);
constexpr int min_error_status = 400;

void pause(span length)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(length.count()));
}

std::optional<verdict> refusal_in(const json& body)
{
    if (!body.is_object() || !body.contains("code"))
    {
        return std::nullopt;
    }
    return verdict_from_string(body.value("verdict", ""))
        .value_or(verdict::may_have_run);
}

job_outcome outcome_from(const std::string& name)
{
    for (job_outcome each : {job_outcome::succeeded, job_outcome::cancelled,
                             job_outcome::deadline_passed})
    {
        if (to_string(each) == name)
        {
            return each;
        }
    }
    return job_outcome::failed;
}

} // namespace

load_runner::load_runner(const load_options& options) : m_options(options)
{
    plan();
}

void load_runner::plan()
{
    std::mt19937_64 random(m_options.m_seed);
    const std::string run = std::to_string(system_now().count());
    const double horizon =
        static_cast<double>(m_options.m_duration.count()) / 1000.0;
    auto add_kind = [&](double rate, bool is_job)
    {
        std::exponential_distribution<double> gap(std::max(rate, 1e-9));
        double at = rate > 0 ? gap(random) : horizon;
        while (at < horizon && m_plan.size() < m_options.m_max_calls)
        {
            planned_call call;
            call.m_at =
                std::chrono::microseconds(static_cast<std::int64_t>(at * 1e6));
            call.m_is_job = is_job;
            call.m_idempotent =
                random() % 100 >= m_options.m_non_idempotent_percent;
            call.m_tasks = static_cast<std::uint32_t>(
                1 + random() % m_options.m_max_tasks);
            call.m_entry = random() % m_options.m_entries.size();
            call.m_id = std::string(is_job ? "j" : "r") + run + "-" +
                        std::to_string(m_plan.size());
            m_plan.push_back(std::move(call));
            at += gap(random);
        }
    };
    add_kind(m_options.m_requests_per_second, false);
    add_kind(m_options.m_jobs_per_second, true);
    std::sort(m_plan.begin(), m_plan.end(),
              [](const planned_call& left, const planned_call& right)
              { return left.m_at < right.m_at; });
}

void load_runner::run()
{
    m_start = clock::now();
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < m_options.m_threads; ++i)
    {
        threads.emplace_back([this] { run_calls(); });
    }
    for (std::thread& each : threads)
    {
        each.join();
    }
}

void load_runner::run_calls()
{
    while (true)
    {
        const std::size_t place = m_next++;
        if (place >= m_plan.size())
        {
            return;
        }
        const planned_call& call = m_plan[place];
        std::this_thread::sleep_until(m_start + call.m_at);
        call.m_is_job ? run_job(call) : run_request(call);
    }
}

std::string load_runner::subject_of(const planned_call& call) const
{
    return m_options.m_account + "/" + call.m_id;
}

void load_runner::run_request(const planned_call& call)
{
    const std::string subject = subject_of(call);
    const json body{{"account", m_options.m_account},
                    {"id", call.m_id},
                    {"service", m_options.m_service},
                    {"idempotent", call.m_idempotent},
                    {"timeout_ms", m_options.m_request_timeout.count()},
                    {"body", call.m_id}};
    for (int i = 0; i < max_tries; ++i)
    {
        const auto begin = clock::now();
        const history_call_id number =
            invoke(subject, call_kind::request, call.m_idempotent);
        const reply received =
            send(call.m_entry + static_cast<std::size_t>(i), "/v1/requests",
                 body.dump(), m_options.m_request_timeout);
        record_reply("request", number, subject, received, begin);
        if (received.m_answered)
        {
            return;
        }
        pause(retry_delay);
    }
}

void load_runner::run_job(const planned_call& call)
{
    const std::string subject = subject_of(call);
    for (int i = 0; i < max_tries; ++i)
    {
        planned_call repeated = call;
        repeated.m_entry += static_cast<std::size_t>(i);
        if (submit(repeated, subject))
        {
            return;
        }
        pause(retry_delay);
    }
}

bool load_runner::submit(const planned_call& call, const std::string& subject)
{
    const json payload{{"run_ms", m_options.m_job_run_time.count()}};
    const json body{
        {"account", m_options.m_account},
        {"id", call.m_id},
        {"class", m_options.m_job_class},
        {"shape", {{"tasks", call.m_tasks}, {"accelerators_per_task", 1}}},
        {"run_time_ms", m_options.m_job_run_time.count()},
        {"idempotent", call.m_idempotent},
        {"preemptible", call.m_idempotent},
        {"payload", payload.dump()}};
    const auto begin = clock::now();
    const history_call_id number =
        invoke(subject, call_kind::submit, call.m_idempotent);
    const reply received = send(call.m_entry, "/v1/jobs", body.dump(),
                                m_options.m_request_timeout);
    const json answer =
        record_reply("submit", number, subject, received, begin);
    if (!received.m_answered || refusal_in(answer) == verdict::may_have_run)
    {
        return false;
    }
    if (!refusal_in(answer))
    {
        wait_for_end(call, subject);
    }
    return true;
}

void load_runner::wait_for_end(const planned_call& call,
                               const std::string& subject)
{
    const auto begin = clock::now();
    const auto end =
        begin + std::chrono::milliseconds(m_options.m_job_timeout.count());
    const std::string path = "/v1/jobs/" + subject +
                             "?wait_ms=" + std::to_string(query_wait.count());
    bool job_exists = false;
    for (std::size_t i = 0; clock::now() < end; ++i)
    {
        const history_call_id number =
            invoke(subject, call_kind::query, call.m_idempotent);
        const reply received =
            send(call.m_entry + i, path, "", query_wait + query_wait);
        const json status =
            record_reply("wait", number, subject, received, begin);
        if (status.is_object() && status.value("phase", "") == "ended")
        {
            record_end(subject, status);
            return;
        }
        job_exists = status.is_object() && status.contains("phase");
        if (!received.m_answered || received.m_status >= min_error_status)
        {
            pause(retry_delay);
        }
    }
    if (job_exists)
    {
        // The job still waits or runs, so it does not count as lost.
        std::lock_guard lock(m_mutex);
        ++m_report.m_kinds["job"].m_outcomes["unfinished"];
        ++m_unfinished;
    }
}

load_runner::reply load_runner::send(std::size_t entry, const std::string& path,
                                     const std::string& body, span timeout)
{
    // Each call uses a new connection: the break of a reused one could not be
    // distinguished from a lost answer.
    httplib::Client client(
        "http://" + m_options.m_entries[entry % m_options.m_entries.size()]);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(std::chrono::seconds(2));
    client.set_read_timeout(
        std::chrono::milliseconds((timeout + span::seconds(5)).count()));
    const httplib::Result result =
        body.empty() ? client.Get(path)
                     : client.Post(path, body, "application/json");
    reply received;
    if (result)
    {
        received = {true, result->status, result->body};
    }
    return received;
}

history_call_id load_runner::invoke(const std::string& subject, call_kind kind,
                                    bool idempotent)
{
    std::lock_guard lock(m_mutex);
    const history_call_id number = m_history.next_call();
    m_idempotent[subject] = idempotent;
    m_history.record(call_invoked{number, "caller " + std::to_string(number),
                                  kind, subject, idempotent, system_now()});
    return number;
}

nlohmann::json
load_runner::record_reply(const std::string& kind, history_call_id call,
                          const std::string& subject, const reply& received,
                          std::chrono::steady_clock::time_point begin)
{
    const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(
        clock::now() - begin);
    json body = json::parse(received.m_body, nullptr, false);
    std::lock_guard lock(m_mutex);
    call_statistics& statistics = m_report.m_kinds[kind];
    if (!received.m_answered)
    {
        ++statistics.m_outcomes["no_answer"];
        ++statistics.m_repeats;
        return body;
    }
    statistics.m_latencies_us.push_back(latency.count());
    call_answered answered;
    answered.m_call = call;
    answered.m_caller = "caller " + std::to_string(call);
    answered.m_at = system_now();
    answered.m_refusal_verdict = refusal_in(body);
    if (answered.m_refusal_verdict)
    {
        ++statistics.m_outcomes[body.value("code", "") + "/" +
                                body.value("verdict", "")];
    }
    else
    {
        ++statistics.m_outcomes["ok"];
        answered.m_subject =
            body.is_object()
                ? body.value("account", "") + "/" + body.value("id", "")
                : "unreadable answer to " + subject;
    }
    m_history.record(answered);
    return body;
}

void load_runner::record_end(const std::string& subject, const json& status)
{
    std::lock_guard lock(m_mutex);
    job_end_reported end;
    end.m_job = subject;
    end.m_outcome = outcome_from(status.value("outcome", ""));
    end.m_verdict = verdict_from_string(status.value("verdict", ""))
                        .value_or(verdict::may_have_run);
    end.m_at = system_now();
    m_history.record(end);
    ++m_report.m_kinds["job"]
          .m_outcomes[std::string(to_string(end.m_outcome)) + "/" +
                      std::string(to_string(end.m_verdict))];
    m_parts[subject] =
        static_cast<std::uint32_t>(status.value("placement", json()).size());
}

bool load_runner::idempotent(const std::string& subject) const
{
    auto found = m_idempotent.find(subject);
    return found == m_idempotent.end() || found->second;
}

std::uint32_t load_runner::parts_of(const std::string& subject) const
{
    auto found = m_parts.find(subject);
    return found == m_parts.end() ? 0 : found->second;
}

} // namespace kingcuprudder::load

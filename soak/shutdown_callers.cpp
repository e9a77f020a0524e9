#include <kingcuprudder/node/clocks.hpp>

#include <soak/shutdown_callers.hpp>

#include <chrono>

namespace kingcuprudder::soak
{

namespace
{

// Longer than a process lives after SIGTERM.
constexpr span response_timeout = span(8000);
constexpr span refused_pause = span(20);
/// The longest pause of a slow caller before the body of its request.
constexpr unsigned max_body_pause_ms = 1500;
constexpr span repeat_pause = span(100);
constexpr int max_repeats = 100;
/// The longest time that a caller leaves a new connection idle.
constexpr unsigned max_idle_ms = 2000;
constexpr int task_ms = 50;
/// The longest pause before the next request of a caller that submits jobs.
constexpr unsigned max_submit_pause_ms = 100;
/// The same of one that only asks.
constexpr unsigned max_ask_pause_ms = 10;
constexpr int status_ok = 200;

void sleep_for(span time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time.count()));
}

bool keeps_connection(caller_kind kind)
{
    return kind != caller_kind::new_get && kind != caller_kind::new_post &&
           kind != caller_kind::new_delete;
}

bool submits(caller_kind kind)
{
    return kind != caller_kind::kept_get && kind != caller_kind::new_get &&
           kind != caller_kind::two_gets && kind != caller_kind::idle_get;
}

bool cancels(caller_kind kind)
{
    return kind == caller_kind::kept_delete || kind == caller_kind::new_delete;
}

} // namespace

std::string_view to_string(caller_kind kind)
{
    switch (kind)
    {
    case caller_kind::kept_get:
        return "kept GET";
    case caller_kind::kept_post:
        return "kept POST";
    case caller_kind::kept_delete:
        return "kept DELETE";
    case caller_kind::new_get:
        return "new GET";
    case caller_kind::new_post:
        return "new POST";
    case caller_kind::new_delete:
        return "new DELETE";
    case caller_kind::slow_post:
        return "slow POST";
    case caller_kind::two_gets:
        return "two GETs";
    case caller_kind::idle_get:
        return "idle GET";
    }
    return "";
}

shutdown_callers::shutdown_callers(std::string address,
                                   std::string other_address,
                                   job_ledger& ledger, int callers,
                                   unsigned seed)
    : m_address(std::move(address)), m_other_address(std::move(other_address)),
      m_ledger(ledger), m_asked_job(ledger.add())
{
    submit_elsewhere(m_asked_job);
    for (int index = 0; index < callers; ++index)
    {
        const auto number = static_cast<unsigned>(index);
        const caller_kind kind =
            all_caller_kinds.at(number % all_caller_kinds.size());
        m_threads.emplace_back([this, kind, seed, number]
                               { run(kind, seed + number); });
    }
}

shutdown_callers::~shutdown_callers()
{
    stop();
}

shutdown_calls shutdown_callers::stop()
{
    m_stopping = true;
    for (std::thread& each : m_threads)
    {
        each.join();
    }
    m_threads.clear();
    return m_calls;
}

void shutdown_callers::run(caller_kind kind, unsigned seed)
{
    std::mt19937 random(seed);
    while (!m_stopping)
    {
        if (!use_connection(kind, random))
        {
            sleep_for(refused_pause);
        }
    }
}

bool shutdown_callers::use_connection(caller_kind kind, std::mt19937& random)
{
    const instant began = node::boottime_now();
    caller_connection connection(m_address);
    if (!connection.is_connected())
    {
        observed_request refused;
        refused.m_kind = kind;
        refused.m_sent_at = began;
        refused.m_took = node::boottime_now() - began;
        refused.m_refused = true;
        note(refused);
        return false;
    }
    if (kind == caller_kind::idle_get)
    {
        sleep_for(span(static_cast<int>(random() % max_idle_ms)));
    }
    bool open = !connection.is_ended();
    while (open && !m_stopping)
    {
        if (submits(kind))
        {
            use_job(kind, connection, random, open);
        }
        else
        {
            const std::string request = job_request_text("GET", m_asked_job);
            const bool twice = kind == caller_kind::two_gets;
            note(send(kind, connection, twice ? request + request : request,
                      open));
            if (twice && open)
            {
                note(receive(kind, connection, node::boottime_now(), open));
            }
        }
        const unsigned max_pause =
            submits(kind) ? max_submit_pause_ms : max_ask_pause_ms;
        sleep_for(span(static_cast<int>(random() % max_pause)));
        open = open && keeps_connection(kind) && !connection.is_ended();
    }
    return true;
}

void shutdown_callers::use_job(caller_kind kind, caller_connection& connection,
                               std::mt19937& random, bool& open)
{
    const std::string id = m_ledger.add();
    if (!cancels(kind))
    {
        submit(kind, connection, id, random, open);
        return;
    }
    submit_elsewhere(id);
    sleep_for(span(static_cast<int>(random() % task_ms)));
    if (!connection.is_ended())
    {
        m_ledger.note_cancellation(id);
        note(send(kind, connection, job_request_text("DELETE", id), open));
    }
}

void shutdown_callers::submit(caller_kind kind, caller_connection& connection,
                              const std::string& id, std::mt19937& random,
                              bool& open)
{
    std::string request = job_request_text("POST", id, job_body(task_ms));
    const instant began = node::boottime_now();
    if (kind == caller_kind::slow_post)
    {
        const std::size_t header_size = request.find("\r\n\r\n") + 4;
        connection.send(request.substr(0, header_size));
        request.erase(0, header_size);
        sleep_for(span(static_cast<int>(random() % max_body_pause_ms)));
    }
    connection.send(request);
    const observed_request seen = receive(kind, connection, began, open);
    note(seen);
    if (seen.m_status == status_ok)
    {
        m_ledger.note_accepted(id);
        return;
    }
    if (seen.m_status == 0)
    {
        note_outcome_without_response(id);
    }
    submit_elsewhere(id);
}

void shutdown_callers::submit_elsewhere(const std::string& id)
{
    const std::string request = job_request_text("POST", id, job_body(task_ms));
    for (int repeat = 0; repeat < max_repeats; ++repeat)
    {
        caller_connection connection(m_other_address);
        if (connection.is_connected() && connection.send(request))
        {
            const auto answer = connection.read_response(response_timeout);
            if (answer && answer->m_status == status_ok)
            {
                m_ledger.note_accepted(id);
                return;
            }
        }
        sleep_for(repeat_pause);
    }
}

observed_request shutdown_callers::send(caller_kind kind,
                                        caller_connection& connection,
                                        const std::string& request, bool& open)
{
    const instant sent_at = node::boottime_now();
    connection.send(request);
    return receive(kind, connection, sent_at, open);
}

observed_request shutdown_callers::receive(caller_kind kind,
                                           caller_connection& connection,
                                           instant sent_at, bool& open)
{
    observed_request seen;
    seen.m_kind = kind;
    seen.m_sent_at = sent_at;
    const auto answer = connection.read_response(response_timeout);
    seen.m_took = node::boottime_now() - sent_at;
    if (answer)
    {
        seen.m_status = answer->m_status;
        seen.m_closes = answer->m_closes;
    }
    else
    {
        seen.m_error = connection.error();
    }
    open = answer && !answer->m_closes;
    return seen;
}

void shutdown_callers::note(const observed_request& request)
{
    std::lock_guard lock(m_mutex);
    m_calls.m_requests.push_back(request);
}

void shutdown_callers::note_outcome_without_response(const std::string& id)
{
    const std::string state = ask_for_state({m_other_address}, id);
    std::lock_guard lock(m_mutex);
    const bool absent = state == "410";
    m_calls.m_absent_without_response += absent ? 1 : 0;
    m_calls.m_stored_without_response += absent ? 0 : 1;
}

} // namespace kingcuprudder::soak

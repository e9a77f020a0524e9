#include <soak/job_callers.hpp>

#include <chrono>

namespace kingcuprudder::soak
{

namespace
{

constexpr span response_timeout = span(3500);
constexpr span repeat_pause = span(50);
constexpr int max_attempts = 60;
constexpr int max_task_ms = 300;
/// The longest pause before a caller's next job.
constexpr unsigned max_pause_ms = 300;
// One of so many jobs is cancelled.
constexpr unsigned jobs_per_cancelled_job = 4;
constexpr int status_ok = 200;
constexpr int status_server_error = 500;

void sleep_for(span time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time.count()));
}

std::string wrong_status(const std::string& method, const std::string& id,
                         int status)
{
    return "WRONG: " + method + " of job " + id + " got status " +
           std::to_string(status);
}

} // namespace

job_callers::job_callers(const deployment& nodes, balancer& balance,
                         job_ledger& ledger, int callers, unsigned seed)
    : m_nodes(nodes), m_balancer(balance), m_ledger(ledger)
{
    for (int index = 0; index < callers; ++index)
    {
        m_threads.emplace_back([this, seed, index]
                               { run(seed + static_cast<unsigned>(index)); });
    }
}

job_callers::~job_callers()
{
    stop();
}

job_calls job_callers::stop()
{
    m_stopping = true;
    for (std::thread& each : m_threads)
    {
        each.join();
    }
    m_threads.clear();
    return m_calls;
}

void job_callers::run(unsigned seed)
{
    std::mt19937 random(seed);
    connection_state state;
    state.m_node = m_balancer.select(static_cast<unsigned>(random()));
    while (!m_stopping)
    {
        const std::string id = m_ledger.add();
        const int task_ms = static_cast<int>(random() % max_task_ms);
        if (call(state, random, "POST", id, job_body(task_ms)) == status_ok)
        {
            m_ledger.note_accepted(id);
            call(state, random, "GET", id);
            if (random() % jobs_per_cancelled_job == 0)
            {
                m_ledger.note_cancellation(id);
                call(state, random, "DELETE", id);
            }
        }
        sleep_for(span(static_cast<int>(random() % max_pause_ms)));
    }
}

int job_callers::call(connection_state& state, std::mt19937& random,
                      const std::string& method, const std::string& id,
                      const std::string& body)
{
    int status = 0;
    for (int attempt = 0; attempt < max_attempts; ++attempt)
    {
        status = call_once(state, method, job_request_text(method, id, body));
        if (status == status_ok)
        {
            return status;
        }
        if (status != 0 && status < status_server_error)
        {
            note_violation(wrong_status(method, id, status), state.m_node);
            return status;
        }
        state.m_connection.reset();
        state.m_node = m_balancer.select(static_cast<unsigned>(random()));
        sleep_for(repeat_pause);
    }
    note_violation("LOST: " + method + " of job " + id + " was never served",
                   state.m_node);
    return status;
}

int job_callers::call_once(connection_state& state, const std::string& method,
                           const std::string& request)
{
    if (!state.m_connection || state.m_connection->is_ended())
    {
        state.m_connection.emplace(m_nodes.caller_address(state.m_node));
    }
    if (!state.m_connection->is_connected())
    {
        std::lock_guard lock(m_mutex);
        ++m_calls.m_refused_connections;
        return 0;
    }
    state.m_connection->send(request);
    const auto answer = state.m_connection->read_response(response_timeout);
    if (!answer)
    {
        note_violation("LOST: " + method + " got no response (" +
                           state.m_connection->error() + ")",
                       state.m_node);
        return 0;
    }
    if (answer->m_closes)
    {
        state.m_connection.reset();
    }
    std::lock_guard lock(m_mutex);
    ++m_calls.m_answered;
    m_calls.m_unavailable += answer->m_status >= status_server_error ? 1 : 0;
    return answer->m_status;
}

void job_callers::note_violation(const std::string& text, int node)
{
    std::lock_guard lock(m_mutex);
    m_calls.m_violations.push_back(
        text + ", process " + std::to_string(node) + ", " +
        std::to_string(m_nodes.time_since_signal(node).count()) +
        " ms after SIGTERM");
}

} // namespace kingcuprudder::soak

#include <kingcuprudder/node/clocks.hpp>

#include <nlohmann/json.hpp>
#include <soak/caller_connection.hpp>
#include <soak/job_checks.hpp>
#include <soak/job_ledger.hpp>

#include <chrono>
#include <thread>

namespace kingcuprudder::soak
{

namespace
{

constexpr std::size_t id_length = 16;
constexpr std::chrono::milliseconds poll_interval(200);
constexpr span status_timeout = span(3500);
constexpr int status_ok = 200;
constexpr int status_server_error = 500;

bool has_ended(const std::string& state)
{
    return state == "completed" || state == "cancelled" || state == "failed";
}

} // namespace

std::string job_ledger::add()
{
    std::lock_guard lock(m_mutex);
    const std::string number = std::to_string(++m_last);
    std::string id = std::string(id_length - number.size(), '0') + number;
    m_jobs[id] = job();
    return id;
}

void job_ledger::note_accepted(const std::string& id)
{
    std::lock_guard lock(m_mutex);
    m_jobs[id].m_accepted = true;
}

void job_ledger::note_cancellation(const std::string& id)
{
    std::lock_guard lock(m_mutex);
    m_jobs[id].m_cancelled = true;
}

int job_ledger::accepted_count() const
{
    std::lock_guard lock(m_mutex);
    int count = 0;
    for (const auto& [id, each] : m_jobs)
    {
        count += each.m_accepted ? 1 : 0;
    }
    return count;
}

std::vector<std::string>
job_ledger::check(stand_ins::simulated_minions& workers,
                  const state_query& state, span timeout) const
{
    std::lock_guard lock(m_mutex);
    const instant end = node::boottime_now() + timeout;
    std::vector<observed_job> jobs;
    for (const auto& [id, each] : m_jobs)
    {
        if (!each.m_accepted)
        {
            continue;
        }
        observed_job& seen = jobs.emplace_back();
        seen.m_id = id;
        seen.m_accepted = true;
        seen.m_cancelled = each.m_cancelled;
        seen.m_state = state(id);
        while (!has_ended(seen.m_state) && node::boottime_now() < end)
        {
            std::this_thread::sleep_for(poll_interval);
            seen.m_state = state(id);
        }
    }
    std::vector<std::string> found = workers.violations();
    const std::map<std::string, int> completed = workers.completion_counts();
    for (observed_job& seen : jobs)
    {
        const std::string task = seen.m_id + ".0.0.0";
        seen.m_completed_tasks = completed.contains(task) ? 1 : 0;
        for (const std::string& each : job_violations(seen))
        {
            found.push_back(each);
        }
    }
    return found;
}

std::string ask_for_state(const std::vector<std::string>& addresses,
                          const std::string& id)
{
    for (const std::string& address : addresses)
    {
        caller_connection connection(address);
        if (!connection.is_connected() ||
            !connection.send(job_request_text("GET", id)))
        {
            continue;
        }
        const auto answer = connection.read_response(status_timeout);
        if (answer && answer->m_status < status_server_error)
        {
            return answer->m_status == status_ok
                       ? nlohmann::json::parse(answer->m_body)
                             .value("state", "")
                       : std::to_string(answer->m_status);
        }
    }
    return "no answer";
}

} // namespace kingcuprudder::soak

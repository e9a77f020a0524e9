#include <kingcuprudder/node/clocks.hpp>

#include <nlohmann/json.hpp>
#include <soak/deployment_callers.hpp>

#include <chrono>
#include <map>
#include <queue>
#include <random>

namespace kingcuprudder::soak
{

namespace
{

constexpr int max_attempts = 4;
constexpr span retry_pause = span(150);
constexpr span read_interval = span(3000);
constexpr span queue_read_interval = span(2000);
/// The first occurrence of a timed job is due this long after its submission.
constexpr span time_to_first_occurrence = span(1500);
constexpr int status_ok = 200;
constexpr int status_gone = 410;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;

void sleep_for(span time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time.count()));
}

bool is_rejection(const call_end& call)
{
    return call.m_outcome == call_end::outcome::not_connected ||
           call.m_status == status_too_many ||
           call.m_status == status_unavailable;
}

/// Returns the text of the state in the answer to a read, its status, or "no
/// answer".
std::string state_in(const call_end& call)
{
    if (call.m_outcome != call_end::outcome::answered)
    {
        return "no answer";
    }
    if (call.m_status != status_ok)
    {
        return std::to_string(call.m_status);
    }
    const auto body = nlohmann::json::parse(call.m_body, nullptr, false);
    return body.is_object() ? body.value("state", "no state") : "no state";
}

} // namespace

status_result result_of(const call_end& call)
{
    if (call.m_outcome == call_end::outcome::not_connected)
    {
        return status_result::not_connected;
    }
    if (call.m_outcome == call_end::outcome::no_response)
    {
        return status_result::no_response;
    }
    if (call.m_status == status_gone)
    {
        return status_result::unknown_job;
    }
    if (call.m_status == status_too_many || call.m_status == status_unavailable)
    {
        return status_result::rejected;
    }
    return state_of(call) ? status_result::state : status_result::unreadable;
}

std::optional<dispatch::job_state> state_of(const call_end& call)
{
    using dispatch::job_state;
    static const std::map<std::string, job_state> by_name = {
        {"queued", job_state::queued},
        {"running", job_state::running},
        {"completed", job_state::completed},
        {"failed", job_state::failed},
        {"cancelled", job_state::cancelled}};
    const auto found = by_name.find(state_in(call));
    return found == by_name.end() ? std::nullopt
                                  : std::optional<job_state>(found->second);
}

deployment_callers::deployment_callers(const deployment& nodes,
                                       balancer& balance,
                                       const disruption_record& disruptions,
                                       call_record& record,
                                       const deployment_sheet& sheet,
                                       unsigned seed)
    : m_sheet(sheet)
{
    std::mt19937 random(seed);
    for (int index = 0; index < sheet.m_callers; ++index)
    {
        m_connections.push_back(std::make_unique<balanced_connection>(
            nodes, balance, disruptions, record,
            static_cast<unsigned>(random())));
    }
    for (planned_job& each : plan_jobs(sheet, seed))
    {
        m_jobs.emplace_back().m_plan = std::move(each);
    }
}

void deployment_callers::play_load()
{
    m_begin = node::boottime_now();
    for_each_caller([this](int caller) { play(caller); });
}

void deployment_callers::ask_for_jobs(bool all)
{
    for_each_caller(
        [this, all](int caller)
        {
            for (std::size_t index = caller; index < m_jobs.size();
                 index += m_connections.size())
            {
                called_job& job = m_jobs[index];
                if (job.m_accepted_at && (all || !job.has_ended()))
                {
                    read(job, *m_connections[caller], true);
                }
            }
        });
}

void deployment_callers::for_each_job(
    const std::function<void(const called_job&)>& function) const
{
    std::lock_guard lock(m_mutex);
    for (const called_job& each : m_jobs)
    {
        function(each);
    }
}

void deployment_callers::for_each_caller(const std::function<void(int)>& play)
{
    std::vector<std::thread> threads;
    threads.reserve(m_connections.size());
    for (int caller = 0; caller < m_sheet.m_callers; ++caller)
    {
        threads.emplace_back([&play, caller] { play(caller); });
    }
    for (std::thread& each : threads)
    {
        each.join();
    }
}

span deployment_callers::now() const
{
    return node::boottime_now() - m_begin;
}

void deployment_callers::play(int caller)
{
    std::priority_queue<action> actions;
    for (std::size_t index = caller; index < m_jobs.size();
         index += m_connections.size())
    {
        const planned_job& plan = m_jobs[index].m_plan;
        actions.push({plan.m_submit_at, action::kind::submit, index});
        actions.push(
            {plan.m_submit_at + read_interval, action::kind::read, index});
        if (plan.m_cancel_at)
        {
            actions.push({*plan.m_cancel_at, action::kind::cancel, index});
        }
    }
    // One caller asks for the pending jobs of each queue.
    if (caller < static_cast<int>(m_sheet.m_kinds.size()))
    {
        actions.push({queue_read_interval, action::kind::read_queue,
                      static_cast<std::size_t>(caller)});
    }
    while (!actions.empty() && actions.top().m_at < m_sheet.m_load_time)
    {
        const action next = actions.top();
        actions.pop();
        sleep_for(std::max(span(0), next.m_at - now()));
        perform(next, *m_connections[caller]);
        if (next.m_kind == action::kind::read_queue)
        {
            actions.push(
                {now() + queue_read_interval, next.m_kind, next.m_subject});
        }
        if (next.m_kind == action::kind::read &&
            !m_jobs[next.m_subject].has_ended())
        {
            actions.push({now() + read_interval, next.m_kind, next.m_subject});
        }
    }
}

void deployment_callers::perform(const action& next,
                                 balanced_connection& connection)
{
    if (next.m_kind == action::kind::read_queue)
    {
        read_queue(m_sheet.m_kinds[next.m_subject], connection);
        return;
    }
    called_job& job = m_jobs[next.m_subject];
    if (next.m_kind == action::kind::submit)
    {
        submit(job, connection);
    }
    else if (job.m_accepted_at && next.m_kind == action::kind::cancel)
    {
        cancel(job, connection);
    }
    else if (job.m_accepted_at)
    {
        read(job, connection, false);
    }
}

void deployment_callers::submit(called_job& job,
                                balanced_connection& connection)
{
    const job_kind& kind = m_sheet.m_kinds[job.m_plan.m_kind];
    const std::string path = path_of(job.m_plan, kind);
    const instant first_due = node::wall_now() + time_to_first_occurrence;
    const std::string body = body_of(job.m_plan, kind, first_due.count());
    {
        std::lock_guard lock(m_mutex);
        job.m_submitted = true;
        job.m_first_due = first_due;
    }
    for (int attempt = 0; attempt < max_attempts; ++attempt)
    {
        sleep_for(attempt == 0 ? span(0) : retry_pause);
        const call_end call = connection.call(call_method::submit, path, body);
        std::lock_guard lock(m_mutex);
        if (call.m_status == status_ok)
        {
            job.m_refused_only = false;
            job.m_accepted_at = call.m_ended_at;
            return;
        }
        job.m_refused_only = job.m_refused_only && is_rejection(call);
    }
}

void deployment_callers::cancel(called_job& job,
                                balanced_connection& connection)
{
    const std::string path =
        path_of(job.m_plan, m_sheet.m_kinds[job.m_plan.m_kind]);
    {
        std::lock_guard lock(m_mutex);
        job.m_cancel_sent_at = node::boottime_now();
    }
    for (int attempt = 0; attempt < max_attempts; ++attempt)
    {
        sleep_for(attempt == 0 ? span(0) : retry_pause);
        const call_end call = connection.call(call_method::cancel, path);
        std::lock_guard lock(m_mutex);
        if (call.m_status == status_ok || call.m_status == status_gone)
        {
            job.m_cancelled_at = call.m_ended_at;
            return;
        }
    }
}

void deployment_callers::read(called_job& job, balanced_connection& connection,
                              bool final)
{
    const std::string path =
        path_of(job.m_plan, m_sheet.m_kinds[job.m_plan.m_kind]);
    for (int attempt = 0; attempt < max_attempts; ++attempt)
    {
        sleep_for(attempt == 0 ? span(0) : retry_pause);
        const call_end call = connection.call(call_method::read, path);
        std::lock_guard lock(m_mutex);
        (final ? job.m_final_reads : job.m_reads).push_back(call);
        if (call.m_status != status_gone || !job.has_ended())
        {
            job.m_state = state_in(call);
        }
        if (call.m_status == status_ok || call.m_status == status_gone)
        {
            return;
        }
    }
}

void deployment_callers::read_queue(const job_kind& kind,
                                    balanced_connection& connection)
{
    const call_end call =
        connection.call(call_method::read, "/" + kind.m_queue + "/");
    if (call.m_status != status_ok)
    {
        return;
    }
    const auto body = nlohmann::json::parse(call.m_body);
    std::lock_guard lock(m_mutex);
    m_pending_answers.push_back({kind.m_queue, call.m_process, call.m_sent_at,
                                 call.m_ended_at, body.at("pending"),
                                 call.m_in_touch});
}

} // namespace kingcuprudder::soak

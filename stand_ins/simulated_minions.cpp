#include <kingcuprudder/node/clocks.hpp>

#include <nlohmann/json.hpp>
#include <stand_ins/simulated_minions.hpp>

#include <algorithm>
#include <chrono>
#include <httplib.h>
#include <sstream>

namespace kingcuprudder::stand_ins
{

namespace
{

using nlohmann::json;

constexpr std::size_t server_threads = 200;
constexpr int gpus_of_a_minion = 8;
constexpr span heartbeat = span(500);
constexpr std::chrono::milliseconds clock_step(5);
constexpr std::chrono::milliseconds silence(700);
constexpr span late_by = span(2000);
constexpr span gang_timeout = span(3000);
constexpr std::int64_t started_at = 1'700'000'000'000;

constexpr int status_ok = 200;
constexpr int status_refused = 409;
constexpr int status_other_instance = 421;

json with_clock(json body)
{
    body["clockMs"] = node::boottime_now().count();
    body["born"] = started_at;
    return body;
}

} // namespace

simulated_minions::simulated_minions(memory_store& store, int count)
    : m_store(store)
{
    for (int index = 0; index < count; ++index)
    {
        m_minions["i-" + std::to_string(index)];
    }
    m_listener = std::make_unique<http_listener>("127.0.0.1:0", server_threads,
                                                 [this](httplib::Server& server)
                                                 { install(server); });
    publish();
    m_clock = std::thread([this] { run_clock(); });
}

simulated_minions::~simulated_minions()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_clock.join();
    m_listener->stop();
}

void simulated_minions::lose_orders(double share, unsigned seed)
{
    std::lock_guard lock(m_mutex);
    m_lost_share = share;
    m_random.seed(seed);
}

std::map<std::string, int> simulated_minions::completed()
{
    std::lock_guard lock(m_mutex);
    return m_completed;
}

std::vector<std::string> simulated_minions::violations()
{
    std::lock_guard lock(m_mutex);
    return m_violations;
}

void simulated_minions::install(httplib::Server& server)
{
    server.Post(
        "/kingcuprudder/(run-start|run-stop|hold)",
        [this](const httplib::Request& request, httplib::Response& response)
        {
            std::unique_lock lock(m_mutex);
            const auto found =
                m_minions.find(request.get_header_value("X-Target-Instance"));
            if (found == m_minions.end())
            {
                response.status = status_other_instance;
                return;
            }
            advance();
            const json order = json::parse(request.body);
            const std::string call = request.matches[1];
            const double drawn =
                std::uniform_real_distribution<double>(0, 1)(m_random);
            if (drawn < m_lost_share)
            {
                if (call == "run-start" && drawn < m_lost_share / 2)
                {
                    m_late_starts.push_back({node::boottime_now() + late_by,
                                             {found->first, request.body}});
                }
                lock.unlock();
                std::this_thread::sleep_for(silence);
                response.status = 500;
                return;
            }
            int status = status_ok;
            json body;
            if (order.at("fencingToken").get<std::int64_t>() <
                found->second.m_fence)
            {
                status = status_refused;
                body["reason"] = "fence";
            }
            else
            {
                found->second.m_fence = order.at("fencingToken");
                body = call == "run-start" ? start(found->second, order, status)
                       : call == "run-stop"
                           ? stop(found->second, order, status)
                           : hold(lock, found->second, order, status);
            }
            response.status = status;
            response.set_content(with_clock(body).dump(), "application/json");
        });
}

json simulated_minions::start(minion& target, const json& order, int& status)
{
    const std::string task = order.at("task");
    const int number = order.at("run");
    const instant now = node::boottime_now();
    const instant lease_end(order.at("deadlineMs").get<std::int64_t>());
    for (const run& each : target.m_running)
    {
        if (each.m_task == task && each.m_run == number)
        {
            return json::object();
        }
    }
    if (lease_end <= now || target.m_highest_ended[task] >= number)
    {
        status = status_refused;
        return {{"reason", lease_end <= now ? "late" : "old"}};
    }
    target.m_lease_end = std::max(target.m_lease_end, lease_end);
    for (const auto& [id, other] : m_minions)
    {
        for (const run& each : other.m_running)
        {
            if (each.m_task == task)
            {
                m_violations.push_back("two runs of " + task);
            }
        }
    }
    if (m_completed.contains(task))
    {
        m_violations.push_back("a run after the end of " + task);
    }
    // The spec is "MILLISECONDS" or "MILLISECONDS MEMBERS"; each task takes one
    // GPU.
    std::istringstream spec(order.at("spec").get<std::string>());
    std::int64_t length = 0;
    run begun{task, number, now, span(0), 1, std::nullopt};
    spec >> length;
    if (!(spec >> begun.m_members))
    {
        begun.m_members = 1;
    }
    begun.m_length = span(length);
    if (begun.m_members == 1)
    {
        begun.m_ends = now + begun.m_length;
    }
    target.m_running.push_back(begun);
    if (target.m_running.size() > gpus_of_a_minion)
    {
        m_violations.push_back("over capacity with " + task);
    }
    return json::object();
}

json simulated_minions::stop(minion& target, const json& order, int&)
{
    const std::string task = order.at("task");
    const int number = order.at("run");
    int& highest = target.m_highest_ended[task];
    highest = std::max(highest, number);
    for (std::size_t at = 0; at < target.m_running.size(); ++at)
    {
        if (target.m_running[at].m_task == task &&
            target.m_running[at].m_run == number)
        {
            finish(target, at, "stopped");
            break;
        }
    }
    return json::object();
}

json simulated_minions::hold(std::unique_lock<std::mutex>& lock, minion& target,
                             const json& order, int&)
{
    const std::int64_t seen = order.at("lastSeen");
    std::erase_if(target.m_ended,
                  [seen](const ended& each) { return each.m_number <= seen; });
    target.m_lease_end =
        std::max(target.m_lease_end,
                 instant(order.value("deadlineMs", std::int64_t(0))));
    m_changed.wait_for(
        lock, std::chrono::milliseconds(order.value("waitMs", std::int64_t(0))),
        [&] { return m_stopping || !target.m_ended.empty(); });
    json body{{"running", json::array()}, {"ended", json::array()}};
    const instant now = node::boottime_now();
    for (const run& each : target.m_running)
    {
        const std::int64_t percent =
            each.m_ends
                ? 100 - 100 * (*each.m_ends - now).count() /
                            std::max<std::int64_t>(1, each.m_length.count())
                : 0;
        body["running"].push_back(
            {each.m_task, each.m_run, "", std::min<std::int64_t>(99, percent)});
    }
    for (const ended& each : target.m_ended)
    {
        body["ended"].push_back(
            {each.m_number, each.m_task, each.m_run, each.m_how, ""});
    }
    return body;
}

void simulated_minions::finish(minion& target, std::size_t at,
                               const std::string& how)
{
    const run over = target.m_running[at];
    target.m_running.erase(target.m_running.begin() +
                           static_cast<std::ptrdiff_t>(at));
    target.m_ended.push_back(
        {++target.m_last_number, over.m_task, over.m_run, how});
    int& highest = target.m_highest_ended[over.m_task];
    highest = std::max(highest, over.m_run);
    if (how == "done" && ++m_completed[over.m_task] > 1)
    {
        m_violations.push_back("completed twice: " + over.m_task);
    }
    if (how != "done" && over.m_members > 1)
    {
        m_broken_gangs.insert(gang_of(over));
    }
    m_changed.notify_all();
}

simulated_minions::gang simulated_minions::gang_of(const run& member)
{
    return {member.m_task.substr(0, member.m_task.rfind('.')), member.m_run};
}

void simulated_minions::begin_complete_gangs()
{
    std::map<gang, std::vector<run*>> waiting;
    for (auto& [id, target] : m_minions)
    {
        for (run& each : target.m_running)
        {
            if (!each.m_ends)
            {
                waiting[gang_of(each)].push_back(&each);
            }
        }
    }
    const instant now = node::boottime_now();
    for (const auto& [name, members] : waiting)
    {
        if (static_cast<int>(members.size()) < members.front()->m_members)
        {
            continue;
        }
        for (run* each : members)
        {
            each->m_ends = now + each->m_length;
        }
    }
}

void simulated_minions::break_gangs()
{
    const std::set<gang> broken = std::move(m_broken_gangs);
    m_broken_gangs.clear();
    for (auto& [id, target] : m_minions)
    {
        for (std::size_t at = 0; at < target.m_running.size();)
        {
            const run& each = target.m_running[at];
            if (each.m_members > 1 && broken.contains(gang_of(each)))
            {
                finish(target, at, "broken");
            }
            else
            {
                ++at;
            }
        }
    }
    m_broken_gangs.clear(); // All of their members have ended.
}

std::optional<std::string>
simulated_minions::end_of(const minion& where, const run& each, instant now)
{
    if (each.m_ends && *each.m_ends <= now)
    {
        return "done";
    }
    if (where.m_lease_end <= now)
    {
        return "lapsed";
    }
    if (!each.m_ends && now - each.m_began >= gang_timeout)
    {
        return "alone";
    }
    return std::nullopt;
}

void simulated_minions::advance()
{
    break_gangs();
    begin_complete_gangs();
    const instant now = node::boottime_now();
    for (auto& [id, target] : m_minions)
    {
        for (std::size_t at = 0; at < target.m_running.size();)
        {
            if (const auto how = end_of(target, target.m_running[at], now))
            {
                finish(target, at, *how);
            }
            else
            {
                ++at;
            }
        }
    }
    carry_out_late_starts();
}

void simulated_minions::carry_out_late_starts()
{
    const instant now = node::boottime_now();
    while (!m_late_starts.empty() && m_late_starts.front().first <= now)
    {
        const auto [id, text] = m_late_starts.front().second;
        m_late_starts.erase(m_late_starts.begin());
        const json order = json::parse(text);
        minion& target = m_minions.at(id);
        if (order.at("fencingToken").get<std::int64_t>() >= target.m_fence)
        {
            int status = status_ok;
            start(target, order, status);
        }
    }
}

void simulated_minions::publish()
{
    node::store_transaction transaction;
    int index = 0;
    for (const auto& [id, target] : m_minions)
    {
        const json entry{
            {"backend", "pool"},
            {"address", m_listener->address()},
            {"zone", "zone"},
            {"state", "ready"},
            {"capacity",
             {{"cpu", 64000}, {"memMb", 256000}, {"gpu", gpus_of_a_minion}}},
            {"labels", {"a", "r-" + std::to_string(index++ / 4)}},
            {"clockMs", node::boottime_now().count()},
            {"born", started_at}};
        transaction.m_writes.push_back({"servers/" + id, entry.dump(), 0});
    }
    m_store.commit(transaction, span(100));
}

void simulated_minions::run_clock()
{
    instant published = node::boottime_now();
    std::unique_lock lock(m_mutex);
    while (!m_stopping)
    {
        advance();
        if (node::boottime_now() - published >= heartbeat)
        {
            published = node::boottime_now();
            publish();
        }
        m_changed.wait_for(lock, clock_step);
    }
}

} // namespace kingcuprudder::stand_ins

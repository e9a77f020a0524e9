#include <kingcuprudder/node/clocks.hpp>

#include <nlohmann/json.hpp>
#include <stand_ins/simulated_minions.hpp>

#include <algorithm>
#include <chrono>
#include <httplib.h>

namespace kingcuprudder::stand_ins
{

namespace
{

using nlohmann::json;

constexpr span checkpoint_interval = span(2000);
constexpr span restore_time = span(100);
constexpr std::chrono::milliseconds update_interval(5);
constexpr std::chrono::milliseconds unanswered_delay(700);
constexpr std::int64_t max_late_start_delay_ms = 2500;
// A slow clock counts 98 of 100 milliseconds.
constexpr std::int64_t slow_clock_percent = 98;
constexpr const char* any_address = "127.0.0.1:0";
// The entry of a silent minion is removed after so many heartbeats.
constexpr int missed_heartbeats = 3;
constexpr span min_down_time = span(500);
constexpr span max_down_time = span(4000);

constexpr int status_ok = 200;
constexpr int status_refused = 409;
constexpr int status_other_instance = 421;

std::int64_t unix_milliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Returns the index of a task in its step, the last part of its name.
int index_of(const std::string& task)
{
    return std::stoi(task.substr(task.rfind('.') + 1));
}

} // namespace

instant simulated_minions::minion::clock(instant now) const
{
    const span age = now - m_started_at;
    return instant() + (m_slow_clock ? age * slow_clock_percent / 100 : age);
}

simulated_minions::simulated_minions(memory_store& store, int count,
                                     span max_hold)
    : simulated_minions(
          store, minion_options{.m_count = count, .m_max_hold = max_hold})
{
}

simulated_minions::simulated_minions(memory_store& store,
                                     const minion_options& options)
    : m_store(store), m_options(options)
{
    m_listener = std::make_unique<http_listener>(
        "127.0.0.1:0", options.m_listener_threads,
        [this](httplib::Server& server) { install(server); });
    for (int index = 0; index < options.m_count; ++index)
    {
        start_minion("i-" + std::to_string(index), index / options.m_per_rack,
                     any_address);
    }
    publish();
    m_update_thread = std::thread([this] { run_update_loop(); });
}

simulated_minions::~simulated_minions()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
        for (const auto& [id, each] : m_minions)
        {
            each.m_changed->notify_all();
        }
    }
    m_changed.notify_all();
    m_update_thread.join();
    m_listener->stop();
}

void simulated_minions::lose_calls(double share, unsigned seed)
{
    std::lock_guard lock(m_mutex);
    m_lost_share = share;
    m_random.seed(seed);
}

void simulated_minions::crash_one(unsigned choice)
{
    std::lock_guard lock(m_mutex);
    const std::vector<std::string> running = running_minions();
    if (!running.empty())
    {
        const std::string& id = running[choice % running.size()];
        crash(id, m_minions.at(id));
    }
}

bool simulated_minions::restart_one_with_late_start(unsigned choice)
{
    std::lock_guard lock(m_mutex);
    std::vector<std::string> candidates = running_minions();
    std::erase_if(candidates,
                  [this](const std::string& id)
                  {
                      return std::none_of(m_late_starts.begin(),
                                          m_late_starts.end(),
                                          [&id](const late_start& each)
                                          { return each.m_minion == id; });
                  });
    if (candidates.empty())
    {
        return false;
    }
    const std::string& id = candidates[choice % candidates.size()];
    minion& target = m_minions.at(id);
    crash(id, target);
    target.m_keeps_id = true;
    target.m_restarts_at = node::boottime_now() + min_down_time;
    return true;
}

void simulated_minions::write_false_entry(false_entry kind, unsigned choice)
{
    std::lock_guard lock(m_mutex);
    if (running_minions().empty())
    {
        return;
    }
    const auto [id, text] = false_entry_of(kind, choice);
    node::store_transaction transaction;
    transaction.m_writes.push_back({"servers/" + id, text, 0});
    m_store.commit(transaction, span(100));
}

std::pair<std::string, std::string>
simulated_minions::false_entry_of(false_entry kind, unsigned choice)
{
    const std::vector<std::string> running = running_minions();
    std::string id = running[choice % running.size()];
    json entry = entry_of(m_minions.at(id));
    switch (kind)
    {
    case false_entry::later_start:
        entry["born"] =
            std::max(m_minions.at(id).m_born + 1, unix_milliseconds());
        break;
    case false_entry::other_address:
        entry["address"] =
            m_minions.at(running[(choice + 1) % running.size()]).m_address;
        break;
    case false_entry::other_id:
        id = "other-" + std::to_string(++m_false_ids);
        m_silent_entries[id] =
            node::boottime_now() + m_options.m_heartbeat * missed_heartbeats;
        break;
    case false_entry::unreadable:
        entry["address"] = "127.0.0.1:99999";
        break;
    }
    return {id, entry.dump()};
}

bool simulated_minions::drain_one(unsigned choice)
{
    std::lock_guard lock(m_mutex);
    std::vector<std::string> candidates = running_minions();
    std::erase_if(candidates, [this](const std::string& id)
                  { return m_minions.at(id).m_leaves_at.has_value(); });
    if (candidates.empty())
    {
        return false;
    }
    m_minions.at(candidates[choice % candidates.size()]).m_leaves_at =
        node::boottime_now() + m_options.m_drain_time + m_options.m_heartbeat;
    return true;
}

void simulated_minions::add_one(unsigned choice)
{
    std::lock_guard lock(m_mutex);
    const int racks =
        std::max(1, m_options.m_count / std::max(1, m_options.m_per_rack));
    start_minion("i-" + std::to_string(m_minions.size()),
                 static_cast<int>(choice % static_cast<unsigned>(racks)),
                 any_address);
}

int simulated_minions::ready_count()
{
    std::lock_guard lock(m_mutex);
    return static_cast<int>(std::count_if(m_minions.begin(), m_minions.end(),
                                          [](const auto& each) {
                                              return each.second.m_relay &&
                                                     !each.second.m_leaves_at;
                                          }));
}

int simulated_minions::run_count(const std::string& task)
{
    std::lock_guard lock(m_mutex);
    int found = 0;
    for (const auto& [id, each] : m_minions)
    {
        found += static_cast<int>(std::count_if(
            each.m_running.begin(), each.m_running.end(),
            [&task](const run& running)
            { return running.m_task == task && running.m_ends_at; }));
    }
    return found;
}

std::vector<std::string> simulated_minions::running_minions() const
{
    std::vector<std::string> running;
    for (const auto& [id, each] : m_minions)
    {
        if (each.m_relay)
        {
            running.push_back(id);
        }
    }
    return running;
}

int simulated_minions::crash_count()
{
    std::lock_guard lock(m_mutex);
    return m_crashes;
}

int simulated_minions::start_count(const std::string& task)
{
    std::lock_guard lock(m_mutex);
    return m_crash_record.starts(task);
}

int simulated_minions::crash_count(const std::string& task)
{
    std::lock_guard lock(m_mutex);
    return m_crash_record.crashes(task);
}

std::map<std::string, int> simulated_minions::completion_counts()
{
    std::lock_guard lock(m_mutex);
    return m_completed;
}

std::vector<std::string> simulated_minions::violations()
{
    std::lock_guard lock(m_mutex);
    std::vector<std::string> all = m_violations;
    all.insert(all.end(), m_crash_record.violations().begin(),
               m_crash_record.violations().end());
    return all;
}

minions_snapshot simulated_minions::snapshot(std::size_t known_events) const
{
    std::lock_guard lock(m_mutex);
    minions_snapshot found;
    for (const std::string& id : running_minions())
    {
        const minion& each = m_minions.at(id);
        const json entry = entry_of(each);
        minion_snapshot& copy = found.m_minions.emplace_back();
        copy.m_id = id;
        copy.m_pool = entry.at("backend");
        copy.m_labels = entry.at("labels");
        const json& capacity = entry.at("capacity");
        copy.m_capacity = {capacity.at("cpu"), capacity.at("memMb"),
                           capacity.at("gpu")};
        copy.m_draining = entry.at("state") == "draining";
        for (const run& running : each.m_running)
        {
            copy.m_running.push_back(running.m_task);
        }
    }
    found.m_event_count = m_run_events.size();
    const std::size_t first = std::min(known_events, m_run_events.size());
    found.m_events.assign(m_run_events.begin() +
                              static_cast<std::ptrdiff_t>(first),
                          m_run_events.end());
    return found;
}

void simulated_minions::install(httplib::Server& server)
{
    server.Post(
        "/kingcuprudder/(run-start|run-stop|hold)",
        [this](const httplib::Request& request, httplib::Response& response)
        {
            std::unique_lock lock(m_mutex);
            advance();
            const auto found =
                m_minions.find(request.get_header_value("X-Target-Instance"));
            if (found == m_minions.end() || !found->second.m_relay ||
                request.get_header_value("Host") != found->second.m_address)
            {
                response.status = status_other_instance;
                return;
            }
            const json order = json::parse(request.body);
            const std::string call = request.matches[1];
            const double drawn =
                std::uniform_real_distribution<double>(0, 1)(m_random);
            if (drawn < m_lost_share)
            {
                if (call == "run-start" && drawn < m_lost_share / 2)
                {
                    std::uniform_int_distribution<std::int64_t> delay(
                        0, max_late_start_delay_ms);
                    m_late_starts.push_back(
                        {node::boottime_now() + span(delay(m_random)),
                         found->first, request.body});
                }
                lock.unlock();
                std::this_thread::sleep_for(unanswered_delay);
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
                           : renew_lease(lock, found->second, order, status);
            }
            response.status = status;
            body["clockMs"] = found->second.clock(node::boottime_now()).count();
            body["born"] = found->second.m_born;
            response.set_content(body.dump(), "application/json");
        });
}

json simulated_minions::start(minion& target, const json& order, int& status)
{
    const std::string task = order.at("task");
    const int number = order.at("run");
    const instant deadline(order.at("deadlineMs").get<std::int64_t>());
    for (const run& each : target.m_running)
    {
        if (each.m_task == task && each.m_run == number)
        {
            return json::object();
        }
    }
    if (deadline <= target.clock(node::boottime_now()))
    {
        status = status_refused;
        return {{"reason", "late"}};
    }
    extend_lease(target, order);
    if (target.m_highest_ended_run[task] >= number)
    {
        status = status_refused;
        return {{"reason", "old"}};
    }
    add_run(target, order);
    return json::object();
}

void simulated_minions::extend_lease(minion& target, const json& order) const
{
    const instant deadline(order.value("deadlineMs", std::int64_t(0)));
    const instant latest =
        target.clock(node::boottime_now()) + m_options.m_max_hold;
    target.m_lease_end =
        std::max(target.m_lease_end, std::min(deadline, latest));
}

void simulated_minions::add_run(minion& target, const json& order)
{
    const std::string task = order.at("task");
    const int number = order.at("run");
    const instant now = node::boottime_now();
    m_run_events.push_back({task, number, now, std::nullopt});
    for (const auto& [id, other] : m_minions)
    {
        for (const run& each : other.m_running)
        {
            if (each.m_task == task)
            {
                m_violations.push_back("concurrent runs of " + task);
            }
        }
    }
    if (m_lost_ends.erase(task) > 0)
    {
        m_completed.erase(task);
    }
    if (m_completed.contains(task))
    {
        m_violations.push_back("run after completion of " + task);
    }
    run started;
    started.m_task = task;
    started.m_run = number;
    started.m_started_at = now;
    started.m_spec = parse_task_spec(order.at("spec").get<std::string>());
    started.m_duration = started.m_spec.m_duration;
    const std::string saved = order.value("saved", std::string());
    if (!saved.empty())
    {
        started.m_work_before = span(std::stoll(saved));
        started.m_duration =
            started.m_duration + restore_time - started.m_work_before;
    }
    if (started.m_spec.m_gang_size == 1)
    {
        started.m_ends_at = now + started.m_duration;
    }
    if (started.m_spec.m_crashing_index == index_of(task))
    {
        started.m_crashes_at = now + started.m_spec.m_crash_delay;
    }
    m_crash_record.note_start(task, started.m_crashes_at.has_value());
    target.m_running.push_back(started);
    if (exceeds_capacity(target))
    {
        m_violations.push_back("capacity exceeded by " + task);
    }
}

bool simulated_minions::exceeds_capacity(const minion& target) const
{
    int gpus = 0;
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    for (const run& each : target.m_running)
    {
        gpus += each.m_spec.m_gpus;
        cpu += each.m_spec.m_cpu;
        memory += each.m_spec.m_memory_mb;
    }
    return gpus > m_options.m_gpus || cpu > m_options.m_cpu ||
           memory > m_options.m_memory_mb;
}

std::string simulated_minions::saved_progress(const run& each, instant now,
                                              span interval)
{
    if (!each.m_spec.m_saves_progress || !each.m_ends_at)
    {
        return "";
    }
    const span left = std::max(span(0), *each.m_ends_at - now);
    const span worked = std::max(span(0), each.m_duration - left);
    const span saved =
        each.m_work_before + interval * (worked.count() / interval.count());
    return saved > span(0) ? std::to_string(saved.count()) : "";
}

json simulated_minions::stop(minion& target, const json& order, int&)
{
    const std::string task = order.at("task");
    const int number = order.at("run");
    int& highest = target.m_highest_ended_run[task];
    highest = std::max(highest, number);
    for (std::size_t index = 0; index < target.m_running.size(); ++index)
    {
        if (target.m_running[index].m_task == task &&
            target.m_running[index].m_run == number)
        {
            end_run(target, index, "stopped");
            break;
        }
    }
    return json::object();
}

json simulated_minions::renew_lease(std::unique_lock<std::mutex>& lock,
                                    minion& target, const json& order, int&)
{
    const std::int64_t acknowledged = order.at("lastSeen");
    std::erase_if(target.m_ended, [acknowledged](const ended_run& each)
                  { return each.m_number <= acknowledged; });
    extend_lease(target, order);
    const std::shared_ptr<std::condition_variable> changed = target.m_changed;
    changed->wait_for(
        lock, std::chrono::milliseconds(order.value("waitMs", std::int64_t(0))),
        [&]
        {
            return m_stopping || !target.m_relay ||
                   target.m_changed != changed || !target.m_ended.empty();
        });
    json body{{"running", json::array()}, {"ended", json::array()}};
    const instant now = node::boottime_now();
    for (const run& each : target.m_running)
    {
        const std::int64_t percent =
            each.m_spec.m_persistent && each.m_ends_at ? 100
            : each.m_ends_at
                ? 100 - 100 * (*each.m_ends_at - now).count() /
                            std::max<std::int64_t>(1, each.m_duration.count())
                : 0;
        body["running"].push_back(
            {each.m_task, each.m_run,
             saved_progress(each, now, checkpoint_interval),
             each.m_spec.m_persistent ? percent
                                      : std::min<std::int64_t>(99, percent)});
    }
    for (const ended_run& each : target.m_ended)
    {
        body["ended"].push_back({each.m_number, each.m_task, each.m_run,
                                 each.m_reason, each.m_saved});
    }
    return body;
}

void simulated_minions::start_minion(const std::string& id, int rack,
                                     const std::string& address)
{
    minion& started = m_minions[id];
    m_last_born = std::max(m_last_born + 1, unix_milliseconds());
    started.m_born = m_last_born;
    started.m_started_at = node::boottime_now();
    m_slow_clocks = !m_slow_clocks;
    started.m_slow_clock = m_slow_clocks;
    started.m_keeps_id = false;
    started.m_rack = rack;
    started.m_restarts_at.reset();
    started.m_leaves_at.reset();
    started.m_relay = std::make_unique<counting_relay>();
    try
    {
        started.m_address =
            started.m_relay->add(m_listener->address(), id, address);
    }
    catch (const std::runtime_error&)
    {
        // Another socket has got the port in the meantime.
        started.m_address =
            started.m_relay->add(m_listener->address(), id, any_address);
    }
    m_silent_entries.erase(id);
}

void simulated_minions::end_process(minion& target)
{
    for (const run& each : target.m_running)
    {
        if (each.m_spec.m_gang_size > 1)
        {
            m_broken_gangs.insert(gang_of(each));
        }
    }
    for (const ended_run& each : target.m_ended)
    {
        if (each.m_reason == "done")
        {
            m_lost_ends.insert(each.m_task);
        }
    }
    minion gone;
    gone.m_rack = target.m_rack;
    gone.m_address = target.m_address;
    const std::shared_ptr<std::condition_variable> changed = target.m_changed;
    target = std::move(gone);
    changed->notify_all();
}

void simulated_minions::crash(const std::string& id, minion& target)
{
    const instant now = node::boottime_now();
    for (const run& each : target.m_running)
    {
        m_crash_record.note_crash(each.m_task);
    }
    end_process(target);
    std::uniform_int_distribution<std::int64_t> down_time(
        min_down_time.count(), max_down_time.count());
    target.m_restarts_at = now + span(down_time(m_random));
    m_silent_entries[id] = now + m_options.m_heartbeat * missed_heartbeats;
    ++m_crashes;
}

void simulated_minions::crash_minions_that_are_due()
{
    const instant now = node::boottime_now();
    for (auto& [id, target] : m_minions)
    {
        const bool due = std::any_of(
            target.m_running.begin(), target.m_running.end(),
            [now](const run& each)
            { return each.m_crashes_at && *each.m_crashes_at <= now; });
        if (due)
        {
            crash(id, target);
        }
    }
}

void simulated_minions::remove_drained_minions()
{
    const instant now = node::boottime_now();
    for (auto& [id, target] : m_minions)
    {
        if (target.m_leaves_at && *target.m_leaves_at <= now)
        {
            end_process(target);
            m_silent_entries[id] = now;
        }
    }
}

void simulated_minions::restart_minions()
{
    const instant now = node::boottime_now();
    std::vector<std::string> due;
    for (const auto& [id, each] : m_minions)
    {
        if (each.m_restarts_at && *each.m_restarts_at <= now)
        {
            due.push_back(id);
        }
    }
    for (const std::string& id : due)
    {
        minion& target = m_minions.at(id);
        const int rack = target.m_rack;
        switch (m_random() % (target.m_keeps_id ? 2 : 3))
        {
        case 0:
            start_minion(id, rack, target.m_address);
            break;
        case 1:
            start_minion(id, rack, any_address);
            break;
        default:
            target.m_restarts_at.reset();
            start_minion("i-" + std::to_string(m_minions.size()), rack,
                         target.m_address);
            break;
        }
    }
}

void simulated_minions::end_run(minion& target, std::size_t index,
                                const std::string& reason)
{
    m_run_events.push_back({target.m_running[index].m_task,
                            target.m_running[index].m_run, node::boottime_now(),
                            outcome_of(reason)});
    const run ended = target.m_running[index];
    target.m_running.erase(target.m_running.begin() +
                           static_cast<std::ptrdiff_t>(index));
    const std::string saved =
        reason == "done"
            ? ""
            : saved_progress(ended, node::boottime_now(),
                             reason == "stopped" ? span(1)
                                                 : checkpoint_interval);
    target.m_ended.push_back(
        {++target.m_last_number, ended.m_task, ended.m_run, reason, saved});
    int& highest = target.m_highest_ended_run[ended.m_task];
    highest = std::max(highest, ended.m_run);
    if (reason == "done" && ++m_completed[ended.m_task] > 1)
    {
        m_violations.push_back("completed twice: " + ended.m_task);
    }
    if (reason != "done" && ended.m_spec.m_gang_size > 1)
    {
        m_broken_gangs.insert(gang_of(ended));
    }
    target.m_changed->notify_all();
}

simulated_minions::gang simulated_minions::gang_of(const run& member)
{
    return {member.m_task.substr(0, member.m_task.rfind('.')), member.m_run};
}

void simulated_minions::start_complete_gangs()
{
    std::map<gang, std::vector<run*>> waiting;
    for (auto& [id, target] : m_minions)
    {
        for (run& each : target.m_running)
        {
            if (!each.m_ends_at)
            {
                waiting[gang_of(each)].push_back(&each);
            }
        }
    }
    const instant now = node::boottime_now();
    for (const auto& [name, members] : waiting)
    {
        if (static_cast<int>(members.size()) <
            members.front()->m_spec.m_gang_size)
        {
            continue;
        }
        for (run* each : members)
        {
            each->m_ends_at = now + each->m_duration;
        }
    }
}

void simulated_minions::end_broken_gangs()
{
    if (m_broken_gangs.empty())
    {
        return;
    }
    const std::set<gang> broken = std::move(m_broken_gangs);
    m_broken_gangs.clear();
    for (auto& [id, target] : m_minions)
    {
        for (std::size_t index = 0; index < target.m_running.size();)
        {
            const run& each = target.m_running[index];
            if (each.m_spec.m_gang_size > 1 && broken.contains(gang_of(each)))
            {
                end_run(target, index, "broken");
            }
            else
            {
                ++index;
            }
        }
    }
    // end_run() has inserted the same gangs again, of which no member is left.
    m_broken_gangs.clear();
}

std::optional<std::string> simulated_minions::end_reason(const minion& where,
                                                         const run& each,
                                                         instant now) const
{
    if (each.m_ends_at && *each.m_ends_at <= now)
    {
        return "done";
    }
    if (where.m_lease_end <= where.clock(now))
    {
        return "lapsed";
    }
    if (!each.m_ends_at && now - each.m_started_at >= m_options.m_gang_timeout)
    {
        return "alone";
    }
    return std::nullopt;
}

void simulated_minions::advance()
{
    restart_minions();
    crash_minions_that_are_due();
    remove_drained_minions();
    end_broken_gangs();
    start_complete_gangs();
    const instant now = node::boottime_now();
    for (auto& [id, target] : m_minions)
    {
        for (std::size_t index = 0; index < target.m_running.size();)
        {
            if (const auto reason =
                    end_reason(target, target.m_running[index], now))
            {
                end_run(target, index, *reason);
            }
            else
            {
                ++index;
            }
        }
    }
    apply_late_starts();
}

void simulated_minions::apply_late_starts()
{
    const instant now = node::boottime_now();
    const auto due = std::stable_partition(
        m_late_starts.begin(), m_late_starts.end(),
        [now](const late_start& each) { return each.m_due > now; });
    const std::vector<late_start> taken(due, m_late_starts.end());
    m_late_starts.erase(due, m_late_starts.end());
    for (const late_start& each : taken)
    {
        minion& target = m_minions.at(each.m_minion);
        const json order = json::parse(each.m_order);
        const std::int64_t token = order.at("fencingToken");
        if (target.m_relay && token >= target.m_fence)
        {
            target.m_fence = token;
            int status = status_ok;
            start(target, order, status);
        }
    }
}

void simulated_minions::publish()
{
    const instant now = node::boottime_now();
    node::store_transaction transaction;
    for (const auto& [id, target] : m_minions)
    {
        if (target.m_relay)
        {
            transaction.m_writes.push_back(
                {"servers/" + id, entry_of(target).dump(), 0});
        }
    }
    for (const auto& [id, expires_at] : m_silent_entries)
    {
        if (expires_at <= now)
        {
            transaction.m_removals.push_back("servers/" + id);
        }
    }
    if (node::is_ok(m_store.commit(transaction, span(100))))
    {
        std::erase_if(m_silent_entries,
                      [now](const auto& each) { return each.second <= now; });
    }
}

json simulated_minions::entry_of(const minion& target) const
{
    const instant now = node::boottime_now();
    json entry{{"backend", "pool"},
               {"address", target.m_address},
               {"zone", "zone"},
               {"state", target.m_leaves_at ? "draining" : "ready"},
               {"capacity",
                {{"cpu", m_options.m_cpu},
                 {"memMb", m_options.m_memory_mb},
                 {"gpu", m_options.m_gpus}}},
               {"labels", {"a", "r-" + std::to_string(target.m_rack)}},
               {"clockMs", target.clock(now).count()},
               {"born", target.m_born}};
    if (target.m_leaves_at)
    {
        entry["drainRemainingMs"] =
            std::max(span(0), *target.m_leaves_at - now).count();
    }
    return entry;
}

void simulated_minions::run_update_loop()
{
    instant published = node::boottime_now();
    std::unique_lock lock(m_mutex);
    while (!m_stopping)
    {
        advance();
        if (node::boottime_now() - published >= m_options.m_heartbeat)
        {
            published = node::boottime_now();
            publish();
        }
        m_changed.wait_for(lock, update_interval);
    }
}

} // namespace kingcuprudder::stand_ins

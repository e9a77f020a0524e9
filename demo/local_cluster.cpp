#include <kingcuprudder/codec/codec.hpp>
#include <kingcuprudder/region/region_keys.hpp>
#include <kingcuprudder/region/region_owner.hpp>
#include <kingcuprudder/store/http_key_value_store.hpp>

#include <demo/free_port.hpp>
#include <demo/http_json.hpp>
#include <demo/local_cluster.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace kingcuprudder::demo
{

namespace
{

constexpr std::chrono::milliseconds poll_interval(20);
constexpr span probe_timeout = span::seconds(1);
constexpr int http_ok = 200;

std::string rack_name(const std::string& zone, unsigned rack)
{
    return zone + "-rack-" + std::to_string(rack);
}

bool answers(const std::string& address, const std::string& path)
{
    return http_get(address, path, probe_timeout).m_status != 0;
}

} // namespace

bool wait_until(const std::function<bool()>& condition, span timeout)
{
    using clock = std::chrono::steady_clock;
    const auto deadline =
        clock::now() + std::chrono::milliseconds(timeout.count());
    while (!condition())
    {
        if (clock::now() >= deadline)
        {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

local_cluster::local_cluster(local_cluster_options options)
    : m_options(std::move(options))
{
    // Processes append to their logs; remove those of an earlier run.
    std::filesystem::remove_all(m_options.m_work_folder);
    std::filesystem::create_directories(m_options.m_work_folder);
}

void local_cluster::start(span timeout)
{
    start_platform();
    replace_settings_tree(m_options.m_settings_tree);
    start_workers();
    start_minions();
    wait_for_stand_ins();
    register_instances();
    for (unsigned i = 0; i < m_options.m_schedulers; ++i)
    {
        add_scheduler();
    }
    for (unsigned i = 0; i < m_options.m_entries; ++i)
    {
        add_entry();
    }
    const auto ready = [this]
    {
        for (const member_process& entry : m_entries)
        {
            if (http_get(entry.m_health_address, "/health", probe_timeout)
                    .m_status != http_ok)
            {
                return false;
            }
        }
        return owner_index() < m_schedulers.size();
    };
    if (!wait_until(ready, timeout))
    {
        throw std::runtime_error("the processes were not ready in time; see " +
                                 m_options.m_work_folder);
    }
}

void local_cluster::wait_for_stand_ins() const
{
    for (const auto* group : {&m_workers, &m_minions})
    {
        for (const member_process& each : *group)
        {
            const bool started = wait_until(
                [&] { return answers(each.m_http_address, "/admin/history"); },
                span::seconds(10));
            if (!started)
            {
                throw std::runtime_error(each.m_name + " did not start; see " +
                                         log_file(each.m_name));
            }
        }
    }
}

std::size_t local_cluster::owner_index() const
{
    http_key_value_store store(m_store_address);
    const store_answer answer =
        store.call({1, store_get{owner_key(region_id(m_options.m_region))}});
    const auto* value = std::get_if<store_value>(&answer.m_outcome);
    if (value == nullptr || value->m_revision == 0)
    {
        return m_schedulers.size();
    }
    const result<owner_record> owner = from_cbor<owner_record>(value->m_value);
    for (std::size_t i = 0; succeeded(owner) && i < m_schedulers.size(); ++i)
    {
        if (m_schedulers[i].m_name == value_of(owner).m_instance.str())
        {
            return i;
        }
    }
    return m_schedulers.size();
}

void local_cluster::add_scheduler()
{
    const unsigned number = m_started_schedulers++;
    m_schedulers.push_back(start_daemon("kcr_scheduler",
                                        "scheduler-" + std::to_string(number),
                                        zone_of(number)));
}

void local_cluster::add_entry()
{
    const unsigned number = m_started_entries++;
    m_entries.push_back(start_daemon(
        "kcr_entry", "entry-" + std::to_string(number), zone_of(number)));
}

void local_cluster::set_store_faults(const nlohmann::json& faults) const
{
    const http_answer answer =
        http_post(m_store_address, "/admin/faults", faults);
    if (answer.m_status != http_ok)
    {
        throw std::runtime_error("the store stand-in refused: " +
                                 answer.m_body);
    }
}

nlohmann::json local_cluster::worker_history() const
{
    nlohmann::json histories = nlohmann::json::object();
    for (const member_process& worker : m_workers)
    {
        histories[worker.m_name] =
            json_of(http_get(worker.m_http_address, "/admin/history"));
    }
    return histories;
}

nlohmann::json local_cluster::minion_history() const
{
    nlohmann::json histories = nlohmann::json::object();
    for (const member_process& minion : m_minions)
    {
        histories[minion.m_name] =
            json_of(http_get(minion.m_http_address, "/admin/history"));
    }
    return histories;
}

std::string local_cluster::program(const std::string& name) const
{
    return m_options.m_binary_folder + "/" + name;
}

std::string local_cluster::log_file(const std::string& name) const
{
    return m_options.m_work_folder + "/" + name + ".log";
}

std::string
local_cluster::write_process_settings(const nlohmann::json& settings) const
{
    const std::string path = m_options.m_work_folder + "/" +
                             settings.at("instance").get<std::string>() +
                             ".json";
    std::ofstream file(path);
    file << settings.dump(4) << "\n";
    return path;
}

member_process local_cluster::start_daemon(const std::string& program_name,
                                           const std::string& instance,
                                           const std::string& zone) const
{
    const std::string http_address = free_loopback_address();
    const std::string health_address = free_loopback_address();
    const nlohmann::json settings = {
        {"instance", instance},
        {"region", m_options.m_region},
        {"zone", zone},
        {"stream_address", free_loopback_address()},
        {"http_address", http_address},
        {"health_address", health_address},
        {"store_address", m_store_address},
        {"instance_list_address", m_list_address},
        {"log", {{"level", "info"}, {"layout", "text"}}}};
    const std::string path = write_process_settings(settings);
    return {instance,
            child_process(program(program_name), {"--settings", path},
                          log_file(instance)),
            http_address, health_address};
}

void local_cluster::start_platform()
{
    m_store_address = free_loopback_address();
    m_list_address = free_loopback_address();
    m_store.push_back(
        {"fake_store",
         child_process(program("fake_store"), {"--listen", m_store_address},
                       log_file("fake_store")),
         m_store_address, ""});
    m_list.push_back({"fake_instance_list",
                      child_process(program("fake_instance_list"),
                                    {"--listen", m_list_address},
                                    log_file("fake_instance_list")),
                      m_list_address, ""});
    const bool started = wait_until(
        [this]
        {
            return answers(m_store_address, "/admin/counters") &&
                   answers(m_list_address, "/v1/instances");
        },
        span::seconds(10));
    if (!started)
    {
        throw std::runtime_error("the platform's stand-ins did not start");
    }
}

const std::string& local_cluster::zone_of(std::size_t index) const
{
    return m_options.m_zones[index % m_options.m_zones.size()];
}

void local_cluster::start_workers()
{
    for (unsigned i = 0; i < m_options.m_workers; ++i)
    {
        const std::string name = "worker-" + std::to_string(i);
        const unsigned rack = i / m_options.m_workers_per_rack;
        const std::string& zone = zone_of(rack);
        const std::string address = free_loopback_address();
        m_workers.push_back(
            {name,
             child_process(program("fake_worker"),
                           {"--listen", address, "--id", name, "--zone", zone,
                            "--rack", rack_name(zone, rack), "--accelerators",
                            std::to_string(m_options.m_accelerators), "--cores",
                            std::to_string(m_options.m_cores), "--memory-mb",
                            std::to_string(m_options.m_memory_mb)},
                           log_file(name)),
             address, ""});
    }
}

void local_cluster::start_minions()
{
    for (unsigned i = 0; i < m_options.m_minions; ++i)
    {
        const std::string name = "minion-" + std::to_string(i);
        const std::string address = free_loopback_address();
        m_minions.push_back(
            {name,
             child_process(program("fake_minion"), {"--listen", address},
                           log_file(name)),
             address, ""});
    }
}

void local_cluster::replace_settings_tree(const std::string& tree) const
{
    http_key_value_store store(m_store_address);
    const std::string key = "live/settings";
    const store_answer read = store.call({1, store_get{key}});
    const auto* current = std::get_if<store_value>(&read.m_outcome);
    const store_revision revision =
        current == nullptr ? 0 : current->m_revision;
    const store_answer written =
        store.call({2, store_put{key, tree, revision, ""}});
    if (!std::holds_alternative<store_written>(written.m_outcome))
    {
        throw std::runtime_error("the settings tree could not be written");
    }
}

void local_cluster::register_instances() const
{
    nlohmann::json instances = nlohmann::json::array();
    for (std::size_t i = 0; i < m_workers.size(); ++i)
    {
        const auto rack =
            static_cast<unsigned>(i) / m_options.m_workers_per_rack;
        const std::string& zone = zone_of(rack);
        instances.push_back({{"id", m_workers[i].m_name},
                             {"service", "workers"},
                             {"address", m_workers[i].m_http_address},
                             {"zone", zone},
                             {"state", "live"},
                             {"start_id", "1"},
                             {"rack", rack_name(zone, rack)},
                             {"accelerators", m_options.m_accelerators},
                             {"cores", m_options.m_cores},
                             {"memory_mb", m_options.m_memory_mb}});
    }
    for (std::size_t i = 0; i < m_minions.size(); ++i)
    {
        instances.push_back({{"id", m_minions[i].m_name},
                             {"service", m_options.m_service},
                             {"address", m_minions[i].m_http_address},
                             {"zone", zone_of(i)},
                             {"state", "live"},
                             {"start_id", "1"}});
    }
    const http_answer answer =
        http_post(m_list_address, "/admin/instances", instances);
    if (answer.m_status != http_ok)
    {
        throw std::runtime_error("the instance list refused: " + answer.m_body);
    }
}

} // namespace kingcuprudder::demo

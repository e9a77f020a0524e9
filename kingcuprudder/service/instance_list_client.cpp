#include <kingcuprudder/runtime/http_connection_pool.hpp>
#include <kingcuprudder/service/instance_list_client.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <httplib.h>
#include <mutex>
#include <thread>

namespace kingcuprudder
{

namespace
{

using json = nlohmann::json;

constexpr std::chrono::seconds poll_interval(1);
// Draining targets must be detected within 3 s: one poll interval plus one poll
// that times out.
constexpr span poll_timeout(1000);
constexpr int status_ok = 200;
constexpr const char* worker_service = "workers";
constexpr const char* live_state_name = "live";

worker parse_worker(const json& from)
{
    worker parsed;
    parsed.m_id = worker_id(from.at("id").get<std::string>());
    parsed.m_zone = zone_id(from.at("zone").get<std::string>());
    parsed.m_rack = rack_id(from.at("rack").get<std::string>());
    parsed.m_accelerators = from.at("accelerators").get<std::uint32_t>();
    parsed.m_cores = from.at("cores").get<std::uint32_t>();
    parsed.m_memory_mb = from.at("memory_mb").get<std::uint32_t>();
    parsed.m_address = from.at("address").get<std::string>();
    return parsed;
}

std::vector<worker> parse_workers(const json& list)
{
    std::vector<worker> workers;
    for (const json& each : list.at("instances"))
    {
        if (each.at("service") == worker_service &&
            each.at("state") == live_state_name)
        {
            workers.push_back(parse_worker(each));
        }
    }
    return workers;
}

} // namespace

class instance_list_client::implementation
{
public:
    implementation(const std::string& address, workers_hook on_workers)
        : m_connections(address, poll_timeout),
          m_on_workers(std::move(on_workers)), m_thread([this] { run(); })
    {
    }

    ~implementation()
    {
        {
            std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_stopped.notify_all();
        m_connections.stop();
        m_thread.join();
    }

private:
    void run()
    {
        std::unique_lock lock(m_mutex);
        while (!m_stopping)
        {
            lock.unlock();
            poll();
            lock.lock();
            m_stopped.wait_for(lock, poll_interval,
                               [this] { return m_stopping; });
        }
    }

    void poll()
    {
        const std::string path =
            "/v1/instances?after=" + std::to_string(m_revision);
        const auto answer =
            m_connections.run(poll_timeout, [&](httplib::Client& client)
                              { return client.Get(path); });
        if (!answer || answer->m_status != status_ok)
        {
            return;
        }
        try
        {
            const json list = json::parse(answer->m_body);
            std::vector<worker> workers = parse_workers(list);
            m_revision = list.at("revision").get<std::uint64_t>();
            m_on_workers(std::move(workers));
        }
        catch (const json::exception&)
        {
            // A malformed list is treated as a failed poll.
            return;
        }
    }

    http_connection_pool m_connections;
    workers_hook m_on_workers;
    std::uint64_t m_revision = 0;
    std::mutex m_mutex;
    std::condition_variable m_stopped;
    bool m_stopping = false;
    std::thread m_thread;
};

instance_list_client::instance_list_client(const std::string& address,
                                           workers_hook on_workers)
    : m_implementation(
          std::make_unique<implementation>(address, std::move(on_workers)))
{
}

instance_list_client::~instance_list_client() = default;

} // namespace kingcuprudder

#include <kingcuprudder/codec/codec.hpp>
#include <kingcuprudder/codec/json_codec.hpp>
#include <kingcuprudder/runtime/http_listener.hpp>
#include <kingcuprudder/runtime/timer_service.hpp>

#include <stand_ins/fake_worker.hpp>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <httplib.h>
#include <mutex>
#include <random>
#include <thread>

namespace kingcuprudder::stand_ins
{

namespace
{

using json = nlohmann::json;
using request = httplib::Request;
using response = httplib::Response;

constexpr int status_ok = 200;
constexpr int status_malformed = 400;
constexpr int status_stale_epoch = 409;
constexpr int status_refused = 422;
constexpr std::chrono::seconds heartbeat_timeout(2);
constexpr span initial_retry_delay(200);
constexpr span max_retry_delay = span::seconds(5);
constexpr instant never(INT64_MAX);

void answer(response& to, int status, const json& body)
{
    to.status = status;
    to.set_content(body.dump(), "application/json");
}

void answer(response& to, const worker_tasks::outcome& outcome)
{
    if (const auto* refused = std::get_if<worker_refused>(&outcome))
    {
        answer(to, status_refused, {{"message", refused->m_reason}});
        return;
    }
    answer(to, status_ok, json::object());
}

std::string new_boot_id()
{
    std::random_device source;
    return std::to_string(source()) + "-" + std::to_string(source());
}

} // namespace

class fake_worker::implementation
{
public:
    explicit implementation(const fake_worker_options& options)
        : m_worker(options.m_worker), m_relay(options.m_heartbeat_relay),
          m_usage_lag(options.m_usage_lag), m_boot(new_boot_id()),
          m_tasks(options.m_worker.m_accelerators),
          m_listener(options.m_worker.m_address, options.m_threads,
                     [this](httplib::Server& server) { install(server); })
    {
        m_worker.m_address = m_listener.address();
        m_thread = std::thread([this] { run(); });
    }

    ~implementation()
    {
        {
            std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_changed.notify_all();
        m_thread.join();
        m_listener.stop();
    }

    const worker& description() const { return m_worker; }

    void set_faults(const worker_faults& faults)
    {
        {
            std::lock_guard lock(m_mutex);
            m_faults = faults;
            m_tasks.set_fail_every_task(faults.m_fail_every_task);
        }
        m_changed.notify_all();
    }

    std::vector<task_event> history() const
    {
        std::lock_guard lock(m_mutex);
        return m_tasks.history();
    }

    std::size_t heartbeats_sent() const
    {
        std::lock_guard lock(m_mutex);
        return m_heartbeats;
    }

private:
    using command = void (implementation::*)(const json&, response&);

    void install(httplib::Server& server)
    {
        add(server, "/v1/claim", &implementation::claim);
        add(server, "/v1/prepare", &implementation::prepare);
        add(server, "/v1/start", &implementation::start);
        add(server, "/v1/stop", &implementation::stop);
        add(server, "/v1/checkpoint", &implementation::checkpoint);
        add(server, "/v1/throttle", &implementation::throttle);
        server.Get("/v1/usage",
                   [this](const request&, response& to) { report_usage(to); });
        server.Post("/admin/faults", [this](const request& from, response& to)
                    { apply_faults(from, to); });
        server.Get("/admin/history", [this](const request&, response& to)
                   { report_history(to); });
    }

    void add(httplib::Server& server, const char* path, command carry_out)
    {
        server.Post(
            path,
            [this, carry_out](const request& from, response& to)
            {
                try
                {
                    execute(json::parse(from.body), carry_out, to);
                }
                catch (const std::exception& problem)
                {
                    answer(to, status_malformed, {{"message", problem.what()}});
                }
            });
    }

    // Checks the epoch and executes one command.
    void execute(const json& body, command carry_out, response& to)
    {
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait(lock,
                           [this] { return m_stopping || !is_unresponsive(); });
            const auto epoch = body.at("epoch").get<epoch_number>();
            if (epoch < m_epoch)
            {
                answer(to, status_stale_epoch, {{"epoch", m_epoch}});
                return;
            }
            m_epoch = epoch;
            (this->*carry_out)(body, to);
        }
        m_changed.notify_all();
    }

    bool is_unresponsive() const
    {
        return m_faults.m_freeze || m_faults.m_partition;
    }

    void claim(const json& body, response& to)
    {
        m_tasks.advance(system_now());
        const auto claim = decode<worker_claim>(body);
        m_heartbeat_url = body.at("heartbeat_url").get<std::string>();
        m_interval = claim.m_heartbeat_interval;
        m_task_lease = claim.m_task_lease;
        m_tasks.set_lease_end(system_now() + m_task_lease);
        m_next_heartbeat = system_now() + first_heartbeat_delay();
        worker_report report{m_worker.m_id, m_boot, m_epoch, m_tasks.all()};
        m_tasks.acknowledge(report.m_tasks);
        answer(to, status_ok, encode(report));
    }

    // Spreads the first heartbeats of workers that are claimed together.
    span first_heartbeat_delay()
    {
        std::uniform_int_distribution<std::int64_t> delay(
            m_interval.count() / 2, m_interval.count());
        return span(delay(m_random));
    }

    void prepare(const json& body, response& to)
    {
        answer(to, m_tasks.prepare(decode<worker_prepare>(body), system_now()));
    }

    void start(const json& body, response& to)
    {
        answer(to, m_tasks.start(decode<attempt_key>(body.at("attempt")),
                                 system_now()));
    }

    void stop(const json& body, response& to)
    {
        answer(to, m_tasks.stop(decode<worker_stop>(body), system_now()));
    }

    void checkpoint(const json& body, response& to)
    {
        answer(to, m_tasks.checkpoint(decode<attempt_key>(body.at("attempt")),
                                      system_now()));
    }

    void throttle(const json& body, response& to)
    {
        answer(to, m_tasks.throttle(decode<attempt_key>(body.at("attempt")),
                                    body.at("percent").get<std::uint32_t>(),
                                    system_now()));
    }

    void report_usage(response& to)
    {
        std::lock_guard lock(m_mutex);
        const instant as_of = system_now() - m_usage_lag;
        answer(to, status_ok,
               {{"worker", m_worker.m_id.str()},
                {"as_of", as_of.count()},
                {"accelerator_ms", m_tasks.used_until(as_of)}});
    }

    void apply_faults(const request& from, response& to)
    {
        const json body = json::parse(from.body);
        worker_faults faults;
        faults.m_fail_every_task = body.value("fail_every_task", false);
        faults.m_freeze = body.value("freeze", false);
        faults.m_partition = body.value("partition", false);
        set_faults(faults);
        answer(to, status_ok, json::object());
    }

    void report_history(response& to)
    {
        json events = json::array();
        for (const task_event& each : history())
        {
            events.push_back({{"attempt", encode(each.m_attempt)},
                              {"accelerators", each.m_accelerators},
                              {"event", each.m_is_start ? "start" : "end"},
                              {"state", encode(each.m_state)},
                              {"at", each.m_at.count()}});
        }
        answer(to, status_ok, events);
    }

    // Advances the tasks and sends the heartbeats.
    void run()
    {
        std::unique_lock lock(m_mutex);
        while (!m_stopping)
        {
            if (m_faults.m_freeze)
            {
                m_changed.wait(lock);
                continue;
            }
            const instant now = system_now();
            m_tasks.advance(now);
            if (heartbeat_due() <= now)
            {
                send_heartbeat(lock);
                continue;
            }
            const instant next = std::min(m_tasks.next_due(), heartbeat_due());
            wait_until(lock, next, now);
        }
    }

    void wait_until(std::unique_lock<std::mutex>& lock, instant next,
                    instant now)
    {
        if (next == never)
        {
            m_changed.wait(lock);
            return;
        }
        const std::int64_t left =
            std::max<std::int64_t>(1, (next - now).count());
        m_changed.wait_for(lock, std::chrono::milliseconds(left));
    }

    instant heartbeat_due() const
    {
        if (m_heartbeat_url.empty() || m_faults.m_partition)
        {
            return never;
        }
        return m_tasks.has_unreported_end()
                   ? std::min(m_next_heartbeat, m_not_before)
                   : m_next_heartbeat;
    }

    void send_heartbeat(std::unique_lock<std::mutex>& lock)
    {
        const worker_report report{m_worker.m_id, m_boot, m_epoch,
                                   m_tasks.changed()};
        const std::string url = m_heartbeat_url;
        const instant sent_at = system_now();
        ++m_heartbeats;
        lock.unlock();
        const httplib::Result reply = post(url, to_json_text(report));
        lock.lock();
        // The freeze fault may have been set during the call.
        m_changed.wait(lock,
                       [this] { return m_stopping || !m_faults.m_freeze; });
        m_tasks.advance(system_now());
        if (!reply || reply->status != status_ok || report.m_epoch != m_epoch)
        {
            m_retry = std::min(m_retry * 2, max_retry_delay);
            m_not_before = system_now() + m_retry;
            m_next_heartbeat = std::max(m_next_heartbeat, m_not_before);
            return;
        }
        m_retry = initial_retry_delay;
        m_not_before = instant();
        m_tasks.acknowledge(report.m_tasks);
        m_next_heartbeat = sent_at + m_interval;
        const json body = json::parse(reply->body, nullptr, false);
        if (body.is_object() && body.value("renewed", false))
        {
            m_tasks.set_lease_end(sent_at + m_task_lease);
        }
    }

    // The URL has the form http://ip:port/path.
    httplib::Result post(const std::string& url, const std::string& body) const
    {
        const std::size_t path = url.find('/', std::string("http://").size());
        httplib::Client client(m_relay.empty() ? url.substr(0, path)
                                               : "http://" + m_relay);
        client.set_connection_timeout(heartbeat_timeout);
        client.set_read_timeout(heartbeat_timeout);
        client.set_tcp_nodelay(true);
        return client.Post(url.substr(path), body, "application/json");
    }

    worker m_worker;
    std::string m_relay;
    span m_usage_lag;
    std::string m_boot;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    worker_tasks m_tasks;
    worker_faults m_faults;
    epoch_number m_epoch = 0;
    std::string m_heartbeat_url;
    span m_interval;
    span m_task_lease;
    instant m_next_heartbeat;
    instant m_not_before;
    span m_retry = initial_retry_delay;
    std::size_t m_heartbeats = 0;
    std::minstd_rand m_random{std::random_device()()};
    bool m_stopping = false;
    http_listener m_listener;
    std::thread m_thread;
};

fake_worker::fake_worker(const fake_worker_options& options)
    : m_implementation(std::make_unique<implementation>(options))
{
}

fake_worker::~fake_worker() = default;

const worker& fake_worker::description() const
{
    return m_implementation->description();
}

void fake_worker::set_faults(const worker_faults& faults)
{
    m_implementation->set_faults(faults);
}

std::vector<task_event> fake_worker::history() const
{
    return m_implementation->history();
}

std::size_t fake_worker::heartbeats_sent() const
{
    return m_implementation->heartbeats_sent();
}

std::string instance_entry(const worker& description)
{
    json entry = encode(description);
    entry["service"] = "workers";
    entry["state"] = "live";
    entry["start_id"] = description.m_address;
    return entry.dump();
}

} // namespace kingcuprudder::stand_ins

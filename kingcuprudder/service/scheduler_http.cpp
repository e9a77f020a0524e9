#include <kingcuprudder/codec/codec.hpp>
#include <kingcuprudder/service/drain_route.hpp>
#include <kingcuprudder/service/scheduler_http.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <future>
#include <httplib.h>

namespace kingcuprudder
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t listener_threads = 16;
constexpr std::size_t health_threads = 2;
constexpr std::chrono::seconds loop_timeout(1);
constexpr const char* heartbeat_path = "/v1/heartbeat";

constexpr int status_ok = 200;
constexpr int status_malformed = 400;
constexpr int status_stale_epoch = 409;
constexpr int status_unavailable = 503;

void answer(httplib::Response& to, int status, const json& body)
{
    to.status = status;
    to.set_content(body.dump(), "application/json");
}

// Pushes an event and waits for the value it is answered with.
template <class Value, class Event>
std::optional<Value> ask(scheduler_loop& loop, Event event)
{
    auto promise = std::make_shared<std::promise<Value>>();
    std::future<Value> value = promise->get_future();
    event.m_respond = [promise](Value each)
    { promise->set_value(std::move(each)); };
    if (!loop.try_push(std::move(event)) ||
        value.wait_for(loop_timeout) != std::future_status::ready)
    {
        return std::nullopt;
    }
    return value.get();
}

void handle_heartbeat(scheduler_loop& loop, const httplib::Request& from,
                      httplib::Response& to)
{
    const auto report = from_json_text<worker_report>(from.body);
    if (!succeeded(report))
    {
        answer(to, status_malformed, {{"message", error_of(report).m_message}});
        return;
    }
    const auto outcome =
        ask<heartbeat_outcome>(loop, heartbeat_event{value_of(report), {}});
    if (!outcome)
    {
        answer(to, status_unavailable, {{"message", "overloaded"}});
        return;
    }
    if (!outcome->m_taken)
    {
        answer(to, status_stale_epoch, {{"epoch", outcome->m_epoch}});
        return;
    }
    answer(to, status_ok, {{"renewed", outcome->m_renewed}});
}

} // namespace

scheduler_http::scheduler_http(scheduler_loop& loop, scheduler_metrics& metrics,
                               const std::string& address,
                               const std::string& health_address)
    : m_loop(loop), m_metrics(metrics),
      m_listener(
          address, listener_threads,
          [this](httplib::Server& server) { install(server); },
          http_listener::connection_reuse::single_use),
      m_health_listener(
          health_address, health_threads,
          [this](httplib::Server& server) { install_health(server); },
          http_listener::connection_reuse::single_use)
{
}

std::string scheduler_http::heartbeat_url() const
{
    return "http://" + address() + heartbeat_path;
}

void scheduler_http::install(httplib::Server& server)
{
    server.Post(heartbeat_path,
                [this](const httplib::Request& from, httplib::Response& to)
                {
                    m_metrics.on_heartbeat();
                    handle_heartbeat(m_loop, from, to);
                });
    server.Get(
        "/metrics",
        [this](const httplib::Request&, httplib::Response& to)
        {
            using numbers = std::pair<region_statistics, std::uint64_t>;
            if (const auto now = ask<numbers>(m_loop, statistics_event{}))
            {
                m_metrics.set_statistics(now->first, now->second);
            }
            to.set_content(m_metrics.text(), metrics_registry::content_type());
        });
    server.Get("/dump", [this](const httplib::Request&, httplib::Response& to)
               { to.set_content(dump_state(m_loop), "text/plain"); });
}

void scheduler_http::install_health(httplib::Server& server)
{
    install_drain_route(server);
    server.Get("/health",
               [this](const httplib::Request&, httplib::Response& to)
               {
                   answer(
                       to, m_healthy ? status_ok : status_unavailable,
                       {{"owner", m_loop.owning()}, {"epoch", m_loop.epoch()}});
               });
}

std::string dump_state(scheduler_loop& loop)
{
    return ask<std::string>(loop, dump_event{}).value_or(std::string());
}

} // namespace kingcuprudder

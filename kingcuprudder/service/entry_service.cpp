#include <kingcuprudder/runtime/http_listener.hpp>
#include <kingcuprudder/runtime/timer_service.hpp>
#include <kingcuprudder/service/drain_route.hpp>
#include <kingcuprudder/service/entry_jobs.hpp>
#include <kingcuprudder/service/entry_membership.hpp>
#include <kingcuprudder/service/entry_metrics.hpp>
#include <kingcuprudder/service/entry_requests.hpp>
#include <kingcuprudder/service/entry_routes.hpp>
#include <kingcuprudder/service/entry_service.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <httplib.h>
#include <mutex>
#include <random>
#include <sstream>
#include <utility>

namespace kingcuprudder
{

namespace
{

constexpr std::size_t health_threads = 4;

/// Returns a prefix that is unique among all processes and all incarnations of
/// one instance.
std::string make_holder_prefix(const entry_options& options)
{
    std::random_device random;
    std::ostringstream text;
    text << options.m_instance.str() << '-' << std::hex << options.m_seed << '-'
         << random() << random() << '-';
    return text.str();
}

error connection_limit_error()
{
    return error{error_code::limit_reached,
                 "too many connections on this instance", verdict::not_run};
}

} // namespace

class entry_service::implementation
{
public:
    implementation(entry_options options, entry_owner_calls::transport send)
        : m_options(std::move(options)),
          m_router(m_options.m_max_requests_in_flight, m_options.m_seed),
          m_owner(std::move(send), m_options.m_seed),
          m_jobs(m_owner, m_options.m_max_waiting_callers),
          m_requests(m_router, m_router_mutex, m_minions, m_owner,
                     make_holder_prefix(m_options)),
          m_membership(m_router, m_router_mutex, m_minions,
                       m_options.m_instance_list),
          m_http(m_options.m_address, m_options.m_bounds,
                 respond(connection_limit_error()).m_body,
                 [this](httplib::Server& server)
                 { install_entry_routes(server, routes()); }),
          m_health(m_options.m_health_address, health_threads,
                   [this](httplib::Server& server)
                   { install_health_routes(server); })
    {
    }

    void on_settings(std::shared_ptr<const effective_settings> settings)
    {
        std::lock_guard lock(m_router_mutex);
        m_router.on_settings(settings);
        m_settings = std::move(settings);
    }

    void on_owner(std::optional<owner_record> owner)
    {
        m_owner.on_owner(std::move(owner));
    }

    const std::string& address() const { return m_http.address(); }
    const std::string& health_address() const { return m_health.address(); }

    void shut_down()
    {
        m_draining = true;
        m_jobs.begin_draining();
        m_http.begin_draining();
        std::this_thread::sleep_for(
            std::chrono::milliseconds(m_options.m_drain_time.count()));
        m_http.stop();
        m_requests.finish_reports();
        m_owner.stop();
    }

    std::string dump() const
    {
        std::ostringstream text;
        text << "draining: " << (m_draining ? "yes" : "no") << "\n"
             << "owner: " << m_owner.owner_address() << "\n"
             << "instance list reachable: "
             << (m_membership.list_reachable() ? "yes" : "no") << "\n"
             << "waiting callers: " << m_jobs.waiting_callers() << "\n"
             << "open reports: " << m_requests.open_reports() << "\n"
             << "refused connections: " << m_http.refused_connections() << "\n";
        std::lock_guard lock(m_router_mutex);
        text << "settings revision: "
             << (m_settings ? m_settings->m_revision : 0) << "\n"
             << "requests in flight: " << m_router.in_flight() << "\n";
        dump_targets(text);
        return text.str();
    }

private:
    entry_routes routes()
    {
        entry_routes routes;
        routes.m_jobs = &m_jobs;
        routes.m_request = [this](const std::string& body)
        { return run_request(body); };
        routes.m_settings = [this] { return settings(); };
        return routes;
    }

    std::shared_ptr<const effective_settings> settings() const
    {
        std::lock_guard lock(m_router_mutex);
        return m_settings;
    }

    entry_response run_request(const std::string& body)
    {
        const auto in_force = settings();
        if (!in_force)
        {
            return respond(error{error_code::store_unavailable,
                                 "the settings have not been loaded yet",
                                 verdict::not_run});
        }
        const result<request_submission> parsed = parse_request(body);
        if (!succeeded(parsed))
        {
            return respond(error_of(parsed));
        }
        const service_request request =
            make_request(value_of(parsed), *in_force);
        const result<request_answer> answer = m_requests.run(request);
        return succeeded(answer) ? respond(request.m_key, value_of(answer))
                                 : respond(error_of(answer));
    }

    entry_statistics statistics() const
    {
        entry_statistics numbers;
        numbers.m_waiting_callers = m_jobs.waiting_callers();
        numbers.m_open_reports = m_requests.open_reports();
        numbers.m_instance_list_reachable = m_membership.list_reachable();
        numbers.m_refused_connections = m_http.refused_connections();
        std::lock_guard lock(m_router_mutex);
        numbers.m_settings_revision = m_settings ? m_settings->m_revision : 0;
        numbers.m_requests_in_flight = m_router.in_flight();
        numbers.m_retries = m_router.retries();
        numbers.m_refused_retries = m_router.refused_retries();
        return numbers;
    }

    static service_request make_request(const request_submission& submission,
                                        const effective_settings& settings)
    {
        auto service = settings.m_services.find(submission.m_service);
        const span otherwise = service == settings.m_services.end()
                                   ? service_settings().m_default_deadline
                                   : service->second.m_default_deadline;
        service_request request;
        request.m_key = submission.m_key;
        request.m_service = submission.m_service;
        request.m_idempotent = submission.m_idempotent;
        request.m_deadline =
            system_now() + submission.m_timeout.value_or(otherwise);
        request.m_content_hash = content_hash(submission);
        request.m_body = submission.m_body;
        return request;
    }

    void install_health_routes(httplib::Server& server)
    {
        install_drain_route(server);
        server.Get("/metrics",
                   [this](const httplib::Request&, httplib::Response& response)
                   {
                       response.set_content(m_metrics.text(statistics()),
                                            metrics_registry::content_type());
                   });
        server.Get("/health",
                   [this](const httplib::Request&, httplib::Response& response)
                   { answer_health(response); });
        server.Get("/dump",
                   [this](const httplib::Request&, httplib::Response& response)
                   { response.set_content(dump(), "text/plain"); });
    }

    void answer_health(httplib::Response& response) const
    {
        const char* state = m_draining    ? "draining"
                            : !settings() ? "starting"
                                          : "serving";
        const bool serving = !m_draining && settings();
        response.status = serving ? 200 : 503;
        response.set_content(std::string("{\"state\":\"") + state + "\"}",
                             "application/json");
    }

    void dump_targets(std::ostream& text) const
    {
        for (const auto& [service, targets] : m_router.targets().all())
        {
            for (const target_table::target& each : targets)
            {
                text << "target " << service.str() << "/"
                     << each.m_ref.m_instance.str() << " at "
                     << each.m_ref.m_address << ": " << to_string(each.m_state)
                     << ", " << each.m_in_flight << " in flight, "
                     << each.m_failures << " failures in a row\n";
            }
        }
    }

    entry_options m_options;
    mutable std::mutex m_router_mutex;
    std::shared_ptr<const effective_settings> m_settings;
    request_router m_router;
    entry_minion_calls m_minions;
    entry_owner_calls m_owner;
    entry_jobs m_jobs;
    entry_requests m_requests;
    entry_membership m_membership;
    std::atomic<bool> m_draining = false;
    entry_metrics m_metrics;
    entry_http_server m_http;
    http_listener m_health;
};

entry_service::entry_service(entry_options options,
                             entry_owner_calls::transport send)
    : m_implementation(
          std::make_unique<implementation>(std::move(options), std::move(send)))
{
}

entry_service::~entry_service() = default;

void entry_service::on_settings(
    std::shared_ptr<const effective_settings> settings)
{
    m_implementation->on_settings(std::move(settings));
}

void entry_service::on_owner(std::optional<owner_record> owner)
{
    m_implementation->on_owner(std::move(owner));
}

const std::string& entry_service::address() const
{
    return m_implementation->address();
}

const std::string& entry_service::health_address() const
{
    return m_implementation->health_address();
}

void entry_service::shut_down()
{
    m_implementation->shut_down();
}

std::string entry_service::dump() const
{
    return m_implementation->dump();
}

} // namespace kingcuprudder

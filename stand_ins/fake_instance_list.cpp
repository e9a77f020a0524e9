#include <kingcuprudder/runtime/http_listener.hpp>
#include <kingcuprudder/runtime/steady_time.hpp>

#include <nlohmann/json.hpp>
#include <stand_ins/fake_instance_list.hpp>

#include <deque>
#include <httplib.h>
#include <map>
#include <mutex>

namespace kingcuprudder::stand_ins
{

namespace
{

using json = nlohmann::json;
using request = httplib::Request;
using response = httplib::Response;

constexpr std::size_t server_threads = 64;
constexpr int status_ok = 200;
constexpr int status_unchanged = 304;
constexpr int status_malformed = 400;
constexpr int status_unavailable = 503;

void answer(response& to, int status, const json& body)
{
    to.status = status;
    to.set_content(body.dump(), "application/json");
}

} // namespace

class fake_instance_list::implementation
{
public:
    implementation(const std::string& address, span lag)
        : m_lag(lag),
          m_listener(address, server_threads,
                     [this](httplib::Server& server) { install(server); })
    {
    }

    const std::string& address() const { return m_listener.address(); }

    void add(const json& instances)
    {
        std::lock_guard lock(m_mutex);
        for (const json& each :
             instances.is_array() ? instances : json::array({instances}))
        {
            m_instances[each.at("id").get<std::string>()] = each;
        }
        schedule();
    }

    void set_state(const std::string& id, const std::string& state)
    {
        std::lock_guard lock(m_mutex);
        if (state == "gone")
        {
            m_instances.erase(id);
        }
        else
        {
            m_instances.at(id)["state"] = state;
        }
        schedule();
    }

    void set_outage(bool outage)
    {
        std::lock_guard lock(m_mutex);
        m_outage = outage;
    }

private:
    /// The content of the list from an instant on.
    struct version
    {
        std::int64_t m_due = 0; // In terms of steady_milliseconds().
        json m_instances;
    };

    void install(httplib::Server& server)
    {
        server.Get("/v1/instances", [this](const request& from, response& to)
                   { list(from, to); });
        server.Post("/admin/instances",
                    [this](const request& from, response& to)
                    { change(to, [&] { add(json::parse(from.body)); }); });
        server.Post("/admin/state",
                    [this](const request& from, response& to)
                    {
                        change(to,
                               [&]
                               {
                                   const json body = json::parse(from.body);
                                   set_state(
                                       body.at("id").get<std::string>(),
                                       body.at("state").get<std::string>());
                               });
                    });
        server.Post(
            "/admin/faults", [this](const request& from, response& to)
            { change(to, [&] { take_faults(json::parse(from.body)); }); });
    }

    template <class Change>
    static void change(response& to, Change run)
    {
        try
        {
            run();
            answer(to, status_ok, json::object());
        }
        catch (const std::exception& problem)
        {
            answer(to, status_malformed, {{"message", problem.what()}});
        }
    }

    void take_faults(const json& body)
    {
        std::lock_guard lock(m_mutex);
        m_outage = body.value("outage", false);
        m_lag = span(body.value("lag_ms", m_lag.count()));
    }

    void schedule()
    {
        json instances = json::array();
        for (const auto& [id, each] : m_instances)
        {
            instances.push_back(each);
        }
        m_versions.push_back(
            {steady_milliseconds() + m_lag.count(), std::move(instances)});
    }

    void list(const request& from, response& to)
    {
        std::lock_guard lock(m_mutex);
        if (m_outage)
        {
            answer(to, status_unavailable, {{"message", "outage"}});
            return;
        }
        while (!m_versions.empty() &&
               m_versions.front().m_due <= steady_milliseconds())
        {
            m_shown = std::move(m_versions.front().m_instances);
            m_versions.pop_front();
            ++m_revision;
        }
        const std::uint64_t after =
            from.has_param("after") ? std::stoull(from.get_param_value("after"))
                                    : 0;
        if (after == m_revision)
        {
            to.status = status_unchanged;
            return;
        }
        answer(to, status_ok,
               {{"revision", m_revision}, {"instances", m_shown}});
    }

    std::mutex m_mutex;
    span m_lag;
    bool m_outage = false;
    std::map<std::string, json> m_instances;
    std::deque<version> m_versions;
    json m_shown = json::array();
    std::uint64_t m_revision = 1;
    http_listener m_listener;
};

fake_instance_list::fake_instance_list(const std::string& address, span lag)
    : m_implementation(std::make_unique<implementation>(address, lag))
{
}

fake_instance_list::~fake_instance_list() = default;

const std::string& fake_instance_list::address() const
{
    return m_implementation->address();
}

void fake_instance_list::add(const std::string& instances)
{
    m_implementation->add(json::parse(instances));
}

void fake_instance_list::set_state(const std::string& id,
                                   const std::string& state)
{
    m_implementation->set_state(id, state);
}

void fake_instance_list::set_outage(bool outage)
{
    m_implementation->set_outage(outage);
}

} // namespace kingcuprudder::stand_ins

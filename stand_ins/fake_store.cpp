#include <kingcuprudder/codec/base64.hpp>
#include <kingcuprudder/runtime/http_listener.hpp>

#include <nlohmann/json.hpp>
#include <stand_ins/fake_store.hpp>
#include <stand_ins/store_data.hpp>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <httplib.h>
#include <mutex>

namespace kingcuprudder::stand_ins
{

namespace
{

using json = nlohmann::json;
using request = httplib::Request;
using response = httplib::Response;

// Each open connection and each waiting watch occupies one thread.
constexpr std::size_t server_threads = 160;
constexpr std::size_t max_value_bytes = std::size_t{1024} * 1024;
constexpr std::int64_t max_watch_wait_ms = 60'000;
// A call in an outage occupies its thread for this time, which exceeds the
// timeout of every client.
constexpr std::chrono::milliseconds outage_hold_time(3000);

constexpr int status_ok = 200;
constexpr int status_malformed = 400;
constexpr int status_absent = 404;
constexpr int status_conflict = 409;
constexpr int status_lease_expired = 410;
constexpr int status_too_large = 413;
constexpr int status_unavailable = 503;

void answer(response& to, int status, const json& body)
{
    to.status = status;
    to.set_content(body.dump(), "application/json");
}

std::int64_t number_parameter(const request& from, const char* name)
{
    return from.has_param(name) ? std::stoll(from.get_param_value(name)) : 0;
}

json encode_batch(const watch_batch& batch)
{
    json events = json::array();
    for (const watch_event& each : batch.m_events)
    {
        events.push_back({{"key", each.m_key},
                          {"value", to_base64(each.m_value)},
                          {"revision", each.m_revision},
                          {"deleted", each.m_deleted}});
    }
    return {{"revision", batch.m_revision}, {"events", events}};
}

} // namespace

class fake_store::implementation
{
public:
    explicit implementation(const std::string& address)
        : m_listener(address, server_threads,
                     [this](httplib::Server& server) { install(server); })
    {
    }

    ~implementation()
    {
        set_faults({});
        m_data.stop_watches();
        {
            std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_faults_changed.notify_all();
        m_listener.stop();
    }

    const std::string& address() const { return m_listener.address(); }
    store_data& data() { return m_data; }

    void set_faults(const store_faults& faults)
    {
        {
            std::lock_guard lock(m_mutex);
            m_faults = faults;
        }
        m_faults_changed.notify_all();
    }

    store_faults faults() const
    {
        std::lock_guard lock(m_mutex);
        return m_faults;
    }

    store_counters counters() const
    {
        std::lock_guard lock(m_mutex);
        return m_counters;
    }

private:
    using counter = std::uint64_t store_counters::*;
    using operation = void (implementation::*)(const request&, response&);

    // Returns a handler that counts the call and applies the faults to it.
    httplib::Server::Handler guard(counter kind, operation run)
    {
        return [this, kind, run](const request& from, response& to)
        {
            count(kind);
            if (!admit(to))
            {
                return;
            }
            try
            {
                (this->*run)(from, to);
            }
            catch (const std::exception& problem)
            {
                answer(to, status_malformed, {{"message", problem.what()}});
            }
        };
    }

    void install(httplib::Server& server)
    {
        const std::string key = R"(/v1/kv/(.+))";
        server.Get(key, guard(&store_counters::m_gets, &implementation::get));
        server.Put(key, guard(&store_counters::m_puts, &implementation::put));
        server.Delete(
            key, guard(&store_counters::m_deletes, &implementation::remove));
        server.Post("/v1/leases", guard(&store_counters::m_lease_calls,
                                        &implementation::grant));
        server.Post(
            R"(/v1/leases/([^/]+)/renew)",
            guard(&store_counters::m_lease_calls, &implementation::renew));
        server.Delete(
            R"(/v1/leases/([^/]+))",
            guard(&store_counters::m_lease_calls, &implementation::revoke));
        server.Get("/v1/watch",
                   guard(&store_counters::m_watches, &implementation::watch));
        server.Post("/admin/faults", [this](const request& from, response& to)
                    { apply_faults(from, to); });
        server.Get("/admin/counters", [this](const request&, response& to)
                   { report_counters(to); });
    }

    void count(counter kind, std::int64_t change = 1)
    {
        std::lock_guard lock(m_mutex);
        m_counters.*kind += static_cast<std::uint64_t>(change);
    }

    // Applies the delay. Returns false if the call must have no effect.
    bool admit(response& to)
    {
        std::unique_lock lock(m_mutex);
        if (m_faults.m_outage)
        {
            if (!m_faults.m_refuse)
            {
                stay_silent(lock);
            }
            answer(to, status_unavailable, {{"message", "outage"}});
            return false;
        }
        const std::chrono::milliseconds delay(m_faults.m_delay.count());
        m_faults_changed.wait_for(lock, delay, [this] { return m_stopping; });
        return true;
    }

    void stay_silent(std::unique_lock<std::mutex>& lock)
    {
        m_faults_changed.wait_for(lock, outage_hold_time,
                                  [this] { return m_stopping; });
    }

    // Answers a write, or drops the answer if its loss is injected.
    void answer_write(const store_data::write_result& result, response& to)
    {
        if (result.m_outcome == store_data::write_outcome::conflict)
        {
            count(&store_counters::m_conflicts);
            answer(to, status_conflict, {{"revision", result.m_revision}});
            return;
        }
        if (result.m_outcome == store_data::write_outcome::lease_expired)
        {
            answer(to, status_lease_expired, {{"revision", result.m_revision}});
            return;
        }
        std::unique_lock lock(m_mutex);
        if (m_faults.m_lose_next_write_answers > 0)
        {
            --m_faults.m_lose_next_write_answers;
            stay_silent(lock);
            answer(to, status_unavailable, {{"message", "answer lost"}});
            return;
        }
        answer(to, status_ok, {{"revision", result.m_revision}});
    }

    void get(const request& from, response& to)
    {
        const auto value = m_data.get(from.matches[1]);
        if (!value)
        {
            answer(to, status_absent, {{"revision", 0}});
            return;
        }
        answer(to, status_ok,
               {{"value", to_base64(value->m_value)},
                {"revision", value->m_revision}});
    }

    void put(const request& from, response& to)
    {
        const json body = json::parse(from.body);
        auto value = from_base64(body.at("value").get<std::string>());
        if (!value)
        {
            answer(to, status_malformed, {{"message", "value: no base64"}});
            return;
        }
        if (value->size() > max_value_bytes)
        {
            answer(to, status_too_large, {{"message", "value over 1 MB"}});
            return;
        }
        answer_write(
            m_data.put(from.matches[1], std::move(*value),
                       body.at("expected_revision").get<store_revision>(),
                       body.value("lease", std::string())),
            to);
    }

    void remove(const request& from, response& to)
    {
        const auto expected = static_cast<store_revision>(
            number_parameter(from, "expected_revision"));
        answer_write(m_data.remove(from.matches[1], expected), to);
    }

    void grant(const request& from, response& to)
    {
        const json body = json::parse(from.body);
        const span time_to_live(body.at("ttl_ms").get<std::int64_t>());
        answer(to, status_ok, {{"lease", m_data.grant(time_to_live)}});
    }

    void renew(const request& from, response& to)
    {
        const bool alive = m_data.renew(from.matches[1]);
        answer(to, alive ? status_ok : status_lease_expired, json::object());
    }

    void revoke(const request& from, response& to)
    {
        const bool alive = m_data.revoke(from.matches[1]);
        answer(to, alive ? status_ok : status_lease_expired, json::object());
    }

    void watch(const request& from, response& to)
    {
        const span wait(std::clamp<std::int64_t>(
            number_parameter(from, "wait_ms"), 0, max_watch_wait_ms));
        const auto after =
            static_cast<store_revision>(number_parameter(from, "after"));
        count(&store_counters::m_waiting_watches);
        const watch_batch batch =
            m_data.watch(from.get_param_value("prefix"), after, wait);
        count(&store_counters::m_waiting_watches, -1);
        // An outage also applies to watches that were waiting when it began.
        if (admit(to))
        {
            answer(to, status_ok, encode_batch(batch));
        }
    }

    void apply_faults(const request& from, response& to)
    {
        const json body = json::parse(from.body);
        store_faults faults;
        faults.m_outage = body.value("outage", false);
        faults.m_refuse = body.value("refuse", false);
        faults.m_delay = span(body.value("delay_ms", std::int64_t{0}));
        faults.m_lose_next_write_answers =
            body.value("lose_next_write_answers", 0U);
        set_faults(faults);
        answer(to, status_ok, json::object());
    }

    void report_counters(response& to)
    {
        const store_counters now = counters();
        answer(to, status_ok,
               {{"gets", now.m_gets},
                {"puts", now.m_puts},
                {"deletes", now.m_deletes},
                {"lease_calls", now.m_lease_calls},
                {"watches", now.m_watches},
                {"waiting_watches", now.m_waiting_watches},
                {"conflicts", now.m_conflicts}});
    }

    store_data m_data;
    mutable std::mutex m_mutex;
    std::condition_variable m_faults_changed;
    store_faults m_faults;
    store_counters m_counters;
    bool m_stopping = false;
    http_listener m_listener;
};

fake_store::fake_store(const std::string& address)
    : m_implementation(std::make_unique<implementation>(address))
{
}

fake_store::~fake_store() = default;

const std::string& fake_store::address() const
{
    return m_implementation->address();
}

void fake_store::set_faults(const store_faults& faults)
{
    m_implementation->set_faults(faults);
}

store_counters fake_store::counters() const
{
    return m_implementation->counters();
}

store_value fake_store::get(const std::string& key)
{
    return m_implementation->data().get(key).value_or(store_value{});
}

store_revision fake_store::put(const std::string& key, const std::string& value)
{
    for (;;)
    {
        const store_revision current = get(key).m_revision;
        const auto written =
            m_implementation->data().put(key, value, current, "");
        if (written.m_outcome == store_data::write_outcome::written)
        {
            return written.m_revision;
        }
    }
}

} // namespace kingcuprudder::stand_ins

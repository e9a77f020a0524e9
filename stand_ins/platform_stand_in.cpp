#include <kingcuprudder/codec/base64.hpp>

#include <nlohmann/json.hpp>
#include <stand_ins/platform_stand_in.hpp>

#include <algorithm>
#include <httplib.h>

namespace kingcuprudder::stand_ins
{

namespace
{

using nlohmann::json;

constexpr span call_timeout = span(1000);

constexpr int status_ok = 200;
constexpr int status_invalid = 400;
constexpr int status_not_found = 404;
constexpr int status_gone = 410;
constexpr int status_conditions_failed = 412;
constexpr int status_unavailable = 503;

json item_json(const node::record& each)
{
    return {{"key", each.m_key},
            {"value", to_base64(each.m_value)},
            {"revision", each.m_revision}};
}

/// Sets the status for a failed call. A call with an unknown outcome gets
/// status 500 after two seconds.
void fail(httplib::Response& response, node::store_failure failure)
{
    switch (failure)
    {
    case node::store_failure::not_done:
        response.status = status_unavailable;
        return;
    case node::store_failure::compacted:
        response.status = status_gone;
        return;
    case node::store_failure::lease_ended:
        response.status = status_not_found;
        return;
    case node::store_failure::refused:
        response.status = status_invalid;
        return;
    case node::store_failure::unknown:
        std::this_thread::sleep_for(std::chrono::milliseconds(2000));
        response.status = 500;
        return;
    }
}

void answer(httplib::Response& response, const json& body,
            int status = status_ok)
{
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

node::store_transaction transaction_from(const json& body)
{
    node::store_transaction transaction;
    for (const json& each : body.value("expect", json::array()))
    {
        transaction.m_expected.emplace_back(each.at("key"),
                                            each.at("revision"));
    }
    for (const json& each : body.value("writes", json::array()))
    {
        transaction.m_writes.push_back(
            {each.at("key"),
             from_base64(each.at("value").get<std::string>()).value(),
             each.value("leaseId", std::int64_t(0))});
    }
    for (const json& each : body.value("deletes", json::array()))
    {
        transaction.m_removals.push_back(each);
    }
    return transaction;
}

} // namespace

platform_stand_in::platform_stand_in(int minions, span max_hold,
                                     const list_page_limits& pages)
    : platform_stand_in(platform_options{
          .m_minions = {.m_count = minions, .m_max_hold = max_hold},
          .m_pages = pages})
{
}

platform_stand_in::platform_stand_in(const platform_options& options)
    : m_options(options), m_minions(m_store, options.m_minions)
{
    write_configuration(1, "key");
    m_store_listener = std::make_unique<http_listener>(
        "127.0.0.1:0", options.m_store_threads,
        [this](httplib::Server& server) { install_store(server); });
}

const std::string& platform_stand_in::store_address() const
{
    return m_store_listener->address();
}

void platform_stand_in::write_configuration(int version, const std::string& key)
{
    json routes = json::array();
    for (const stand_in_queue& each : m_options.m_queues)
    {
        routes.push_back(
            {{"name", each.m_name},
             {"host", "h.example"},
             {"prefix", each.m_prefix},
             {"backend", "pool"},
             {"priority", each.m_priority},
             {"maxAttempts", each.m_max_attempts},
             {"stretch", each.m_stretch},
             {"targetDurationMs", each.m_target_duration.count()}});
    }
    const json configuration{
        {"version", version},
        {"routes", routes},
        {"backends", {{{"name", "pool"}}}},
        {"tenants", {{{"name", "t"}, {"apiKeys", {key}}}}}};
    node::store_transaction transaction;
    transaction.m_writes = {{"op/config", configuration.dump(), 0}};
    m_store.commit(transaction, call_timeout);
}

void platform_stand_in::set_delay_hook(delay_hook hook)
{
    std::lock_guard lock(m_mutex);
    m_delay_hook = std::move(hook);
}

void platform_stand_in::delay(const std::string& path)
{
    delay_hook hook;
    {
        std::lock_guard lock(m_mutex);
        hook = m_delay_hook;
    }
    if (hook)
    {
        const std::string call = path.substr(path.rfind('/') + 1);
        std::this_thread::sleep_for(
            std::chrono::milliseconds(hook(call).count()));
    }
}

void platform_stand_in::install_store(httplib::Server& server)
{
    server.set_pre_routing_handler(
        [this](const httplib::Request& request, httplib::Response&)
        {
            delay(request.path);
            return httplib::Server::HandlerResponse::Unhandled;
        });
    server.Get(
        "/kingcuprudder/kv-key",
        [this](const httplib::Request& request, httplib::Response& response)
        {
            const auto found =
                m_store.read(request.get_param_value("key"), call_timeout);
            if (!node::is_ok(found))
            {
                fail(response, std::get<1>(found));
            }
            else if (!std::get<0>(found))
            {
                response.status = status_not_found;
            }
            else
            {
                answer(response, item_json(*std::get<0>(found)));
            }
        });
    server.Get(
        "/kingcuprudder/kv-range",
        [this](const httplib::Request& request, httplib::Response& response)
        {
            const auto listed =
                m_store.list(request.get_param_value("prefix"), call_timeout);
            if (!node::is_ok(listed))
            {
                fail(response, std::get<1>(listed));
                return;
            }
            const std::string after = request.get_param_value("after");
            json body{{"items", json::array()},
                      {"hasMore", false},
                      {"asOf", std::get<0>(listed).m_revision}};
            std::size_t bytes = 0;
            for (const node::record& each : std::get<0>(listed).m_records)
            {
                if (each.m_key <= after)
                {
                    continue;
                }
                json item = item_json(each);
                bytes += item.dump().size();
                const bool fits =
                    body["items"].size() < m_options.m_pages.m_items &&
                    bytes <= m_options.m_pages.m_bytes;
                if (!fits && !body["items"].empty())
                {
                    body["hasMore"] = true;
                    break;
                }
                body["items"].push_back(std::move(item));
            }
            answer(response, body);
        });
    server.Get(
        "/kingcuprudder/kv-watch",
        [this](const httplib::Request& request, httplib::Response& response)
        {
            const span wait(std::stoll(request.get_param_value("waitMs")));
            const auto watched =
                m_store.watch(request.get_param_value("prefix"),
                              std::stoll(request.get_param_value("after")),
                              wait, wait + call_timeout);
            if (!node::is_ok(watched))
            {
                fail(response, std::get<1>(watched));
                return;
            }
            json body{{"events", json::array()},
                      {"asOf", std::get<0>(watched).m_revision}};
            for (const auto& change : std::get<0>(watched).m_changes)
            {
                json event = item_json(change.m_record);
                if (change.m_removed)
                {
                    event.erase("value");
                    event["compacted"] = true;
                }
                body["events"].push_back(event);
            }
            answer(response, body);
        });
    server.Post(
        "/kingcuprudder/kv-txn",
        [this](const httplib::Request& request, httplib::Response& response)
        {
            const auto outcome = m_store.commit(
                transaction_from(json::parse(request.body)), call_timeout);
            if (!node::is_ok(outcome))
            {
                fail(response, std::get<1>(outcome));
                return;
            }
            const node::commit_answer& answered = std::get<0>(outcome);
            if (const auto* revision = std::get_if<std::int64_t>(&answered))
            {
                answer(response, {{"revision", *revision}});
                return;
            }
            json body{{"items", json::array()}};
            for (const node::record& each :
                 std::get<node::store_conflict>(answered).m_records)
            {
                body["items"].push_back(item_json(each));
            }
            answer(response, body, status_conditions_failed);
        });
    server.Post(
        "/kingcuprudder/kv-lease",
        [this](const httplib::Request& request, httplib::Response& response)
        {
            const span time(
                json::parse(request.body).at("ttlMs").get<std::int64_t>());
            const auto lease = m_store.grant_lease(time, call_timeout);
            if (!node::is_ok(lease))
            {
                fail(response, std::get<1>(lease));
                return;
            }
            answer(response,
                   {{"leaseId", std::get<0>(lease)}, {"ttlMs", time.count()}});
        });
    server.Post(
        R"(/kingcuprudder/kv-keep/(\d+))",
        [this](const httplib::Request& request, httplib::Response& response)
        {
            const auto renewed = m_store.renew_lease(
                std::stoll(request.matches[1]), call_timeout);
            if (!node::is_ok(renewed))
            {
                fail(response, std::get<1>(renewed));
                return;
            }
            answer(response, json::object());
        });
    server.Delete(
        R"(/kingcuprudder/kv-lease-end/(\d+))",
        [this](const httplib::Request& request, httplib::Response& response)
        {
            m_store.revoke_lease(std::stoll(request.matches[1]), call_timeout);
            answer(response, json::object());
        });
}

} // namespace kingcuprudder::stand_ins

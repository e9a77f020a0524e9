#include <kingcuprudder/codec/base64.hpp>
#include <kingcuprudder/runtime/http_connection_pool.hpp>
#include <kingcuprudder/store/http_key_value_store.hpp>

#include <nlohmann/json.hpp>

#include <httplib.h>

namespace kingcuprudder
{

namespace
{

using json = nlohmann::json;
using http_call = std::function<httplib::Result(httplib::Client&)>;

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_gone = 410;
constexpr const char* json_type = "application/json";

using outcome = decltype(store_answer::m_outcome);

std::string key_path(const std::string& key)
{
    return "/v1/kv/" + key;
}

// Returns the revision in an answer about a key.
store_revision revision_of(const std::string& body)
{
    return json::parse(body).at("revision").get<store_revision>();
}

std::string decoded(const json& value)
{
    auto bytes = from_base64(value.get_ref<const std::string&>());
    if (!bytes)
    {
        throw std::runtime_error("value is not valid base64");
    }
    return std::move(*bytes);
}

http_call to_http(const store_get& get)
{
    return [path = key_path(get.m_key)](httplib::Client& client)
    { return client.Get(path); };
}

http_call to_http(const store_put& put)
{
    json body = {{"value", to_base64(put.m_value)},
                 {"expected_revision", put.m_expected}};
    if (!put.m_lease.empty())
    {
        body["lease"] = put.m_lease;
    }
    return [path = key_path(put.m_key),
            text = body.dump()](httplib::Client& client)
    { return client.Put(path, text, json_type); };
}

http_call to_http(const store_delete& remove)
{
    return [path = key_path(remove.m_key) +
                   "?expected_revision=" + std::to_string(remove.m_expected)](
               httplib::Client& client) { return client.Delete(path); };
}

http_call to_http(const lease_grant& grant)
{
    return [text = json{{"ttl_ms", grant.m_time_to_live.count()}}.dump()](
               httplib::Client& client)
    { return client.Post("/v1/leases", text, json_type); };
}

http_call to_http(const lease_renew& renew)
{
    return [path = "/v1/leases/" + renew.m_lease +
                   "/renew"](httplib::Client& client)
    { return client.Post(path, "", json_type); };
}

outcome read_answer(const store_get&, int status, const std::string& body)
{
    if (status == status_not_found && revision_of(body) == 0)
    {
        return store_value{};
    }
    if (status != status_ok)
    {
        return store_failed{};
    }
    const json fields = json::parse(body);
    return store_value{decoded(fields.at("value")),
                       fields.at("revision").get<store_revision>()};
}

outcome read_write_answer(int status, const std::string& body)
{
    switch (status)
    {
    case status_ok:
        return store_written{revision_of(body)};
    case status_conflict:
        return store_conflict{revision_of(body)};
    case status_gone:
        return lease_lapsed{};
    default:
        return store_failed{};
    }
}

outcome read_answer(const store_put&, int status, const std::string& body)
{
    return read_write_answer(status, body);
}

outcome read_answer(const store_delete&, int status, const std::string& body)
{
    return read_write_answer(status, body);
}

outcome read_answer(const lease_grant&, int status, const std::string& body)
{
    if (status != status_ok)
    {
        return store_failed{};
    }
    return lease_granted{json::parse(body).at("lease").get<std::string>()};
}

outcome read_answer(const lease_renew& renew, int status, const std::string&)
{
    if (status == status_ok)
    {
        return lease_granted{renew.m_lease};
    }
    return status == status_gone ? outcome(lease_lapsed{})
                                 : outcome(store_failed{});
}

watch_batch read_batch(const std::string& body)
{
    const json fields = json::parse(body);
    watch_batch batch;
    batch.m_revision = fields.at("revision").get<store_revision>();
    for (const json& each : fields.at("events"))
    {
        batch.m_events.push_back({each.at("key").get<std::string>(),
                                  decoded(each.at("value")),
                                  each.at("revision").get<store_revision>(),
                                  each.at("deleted").get<bool>()});
    }
    return batch;
}

error unavailable(const std::string& reason)
{
    return {error_code::store_unavailable, reason, verdict::not_run};
}

} // namespace

class http_key_value_store::implementation
{
public:
    implementation(const std::string& address, span timeout)
        : m_timeout(timeout), m_connections(address, timeout)
    {
    }

    outcome call(const store_call& request)
    {
        return std::visit([this](const auto& operation)
                          { return execute(operation); },
                          request.m_operation);
    }

    result<watch_batch> watch(const std::string& prefix, store_revision after,
                              span wait)
    {
        const std::string path = "/v1/watch?prefix=" + prefix +
                                 "&after=" + std::to_string(after) +
                                 "&wait_ms=" + std::to_string(wait.count());
        const auto answer =
            m_connections.run(wait + m_timeout, [&](httplib::Client& client)
                              { return client.Get(path); });
        if (!answer || answer->m_status != status_ok)
        {
            return unavailable("the store did not answer the watch");
        }
        try
        {
            return read_batch(answer->m_body);
        }
        catch (const std::exception& problem)
        {
            return unavailable(problem.what());
        }
    }

    void stop() { m_connections.stop(); }

private:
    template <class Operation>
    outcome execute(const Operation& operation)
    {
        const http_call run = to_http(operation);
        auto answer = m_connections.run(m_timeout, run);
        constexpr bool is_read = std::is_same_v<Operation, store_get>;
        if (!answer && is_read)
        {
            answer = m_connections.run(m_timeout, run);
        }
        if (!answer)
        {
            return store_failed{};
        }
        try
        {
            return read_answer(operation, answer->m_status, answer->m_body);
        }
        catch (const std::exception&)
        {
            return store_failed{};
        }
    }

    span m_timeout;
    http_connection_pool m_connections;
};

http_key_value_store::http_key_value_store(const std::string& address,
                                           span timeout)
    : m_implementation(std::make_unique<implementation>(address, timeout))
{
}

http_key_value_store::~http_key_value_store() = default;

store_answer http_key_value_store::call(const store_call& request)
{
    return {request.m_call, m_implementation->call(request)};
}

result<watch_batch> http_key_value_store::watch(const std::string& prefix,
                                                store_revision after, span wait)
{
    return m_implementation->watch(prefix, after, wait);
}

void http_key_value_store::stop()
{
    m_implementation->stop();
}

} // namespace kingcuprudder

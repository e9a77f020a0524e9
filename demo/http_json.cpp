#include <demo/http_json.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <httplib.h>

namespace kingcuprudder::demo
{

namespace
{

template <class Exchange>
http_answer with_client(const std::string& address, span timeout,
                        Exchange exchange)
{
    httplib::Client client("http://" + address);
    const std::chrono::milliseconds limit(timeout.count());
    client.set_connection_timeout(std::chrono::seconds(1));
    client.set_read_timeout(limit);
    client.set_write_timeout(limit);
    client.set_tcp_nodelay(true);
    const httplib::Result answer = exchange(client);
    if (!answer)
    {
        return {};
    }
    return {answer->status, answer->body};
}

} // namespace

http_answer http_get(const std::string& address, const std::string& path,
                     span timeout)
{
    return with_client(address, timeout,
                       [&](httplib::Client& client)
                       { return client.Get(path); });
}

http_answer http_post(const std::string& address, const std::string& path,
                      const nlohmann::json& body, span timeout)
{
    return with_client(
        address, timeout,
        [&](httplib::Client& client)
        { return client.Post(path, body.dump(), "application/json"); });
}

http_answer http_delete(const std::string& address, const std::string& path,
                        span timeout)
{
    return with_client(address, timeout,
                       [&](httplib::Client& client)
                       { return client.Delete(path); });
}

nlohmann::json json_of(const http_answer& answer)
{
    return nlohmann::json::parse(answer.m_body, nullptr, false);
}

} // namespace kingcuprudder::demo

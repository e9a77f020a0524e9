#include <kingcuprudder/service/entry_instance_list.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <httplib.h>
#include <string>

namespace kingcuprudder
{

namespace
{

constexpr std::chrono::milliseconds list_timeout(800);
/// Workers receive commands from the owner of the region and no requests of
/// callers.
constexpr const char* worker_service = "workers";

listed_target parse_target(const nlohmann::json& json)
{
    listed_target listed;
    listed.m_target.m_service =
        service_id(json.at("service").get<std::string>());
    listed.m_target.m_instance = instance_id(json.at("id").get<std::string>());
    listed.m_target.m_address = json.at("address").get<std::string>();
    listed.m_target.m_start_id = json.at("start_id").get<std::string>();
    listed.m_draining = json.at("state").get<std::string>() == "leaving";
    return listed;
}

std::vector<listed_target> parse_list(const nlohmann::json& json)
{
    std::vector<listed_target> list;
    for (const nlohmann::json& each : json.at("instances"))
    {
        if (each.at("service").get<std::string>() != worker_service)
        {
            list.push_back(parse_target(each));
        }
    }
    return list;
}

} // namespace

class entry_instance_list::connection
{
public:
    explicit connection(const std::string& address)
        : m_client("http://" + address)
    {
        m_client.set_connection_timeout(list_timeout);
        m_client.set_read_timeout(list_timeout);
        m_client.set_keep_alive(true);
        m_client.set_tcp_nodelay(true);
    }

    httplib::Client m_client;
};

entry_instance_list::entry_instance_list(const std::string& address)
    : m_connection(std::make_unique<connection>(address))
{
}

entry_instance_list::~entry_instance_list() = default;

std::optional<std::vector<listed_target>> entry_instance_list::poll()
{
    const httplib::Result answer = m_connection->m_client.Get(
        "/v1/instances?after=" + std::to_string(m_revision));
    m_reachable = answer && (answer->status == 200 || answer->status == 304);
    if (!m_reachable || answer->status == 304)
    {
        return std::nullopt;
    }
    try
    {
        const nlohmann::json json = nlohmann::json::parse(answer->body);
        std::vector<listed_target> list = parse_list(json);
        m_revision = json.at("revision").get<std::uint64_t>();
        return list;
    }
    catch (const nlohmann::json::exception&)
    {
        // A malformed list counts as a failed poll; the previous list remains
        // valid.
        m_reachable = false;
        return std::nullopt;
    }
}

} // namespace kingcuprudder

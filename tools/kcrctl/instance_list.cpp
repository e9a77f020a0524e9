#include "instance_list.hpp"

#include "command_error.hpp"
#include "http_call.hpp"
#include <kingcuprudder/codec/json_codec.hpp>

namespace kingcuprudder
{

using nlohmann::json;

json read_instances(const command_line& line)
{
    const std::string body = body_or_throw(
        call_process("instance list", line.instance_list(),
                     {"GET", "/v1/instances", ""}, line.timeout()));
    try
    {
        return json::parse(body).at("instances");
    }
    catch (const json::exception& problem)
    {
        throw command_error(exit_code::refused,
                            "instance list at " + line.instance_list() +
                                " sent no list: " + problem.what());
    }
}

std::vector<worker> read_workers(const command_line& line)
{
    std::vector<worker> workers;
    for (const json& each : read_instances(line))
    {
        if (each.value("service", "") == worker_service &&
            each.value("state", "") != "leaving")
        {
            workers.push_back(decode<worker>(each));
        }
    }
    return workers;
}

} // namespace kingcuprudder

#include <kingcuprudder/codec/codec.hpp>
#include <kingcuprudder/codec/json_codec.hpp>
#include <kingcuprudder/service/worker_protocol.hpp>

namespace kingcuprudder
{

namespace
{

using json = nlohmann::json;
using outcome = decltype(worker_answer::m_outcome);

constexpr int status_ok = 200;
constexpr int status_stale_epoch = 409;
constexpr int status_refused = 422;

const char* path_of(const worker_claim&)
{
    return "/v1/claim";
}

const char* path_of(const worker_prepare&)
{
    return "/v1/prepare";
}

const char* path_of(const worker_start&)
{
    return "/v1/start";
}

const char* path_of(const worker_stop&)
{
    return "/v1/stop";
}

outcome read_report(const std::string& body)
{
    const auto report = from_json_text<worker_report>(body);
    return succeeded(report) ? outcome(value_of(report))
                             : outcome(worker_unreachable{});
}

} // namespace

worker_request to_worker_request(const worker_call& call,
                                 const instance_id& owner,
                                 const std::string& heartbeat_url)
{
    return std::visit(
        [&](const auto& command)
        {
            json body = encode(command);
            body["epoch"] = call.m_epoch;
            if (std::holds_alternative<worker_claim>(call.m_command))
            {
                body["owner"] = owner.str();
                body["heartbeat_url"] = heartbeat_url;
            }
            return worker_request{path_of(command), body.dump()};
        },
        call.m_command);
}

outcome read_worker_answer(const worker_call& call, std::optional<int> status,
                           const std::string& body)
{
    try
    {
        switch (status.value_or(0))
        {
        case status_ok:
            return std::holds_alternative<worker_claim>(call.m_command)
                       ? read_report(body)
                       : outcome(worker_done{});
        case status_stale_epoch:
            return worker_stale_epoch{
                json::parse(body).at("epoch").get<epoch_number>()};
        case status_refused:
            return worker_refused{
                json::parse(body).at("message").get<std::string>()};
        default:
            return worker_unreachable{};
        }
    }
    catch (const json::exception&)
    {
        return worker_unreachable{};
    }
}

} // namespace kingcuprudder

#include "command.hpp"
#include "command_error.hpp"
#include "http_call.hpp"
#include <kingcuprudder/runtime/process_settings.hpp>
#include <kingcuprudder/runtime/timer_service.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <iostream>
#include <thread>

namespace kingcuprudder
{

namespace
{

using nlohmann::json;

constexpr std::chrono::milliseconds poll_interval(200);

void dump(command_line& line, const arguments& words)
{
    TCLAP::UnlabeledMultiArg<std::string> given(
        "address",
        "HTTP addresses of schedulers or health addresses of entry processes; "
        "all schedulers by default.",
        false, "ip:port", line.parser());
    line.parse(words);
    const std::vector<std::string> addresses =
        given.getValue().empty() ? line.schedulers() : given.getValue();
    json dumps = json::object();
    std::string failures;
    for (const std::string& address : addresses)
    {
        try
        {
            dumps[address] = body_or_throw(call_process(
                "process", address, {"GET", "/dump", ""}, line.timeout()));
        }
        catch (const command_error& problem)
        {
            failures += (failures.empty() ? "" : "; ");
            failures += problem.what();
        }
    }
    if (line.json())
    {
        std::cout << dumps.dump(2) << "\n";
    }
    else
    {
        for (const auto& each : dumps.items())
        {
            std::cout << "### " << each.key() << "\n"
                      << each.value().get<std::string>() << "\n";
        }
    }
    if (!failures.empty())
    {
        throw command_error(exit_code::unreachable, failures);
    }
}

/// Whether the process has closed its health listener, which is the last step
/// of its shutdown.
bool has_ended(const command_line& line, const std::string& address)
{
    try
    {
        call_process("process", address, {"GET", "/health", ""},
                     line.timeout());
        return false;
    }
    catch (const command_error&)
    {
        return true;
    }
}

void drain(command_line& line, const arguments& words)
{
    TCLAP::UnlabeledValueArg<std::string> address(
        "address", "Health address of the process.", true, "", "ip:port",
        line.parser());
    TCLAP::ValueArg<int> wait("", "wait-s", "Wait so long for its end.", false,
                              0, "seconds", line.parser());
    line.parse(words);
    const std::string problem = address_problem(address.getValue());
    if (!problem.empty())
    {
        throw command_error(exit_code::usage, "address: " + problem);
    }
    body_or_throw(call_process("process", address.getValue(),
                               {"POST", "/drain", ""}, line.timeout()));
    std::cout << "process at " << address.getValue()
              << " takes no new work and ends when its work is done\n";
    const instant end = system_now() + span::seconds(wait.getValue());
    while (wait.isSet() && !has_ended(line, address.getValue()))
    {
        if (system_now() >= end)
        {
            throw command_error(exit_code::unknown, "process at " +
                                                        address.getValue() +
                                                        " has not ended yet");
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

} // namespace

std::vector<command> process_commands()
{
    return {{"drain", "Ends a process without interrupting work.", drain},
            {"dump", "Shows the state of processes.", dump}};
}

} // namespace kingcuprudder

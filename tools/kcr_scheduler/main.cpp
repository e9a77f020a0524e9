#include <kingcuprudder/placement/gang_policy.hpp>
#include <kingcuprudder/runtime/logging.hpp>
#include <kingcuprudder/runtime/process_settings.hpp>
#include <kingcuprudder/runtime/signals.hpp>
#include <kingcuprudder/service/scheduler_service.hpp>

#include <tclap/CmdLine.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <iostream>
#include <thread>

namespace
{

using namespace kingcuprudder;

// Pending writes complete within the timeouts of the store. A store outage must
// not delay the end of a process that is being replaced; in that case its lease
// expires instead of being released.
constexpr std::chrono::seconds max_shutdown_time(20);
constexpr std::chrono::milliseconds shutdown_poll_interval(20);

scheduler_options to_options(const process_settings& settings)
{
    scheduler_options options;
    options.m_instance = settings.m_instance;
    options.m_region = settings.m_region;
    options.m_stream_address = settings.m_stream_address;
    options.m_http_address = settings.m_http_address;
    options.m_health_address = settings.m_health_address;
    options.m_store_address = settings.m_store_address;
    options.m_instance_list_address = settings.m_instance_list_address;
    return options;
}

void run(const process_settings& settings)
{
    scheduler_service service(to_options(settings),
                              std::make_unique<gang_policy>());
    std::atomic<bool> terminated = false;
    const signal_waiter signals(
        [&]
        {
            terminated = true;
            terminated.notify_all();
        },
        [&] { std::cerr << service.dump() << std::flush; });
    terminated.wait(false);
    service.begin_shutdown();
    const auto end = std::chrono::steady_clock::now() + max_shutdown_time;
    while (!service.shut_down() && std::chrono::steady_clock::now() < end)
    {
        std::this_thread::sleep_for(shutdown_poll_interval);
    }
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        TCLAP::CmdLine command_line("Schedules the jobs of one region.");
        TCLAP::ValueArg<std::string> file("", "settings",
                                          "Process settings in JSON.", true, "",
                                          "file", command_line);
        command_line.parse(argc, argv);
        const auto settings = load_process_settings(file.getValue());
        if (!succeeded(settings))
        {
            std::cerr << "kcr_scheduler: " << error_of(settings).m_message
                      << "\n";
            return 2;
        }
        block_signals();
        // Writing to a connection that the peer closed must not end this
        // process.
        std::signal(SIGPIPE, SIG_IGN);
        configure_logging(value_of(settings).m_log);
        run(value_of(settings));
        return 0;
    }
    catch (const std::exception& problem)
    {
        std::cerr << "kcr_scheduler: " << problem.what() << "\n";
        return 1;
    }
}

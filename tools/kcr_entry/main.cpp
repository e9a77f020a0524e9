#include <kingcuprudder/runtime/process_settings.hpp>
#include <kingcuprudder/runtime/signals.hpp>
#include <kingcuprudder/service/entry_process.hpp>

#include <tclap/CmdLine.h>

#include <future>
#include <iostream>
#include <random>

namespace
{

using namespace kingcuprudder;

entry_options options_of(const process_settings& settings)
{
    entry_options options;
    options.m_instance = settings.m_instance;
    options.m_address = settings.m_http_address;
    options.m_health_address = settings.m_health_address;
    options.m_instance_list = settings.m_instance_list_address;
    options.m_seed = std::random_device()();
    return options;
}

int serve(const process_settings& settings)
{
    configure_logging(settings.m_log);
    const logger log("entry");
    entry_process process(options_of(settings), settings.m_store_address,
                          settings.m_region);
    std::promise<void> terminated;
    bool asked = false;
    const signal_waiter signals(
        [&]
        {
            if (!std::exchange(asked, true))
            {
                terminated.set_value();
            }
        },
        [&] { log.info("state:\n" + process.dump()); });
    log.info("Serving callers on " + settings.m_http_address + ".");
    terminated.get_future().wait();
    log.info("Shutting down; waiting for work in progress to complete.");
    process.shut_down();
    log.info("All work has ended.");
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        TCLAP::CmdLine command_line("Serves the callers of kingcuprudder.");
        TCLAP::ValueArg<std::string> file("", "settings",
                                          "File with the process settings.",
                                          true, "", "file", command_line);
        command_line.parse(argc, argv);
        const result<process_settings> settings =
            load_process_settings(file.getValue());
        if (!succeeded(settings))
        {
            std::cerr << "kcr_entry: " << error_of(settings).m_message << "\n";
            return 2;
        }
        block_signals();
        return serve(value_of(settings));
    }
    catch (const std::exception& problem)
    {
        std::cerr << "kcr_entry: " << problem.what() << "\n";
        return 1;
    }
}

#include <stand_ins/fake_minion.hpp>
#include <stand_ins/wait_for_signal.hpp>
#include <tclap/CmdLine.h>

#include <iostream>

int main(int argc, char** argv)
{
    using namespace kingcuprudder::stand_ins;
    using text_option = TCLAP::ValueArg<std::string>;
    using count_option = TCLAP::ValueArg<unsigned>;
    try
    {
        TCLAP::CmdLine command_line("Stands in for a back end (minion).");
        text_option listen("", "listen", "Address to serve.", false,
                           "127.0.0.1:0", "ip:port", command_line);
        count_option slots("", "slots", "Requests that run at once.", false, 8,
                           "count", command_line);
        count_option connections("", "connections", "Connections at once.",
                                 false, 64, "count", command_line);
        count_option service_time("", "service-time-ms", "Time of a request.",
                                  false, 5, "ms", command_line);
        command_line.parse(argc, argv);
        block_termination_signals();
        minion_options options;
        options.m_address = listen.getValue();
        options.m_slots = slots.getValue();
        options.m_connections = connections.getValue();
        options.m_service_time = kingcuprudder::span(service_time.getValue());
        fake_minion minion(options);
        std::cout << "fake_minion listens on " << minion.address() << std::endl;
        wait_for_termination_signal();
        // Tells its callers that it leaves until a second signal ends it.
        minion.begin_leaving();
        std::cout << "fake_minion is leaving" << std::endl;
        wait_for_termination_signal();
        minion.wait_until_idle();
        return 0;
    }
    catch (const std::exception& problem)
    {
        std::cerr << "fake_minion: " << problem.what() << "\n";
        return 1;
    }
}

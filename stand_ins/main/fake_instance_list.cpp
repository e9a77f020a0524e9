#include <stand_ins/fake_instance_list.hpp>
#include <stand_ins/wait_for_signal.hpp>
#include <tclap/CmdLine.h>

#include <iostream>

int main(int argc, char** argv)
{
    using namespace kingcuprudder;
    try
    {
        TCLAP::CmdLine command_line("Stands in for the instance list.");
        TCLAP::ValueArg<std::string> listen("", "listen", "Address to serve.",
                                            false, "127.0.0.1:0", "ip:port",
                                            command_line);
        TCLAP::ValueArg<std::int64_t> lag("", "lag-ms", "Delay of each change.",
                                          false, 0, "ms", command_line);
        command_line.parse(argc, argv);
        stand_ins::block_termination_signals();
        const stand_ins::fake_instance_list list(listen.getValue(),
                                                 span(lag.getValue()));
        std::cout << "fake_instance_list listens on " << list.address()
                  << std::endl;
        stand_ins::wait_for_termination_signal();
        return 0;
    }
    catch (const std::exception& problem)
    {
        std::cerr << "fake_instance_list: " << problem.what() << "\n";
        return 1;
    }
}

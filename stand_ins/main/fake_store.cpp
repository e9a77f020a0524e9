#include <stand_ins/fake_store.hpp>
#include <stand_ins/wait_for_signal.hpp>
#include <tclap/CmdLine.h>

#include <iostream>

int main(int argc, char** argv)
{
    using namespace kingcuprudder::stand_ins;
    try
    {
        TCLAP::CmdLine command_line("Stands in for the key-value store.");
        TCLAP::ValueArg<std::string> listen("", "listen", "Address to serve.",
                                            false, "127.0.0.1:0", "ip:port",
                                            command_line);
        command_line.parse(argc, argv);
        block_termination_signals();
        const fake_store store(listen.getValue());
        std::cout << "fake_store listens on " << store.address() << std::endl;
        wait_for_termination_signal();
        return 0;
    }
    catch (const std::exception& problem)
    {
        std::cerr << "fake_store: " << problem.what() << "\n";
        return 1;
    }
}

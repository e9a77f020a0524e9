#include <stand_ins/fake_worker.hpp>
#include <stand_ins/wait_for_signal.hpp>
#include <tclap/CmdLine.h>

#include <iostream>

namespace
{

using namespace kingcuprudder;

stand_ins::fake_worker_options parse_options(int argc, char** argv)
{
    TCLAP::CmdLine command_line("Stands in for a worker.");
    TCLAP::ValueArg<std::string> listen("", "listen", "Address to serve.",
                                        false, "127.0.0.1:0", "ip:port",
                                        command_line);
    TCLAP::ValueArg<std::string> id("", "id", "Name of the worker.", true, "",
                                    "name", command_line);
    TCLAP::ValueArg<std::string> zone("", "zone", "Availability zone.", true,
                                      "", "name", command_line);
    TCLAP::ValueArg<std::string> rack("", "rack", "Rack.", true, "", "name",
                                      command_line);
    TCLAP::ValueArg<std::uint32_t> accelerators(
        "", "accelerators", "Number of accelerators.", false, 8, "count",
        command_line);
    TCLAP::ValueArg<std::uint32_t> cores("", "cores", "Number of cores.", false,
                                         64, "count", command_line);
    TCLAP::ValueArg<std::uint32_t> memory("", "memory-mb", "Memory in MiB.",
                                          false, 262144, "MiB", command_line);
    command_line.parse(argc, argv);
    stand_ins::fake_worker_options options;
    options.m_worker.m_id = worker_id(id.getValue());
    options.m_worker.m_zone = zone_id(zone.getValue());
    options.m_worker.m_rack = rack_id(rack.getValue());
    options.m_worker.m_accelerators = accelerators.getValue();
    options.m_worker.m_cores = cores.getValue();
    options.m_worker.m_memory_mb = memory.getValue();
    options.m_worker.m_address = listen.getValue();
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        const stand_ins::fake_worker_options options =
            parse_options(argc, argv);
        stand_ins::block_termination_signals();
        const stand_ins::fake_worker worker(options);
        std::cout << "fake_worker listens on " << worker.description().m_address
                  << std::endl;
        stand_ins::wait_for_termination_signal();
        return 0;
    }
    catch (const std::exception& problem)
    {
        std::cerr << "fake_worker: " << problem.what() << "\n";
        return 1;
    }
}

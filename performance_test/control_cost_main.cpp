#include <kingcuprudder/stream/socket_handle.hpp>

#include <stand_ins/counting_relay.hpp>
#include <stand_ins/fake_instance_list.hpp>
#include <stand_ins/fake_store.hpp>
#include <stand_ins/fake_worker.hpp>
#include <sys/wait.h>
#include <tclap/CmdLine.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <spawn.h>
#include <sstream>
#include <thread>
#include <unistd.h>
#include <vector>

namespace
{

using namespace kingcuprudder;

constexpr const char* settings_tree =
    R"({"regions":{"r":{"accounts":{"a":{}},"job_classes":{"c":{}}}}})";

std::string free_address()
{
    return local_address(listen_on("127.0.0.1:0"));
}

/// CPU time used by a process since its start, and its resident memory.
struct process_usage
{
    double m_cpu_seconds = 0;
    double m_resident_mb = 0;
};

process_usage usage_of(pid_t process)
{
    const std::string folder = "/proc/" + std::to_string(process);
    std::ifstream stat(folder + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), {});
    // User and system time are the 12th and 13th fields after the process name
    // in parentheses.
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string skipped;
    for (int i = 0; i < 11; ++i)
    {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    std::ifstream memory(folder + "/statm");
    double total = 0;
    double resident = 0;
    memory >> total >> resident;
    return {(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK)),
            resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6};
}

/// One scheduler process; its store, instance list and workers are stand-ins
/// in this process.
class measured_region
{
public:
    measured_region(std::size_t workers, const std::string& scheduler)
        : m_http(free_address()), m_health(free_address()),
          m_stream(free_address())
    {
        m_store.put("live/settings", settings_tree);
        const std::string heartbeats = m_relay.add(m_http, "heartbeats");
        for (std::size_t i = 0; i < workers; ++i)
        {
            add_worker(i, heartbeats);
        }
        start(scheduler);
    }

    ~measured_region()
    {
        kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
        std::remove(m_file.c_str());
    }
    measured_region(const measured_region&) = delete;
    measured_region& operator=(const measured_region&) = delete;

    process_usage usage() const { return usage_of(m_process); }

    std::uint64_t bytes(const std::string& name) const
    {
        return m_relay.bytes(name);
    }

    std::size_t heartbeats() const
    {
        std::size_t count = 0;
        for (const auto& each : m_workers)
        {
            count += each->heartbeats_sent();
        }
        return count;
    }

private:
    void add_worker(std::size_t index, const std::string& heartbeats)
    {
        stand_ins::fake_worker_options options;
        options.m_worker = worker{worker_id("worker-" + std::to_string(index)),
                                  zone_id("zone-" + std::to_string(index % 3)),
                                  rack_id("rack-" + std::to_string(index / 8)),
                                  8,
                                  64,
                                  262144,
                                  "127.0.0.1:0"};
        options.m_threads = 2;
        options.m_heartbeat_relay = heartbeats;
        m_workers.push_back(std::make_unique<stand_ins::fake_worker>(options));
        worker listed = m_workers.back()->description();
        listed.m_address = m_relay.add(listed.m_address, "commands");
        m_list.add(stand_ins::instance_entry(listed));
    }

    void start(const std::string& scheduler)
    {
        m_file = "/tmp/kcr_control_cost_" + std::string(6, 'X');
        close(mkstemp(m_file.data()));
        std::ofstream(m_file)
            << R"({"instance":"s","region":"r","zone":"zone-0",)"
            << R"("stream_address":")" << m_stream << R"(","http_address":")"
            << m_http << R"(","health_address":")" << m_health
            << R"(","store_address":")"
            << m_relay.add(m_store.address(), "store")
            << R"(","instance_list_address":")"
            << m_relay.add(m_list.address(), "list") << "\"}";
        std::vector<std::string> words = {scheduler, "--settings", m_file};
        std::vector<char*> arguments;
        arguments.reserve(words.size() + 1);
        for (std::string& each : words)
        {
            arguments.push_back(each.data());
        }
        arguments.push_back(nullptr);
        if (posix_spawn(&m_process, scheduler.c_str(), nullptr, nullptr,
                        arguments.data(), environ) != 0)
        {
            throw std::runtime_error("cannot start " + scheduler);
        }
    }

    stand_ins::counting_relay m_relay;
    stand_ins::fake_store m_store;
    stand_ins::fake_instance_list m_list;
    std::vector<std::unique_ptr<stand_ins::fake_worker>> m_workers;
    std::string m_http;
    std::string m_health;
    std::string m_stream;
    std::string m_file;
    pid_t m_process = 0;
};

void measure(std::size_t workers, const std::string& scheduler, int seconds)
{
    const std::vector<std::string> channels = {"heartbeats", "commands",
                                               "store", "list"};
    const measured_region region(workers, scheduler);
    // Waits until worker claims and the first snapshot are done, which are not
    // part of the steady state.
    std::this_thread::sleep_for(std::chrono::seconds(8));
    const process_usage before = region.usage();
    const std::size_t heartbeats = region.heartbeats();
    std::vector<std::uint64_t> counted;
    counted.reserve(channels.size());
    for (const std::string& each : channels)
    {
        counted.push_back(region.bytes(each));
    }
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    const process_usage after = region.usage();
    std::ostringstream line;
    line << "workers=" << workers << " seconds=" << seconds << " cpu_percent="
         << 100 * (after.m_cpu_seconds - before.m_cpu_seconds) / seconds
         << " resident_mb=" << after.m_resident_mb
         << " heartbeats=" << region.heartbeats() - heartbeats;
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < channels.size(); ++i)
    {
        const std::uint64_t bytes = region.bytes(channels[i]) - counted[i];
        total += bytes;
        line << " " << channels[i] << "_bytes=" << bytes;
    }
    line << " bytes_per_second=" << total / static_cast<unsigned>(seconds);
    std::cout << line.str() << std::endl;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        TCLAP::CmdLine command_line(
            "Measures what a scheduler process uses for control.");
        TCLAP::ValueArg<std::string> scheduler("", "scheduler",
                                               "The kcr_scheduler binary.",
                                               true, "", "file", command_line);
        TCLAP::ValueArg<int> seconds("", "seconds", "Length of a measurement.",
                                     false, 60, "s", command_line);
        TCLAP::MultiArg<std::size_t> workers(
            "", "workers", "Number of workers.", true, "count", command_line);
        command_line.parse(argc, argv);
        std::signal(SIGPIPE, SIG_IGN);
        for (const std::size_t each : workers.getValue())
        {
            measure(each, scheduler.getValue(), seconds.getValue());
        }
        return 0;
    }
    catch (const std::exception& problem)
    {
        std::cerr << "control_cost: " << problem.what() << "\n";
        return 1;
    }
}

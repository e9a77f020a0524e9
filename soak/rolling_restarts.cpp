#include <kingcuprudder/node/clocks.hpp>

#include <soak/balancer.hpp>
#include <soak/deployment.hpp>
#include <soak/rolling_restarts.hpp>
#include <stand_ins/platform_stand_in.hpp>

#include <chrono>
#include <httplib.h>
#include <stdexcept>
#include <thread>

namespace kingcuprudder::soak
{

namespace
{

const std::string job_id = "00000000000000aa";
constexpr int status_ok = 200;
constexpr int max_submissions = 100;

void sleep_for(span time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time.count()));
}

/// Submits the job that callers ask for. Throws std::runtime_error if no
/// process accepts it.
void submit_job(const deployment& nodes)
{
    const std::string body =
        R"({"spec":"100","steps":[{"count":1,"cpu":100,"memMb":1,"gpu":1}]})";
    for (int attempt = 0; attempt < max_submissions; ++attempt)
    {
        httplib::Client connection("http://" + nodes.caller_address(0));
        const auto answer = connection.Post(
            ("/q/" + job_id).c_str(),
            {{"Host", "h.example"}, {"Authorization", "Bearer key"}}, body,
            "application/json");
        if (answer && answer->status == status_ok)
        {
            return;
        }
        sleep_for(span(100));
    }
    throw std::runtime_error("no process accepts the job");
}

} // namespace

rolling_restart_report
run_rolling_restarts(const rolling_restart_options& options)
{
    stand_ins::platform_stand_in platform(options.m_workers);
    deployment nodes(options.m_program, options.m_folder,
                     platform.store_address(), options.m_nodes);
    for (int node = 0; node < nodes.size(); ++node)
    {
        nodes.start(node);
    }
    submit_job(nodes);
    balancer balance(nodes);
    status_callers callers(nodes, balance, job_id, options.m_callers,
                           options.m_seed);
    rolling_restart_report report;
    int next = static_cast<int>(options.m_seed) % nodes.size();
    const instant end = node::boottime_now() + options.m_duration;
    while (node::boottime_now() < end)
    {
        sleep_for(options.m_interval);
        for (int node = 0; node < nodes.size(); ++node)
        {
            nodes.restart_if_ended(node);
        }
        if (!nodes.is_terminating(next))
        {
            nodes.terminate(next);
            ++report.m_restarts;
        }
        next = (next + 1) % nodes.size();
    }
    report.m_calls = callers.stop();
    return report;
}

} // namespace kingcuprudder::soak

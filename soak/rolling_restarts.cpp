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
constexpr span poll_interval = span(20);
constexpr span check_timeout = span::seconds(30);

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

/// Writes configurations and sends SIGHUP to the processes in turn, until it is
/// destroyed.
class configuration_changes
{
public:
    configuration_changes(stand_ins::platform_stand_in& platform,
                          deployment& nodes, span interval)
        : m_platform(platform), m_nodes(nodes), m_interval(interval),
          m_last(node::boottime_now())
    {
    }

    /// Makes the next change if it is due.
    void advance()
    {
        const instant now = node::boottime_now();
        if (m_interval <= span(0) || now < m_last + m_interval)
        {
            return;
        }
        m_last = now;
        ++m_count;
        m_platform.write_configuration(1 + m_count, "key");
        m_nodes.reload(m_count % m_nodes.size());
    }

    int count() const { return m_count; }

private:
    stand_ins::platform_stand_in& m_platform;
    deployment& m_nodes;
    const span m_interval;
    instant m_last;
    int m_count = 0;
};

/// Ends the next process and starts those that have ended.
void restart_next(deployment& nodes, int& next, rolling_restart_report& report)
{
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

std::vector<std::string> caller_addresses(const deployment& nodes)
{
    std::vector<std::string> addresses;
    addresses.reserve(static_cast<std::size_t>(nodes.size()));
    for (int node = 0; node < nodes.size(); ++node)
    {
        addresses.push_back(nodes.caller_address(node));
    }
    return addresses;
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
    job_ledger ledger;
    job_callers submitters(nodes, balance, ledger, options.m_job_callers,
                           options.m_seed);
    configuration_changes changes(platform, nodes,
                                  options.m_configuration_interval);
    rolling_restart_report report;
    int next = static_cast<int>(options.m_seed) % nodes.size();
    instant last_restart = node::boottime_now();
    const instant end = last_restart + options.m_duration;
    while (node::boottime_now() < end)
    {
        sleep_for(poll_interval);
        changes.advance();
        if (options.m_restarts &&
            node::boottime_now() >= last_restart + options.m_interval)
        {
            last_restart = node::boottime_now();
            restart_next(nodes, next, report);
        }
    }
    report.m_configurations = changes.count();
    report.m_calls = callers.stop();
    report.m_job_calls = submitters.stop();
    report.m_accepted = ledger.accepted_count();
    report.m_violations = ledger.check(
        platform.minions(),
        [addresses = caller_addresses(nodes)](const std::string& id)
        { return ask_for_state(addresses, id); },
        check_timeout);
    return report;
}

} // namespace kingcuprudder::soak

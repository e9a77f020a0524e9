#include <kingcuprudder/codec/dispatch_codec.hpp>
#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/node/record_keys.hpp>

#include <nlohmann/json.hpp>
#include <soak/deployment.hpp>
#include <soak/takeover.hpp>
#include <stand_ins/platform_stand_in.hpp>

#include <array>
#include <chrono>
#include <cstdio>
#include <httplib.h>
#include <stdexcept>
#include <thread>

namespace kingcuprudder::soak
{

namespace
{

constexpr int nodes_of_takeover = 2;
constexpr int workers = 4;
constexpr span call_timeout = span(1000);
constexpr std::chrono::milliseconds submission_timeout(3000);
constexpr span poll_interval = span(20);
constexpr span election_timeout = span::seconds(30);
constexpr int status_ok = 200;
const std::string job_before = "00000000000000aa";
const std::string job_after = "00000000000000bb";

void sleep_for(span time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time.count()));
}

/// Writes the records that ended jobs leave in the store.
void write_ended_jobs(stand_ins::memory_store& store, int jobs)
{
    dispatch::job_progress progress;
    progress.m_state = dispatch::job_state::completed;
    progress.m_account = "t";
    const std::string value = dispatch::encode_progress(progress);
    for (int number = 0; number < jobs; ++number)
    {
        std::array<char, 17> id{};
        std::snprintf(id.data(), id.size(), "e%015x",
                      static_cast<unsigned>(number));
        node::store_transaction transaction;
        transaction.m_writes = {
            {node::record_keys::progress(id.data()), value, 0}};
        store.commit(transaction, call_timeout);
    }
}

/// One measurement.
class takeover
{
public:
    explicit takeover(const takeover_options& options)
        : m_options(options),
          m_platform(workers, span(6000), stand_ins::platform_pages),
          m_link(m_platform.store_address(), faultless(options.m_link)),
          m_nodes(options.m_program, options.m_folder, m_link.address(),
                  nodes_of_takeover)
    {
        write_ended_jobs(m_platform.store(), options.m_ended_jobs);
    }

    takeover_report run()
    {
        for (int node = 0; node < m_nodes.size(); ++node)
        {
            m_nodes.start(node);
        }
        const int leader = wait_for_first_start();
        m_link.set_lost_answers(m_options.m_link.m_lost_answers);
        const instant killed_at = node::boottime_now();
        m_nodes.kill(leader);
        takeover_report report;
        const instant end = killed_at + m_options.m_timeout;
        if (submit_until(job_after, nodes_of_takeover - 1 - leader, end))
        {
            report.m_accepted = node::boottime_now() - killed_at;
            if (is_started_until(job_after, end))
            {
                report.m_started = node::boottime_now() - killed_at;
            }
        }
        return report;
    }

private:
    /// A link that loses nothing, for the time before the measurement.
    static stand_ins::link_limits faultless(stand_ins::link_limits limits)
    {
        limits.m_lost_answers = 0;
        return limits;
    }

    /// Waits until the first leader has read its records. Returns its index.
    int wait_for_first_start()
    {
        const instant end = node::boottime_now() + election_timeout;
        if (!submit_until(job_before, 0, end) ||
            !is_started_until(job_before, end))
        {
            throw std::runtime_error("no process starts a job");
        }
        const auto leader =
            m_platform.store().read(node::record_keys::leader, call_timeout);
        const std::string name =
            nlohmann::json::parse(std::get<0>(leader).value().m_value)
                .at("node");
        return name == "node-0" ? 0 : 1;
    }

    bool submit_until(const std::string& id, int node, instant end)
    {
        const std::string body =
            R"({"spec":"50","steps":[{"count":1,"cpu":9,"memMb":1,"gpu":1}]})";
        httplib::Client caller("http://" + m_nodes.caller_address(node));
        caller.set_read_timeout(submission_timeout);
        while (node::boottime_now() < end)
        {
            const auto answer = caller.Post(
                ("/q/" + id).c_str(),
                {{"Host", "h.example"}, {"Authorization", "Bearer key"}}, body,
                "application/json");
            if (answer && answer->status == status_ok)
            {
                return true;
            }
            sleep_for(poll_interval);
        }
        return false;
    }

    bool is_started_until(const std::string& id, instant end)
    {
        while (node::boottime_now() < end)
        {
            if (m_platform.minions().start_count(id + ".0.0.0") > 0)
            {
                return true;
            }
            sleep_for(poll_interval);
        }
        return false;
    }

    takeover_options m_options;
    stand_ins::platform_stand_in m_platform;
    stand_ins::limited_link m_link;
    deployment m_nodes;
};

} // namespace

takeover_report measure_takeover(const takeover_options& options)
{
    return takeover(options).run();
}

} // namespace kingcuprudder::soak

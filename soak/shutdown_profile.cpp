#include <kingcuprudder/node/clocks.hpp>

#include <soak/deployment.hpp>
#include <soak/shutdown_profile.hpp>
#include <stand_ins/platform_stand_in.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <map>
#include <memory>
#include <random>
#include <thread>

namespace kingcuprudder::soak
{

namespace
{

using stand_ins::memory_store;

constexpr span bucket = span(100);
constexpr span start_time = span(1500);
constexpr span time_before_signal = span(1000);
constexpr span lost_answers_before_signal = span(500);
constexpr span throttle_period = span(100);
constexpr int all_percent = 100;
constexpr span check_timeout = span::seconds(20);
constexpr span late = span(3000);
constexpr int profiled = 0;
constexpr int other = 1;

void sleep_for(span time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time.count()));
}

/// One run of the profile.
class profile_run
{
public:
    explicit profile_run(const shutdown_profile_options& options)
        : m_options(options), m_platform(options.m_workers),
          m_nodes(options.m_program, options.m_folder,
                  m_platform.store_address(), 2, span(6000), options.m_grace)
    {
    }

    shutdown_report run()
    {
        start();
        const std::string& address = m_nodes.caller_address(profiled);
        const std::string& other_address = m_nodes.caller_address(other);
        shutdown_callers callers(address, other_address, m_ledger,
                                 m_options.m_callers, m_options.m_seed);
        run_throttled(time_before_signal - lost_answers_before_signal);
        lose_answers();
        run_throttled(lost_answers_before_signal);
        m_nodes.terminate(profiled);
        m_report.m_terminated_at = node::boottime_now();
        m_report.m_exited = run_throttled(m_options.m_grace);
        m_nodes.kill(profiled);
        m_report.m_lived = node::boottime_now() - m_report.m_terminated_at;
        m_platform.store().set_fault_hook(nullptr);
        m_report.m_calls = callers.stop();
        m_report.m_accepted = m_ledger.accepted_count();
        m_report.m_violations = m_ledger.check(
            m_platform.minions(),
            [&](const std::string& id)
            { return ask_for_state({other_address}, id); },
            check_timeout);
        return m_report;
    }

private:
    void start()
    {
        const bool leads = m_options.m_seed % 2 == 0;
        m_nodes.start(leads ? profiled : other);
        sleep_for(start_time);
        m_nodes.start(leads ? other : profiled);
        sleep_for(start_time);
        m_platform.set_delay_hook([delay = m_options.m_store_delay](
                                      const std::string&) { return delay; });
    }

    void lose_answers()
    {
        if (m_options.m_lost_answers <= 0)
        {
            return;
        }
        auto random = std::make_shared<std::mt19937>(m_options.m_seed);
        m_platform.store().set_fault_hook(
            [random, share = m_options.m_lost_answers](const std::string& call)
            {
                std::uniform_real_distribution<double> draw(0, 1);
                return call == "commit" && draw(*random) < share
                           ? memory_store::fault::lose_answer
                           : memory_store::fault::none;
            });
    }

    /// Lets the process run at its share of a core. Returns whether it has
    /// exited before the time is over.
    bool run_throttled(span time)
    {
        const span running =
            throttle_period * m_options.m_processor_percent / all_percent;
        const instant end = node::boottime_now() + time;
        while (node::boottime_now() < end)
        {
            if (m_nodes.wait_for_exit(profiled, running))
            {
                return true;
            }
            if (running < throttle_period)
            {
                m_nodes.pause(profiled);
                sleep_for(throttle_period - running);
                m_nodes.resume(profiled);
            }
        }
        return m_nodes.wait_for_exit(profiled, span(0));
    }

    shutdown_profile_options m_options;
    stand_ins::platform_stand_in m_platform;
    deployment m_nodes;
    job_ledger m_ledger;
    shutdown_report m_report;
};

/// The requests of one kind that were sent within one bucket.
struct request_counts
{
    std::map<int, int> m_by_status;
    int m_refused = 0;
    int m_unanswered = 0;
    int m_late = 0;
    int m_closing = 0;
    span m_slowest;
};

void count(request_counts& counts, const observed_request& request)
{
    counts.m_slowest = std::max(counts.m_slowest, request.m_took);
    counts.m_closing += request.m_closes ? 1 : 0;
    counts.m_late += request.m_took > late ? 1 : 0;
    if (request.m_refused)
    {
        ++counts.m_refused;
    }
    else if (request.m_status == 0)
    {
        ++counts.m_unanswered;
    }
    else
    {
        ++counts.m_by_status[request.m_status];
    }
}

std::string line_of(const std::string& label, caller_kind kind,
                    const request_counts& counts)
{
    std::string statuses;
    for (const auto& [status, number] : counts.m_by_status)
    {
        statuses += std::to_string(status) + ":" + std::to_string(number) + " ";
    }
    std::array<char, 200> line{};
    std::snprintf(line.data(), line.size(),
                  "%7s %-12s %-28s closing %5d refused %5d unanswered %3d "
                  "late %3d slowest %5lld ms\n",
                  label.c_str(), std::string(to_string(kind)).c_str(),
                  statuses.c_str(), counts.m_closing, counts.m_refused,
                  counts.m_unanswered, counts.m_late,
                  static_cast<long long>(counts.m_slowest.count()));
    return line.data();
}

/// Whether the request was sent from SIGTERM on or was open then, and had a
/// process to go to.
bool is_profiled(const shutdown_report& report, const observed_request& request)
{
    const bool ended_before =
        request.m_sent_at + request.m_took < report.m_terminated_at;
    const bool sent_after =
        request.m_sent_at > report.m_terminated_at + report.m_lived;
    return !ended_before && !sent_after;
}

} // namespace

shutdown_report run_shutdown_profile(const shutdown_profile_options& options)
{
    return profile_run(options).run();
}

std::string table_of(const shutdown_report& report)
{
    using row = std::pair<std::int64_t, caller_kind>;
    std::map<row, request_counts> rows;
    std::map<caller_kind, request_counts> totals;
    span first_closing = report.m_lived;
    for (const observed_request& each : report.m_calls.m_requests)
    {
        if (!is_profiled(report, each))
        {
            continue;
        }
        const span at = each.m_sent_at - report.m_terminated_at;
        const std::int64_t start =
            at < span(0) ? -1 : at.count() / bucket.count();
        count(rows[{start, each.m_kind}], each);
        count(totals[each.m_kind], each);
        if (each.m_closes)
        {
            first_closing = std::min(first_closing, at + each.m_took);
        }
    }
    std::string table;
    for (const auto& [key, counts] : rows)
    {
        table += line_of(std::to_string(key.first * bucket.count()), key.second,
                         counts);
    }
    for (const auto& [kind, counts] : totals)
    {
        table += line_of("total", kind, counts);
    }
    return table + "first response with Connection: close after " +
           std::to_string(first_closing.count()) + " ms\n";
}

std::vector<std::string> unanswered_requests(const shutdown_report& report)
{
    std::vector<std::string> found;
    for (const observed_request& each : report.m_calls.m_requests)
    {
        if (is_profiled(report, each) && each.m_status == 0 && !each.m_refused)
        {
            const span at = each.m_sent_at - report.m_terminated_at;
            const span left = report.m_lived - at;
            found.push_back("LOST: " + std::string(to_string(each.m_kind)) +
                            " sent " + std::to_string(at.count()) +
                            " ms after SIGTERM, " +
                            std::to_string(left.count()) +
                            " ms before the exit: " + each.m_error + " after " +
                            std::to_string(each.m_took.count()) + " ms");
        }
    }
    return found;
}

} // namespace kingcuprudder::soak

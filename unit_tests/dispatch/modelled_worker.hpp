#ifndef UNIT_TESTS_DISPATCH_MODELLED_WORKER_HPP
#define UNIT_TESTS_DISPATCH_MODELLED_WORKER_HPP

#include <kingcuprudder/dispatch/dispatcher.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kingcuprudder::dispatch
{

/// A worker in virtual time: it carries out orders, ends runs with their lease,
/// and can restart under its id.
class modelled_worker
{
public:
    static constexpr span longest_lease = span(6000);

    /// Ends the runs whose time has come.
    void advance(instant now)
    {
        if (m_lease_end <= now)
        {
            m_runs.clear();
        }
        for (auto each = m_runs.begin(); each != m_runs.end();)
        {
            const bool stops =
                each->second.m_stops_at && *each->second.m_stops_at <= now;
            if (!stops && each->second.m_ends_at > now)
            {
                ++each;
                continue;
            }
            m_ended.push_back(
                {++m_last_number, each->first.m_task.str(), each->first.m_run,
                 stops ? run_outcome::stopped : run_outcome::done, ""});
            m_over[each->first.m_task] = each->first.m_run;
            each = m_runs.erase(each);
        }
    }

    order_outcome start(const start_order& order, instant ends_at, instant now)
    {
        if (!accepts(order.m_fence))
        {
            return order_outcome::refused_fence;
        }
        const auto over = m_over.find(order.m_run.m_task);
        if (over != m_over.end() && over->second >= order.m_run.m_run)
        {
            return order_outcome::refused_old;
        }
        m_runs.try_emplace(order.m_run, run{ends_at, std::nullopt});
        extend_lease(now);
        return order_outcome::accepted;
    }

    order_outcome stop(const run_ref& stopped, std::int64_t fence, instant at)
    {
        if (!accepts(fence))
        {
            return order_outcome::refused_fence;
        }
        int& over = m_over[stopped.m_task];
        over = std::max(over, stopped.m_run);
        const auto found = m_runs.find(stopped);
        if (found != m_runs.end() && !found->second.m_stops_at)
        {
            found->second.m_stops_at = at;
        }
        return order_outcome::accepted;
    }

    /// Returns false if the token is refused.
    bool renew(std::int64_t fence, std::int64_t acknowledged, instant now)
    {
        if (!accepts(fence))
        {
            return false;
        }
        extend_lease(now);
        std::erase_if(m_ended, [acknowledged](const auto& end)
                      { return end.m_number <= acknowledged; });
        return true;
    }

    worker_report report(std::int64_t fence, instant now) const
    {
        worker_report made;
        made.m_clock = now.count();
        made.m_incarnation = m_process;
        made.m_fence = fence;
        made.m_ended = m_ended;
        for (const auto& [held, state] : m_runs)
        {
            made.m_running.push_back({held.m_task.str(), held.m_run, "", 10});
        }
        return made;
    }

    void restart()
    {
        const std::int64_t next = m_process + 1;
        *this = modelled_worker();
        m_process = next;
    }

    std::int64_t process() const { return m_process; }
    bool is_idle() const { return m_runs.empty(); }
    std::size_t ends() const { return m_ended.size(); }

private:
    struct run
    {
        instant m_ends_at;
        std::optional<instant> m_stops_at;
    };

    bool accepts(std::int64_t fence)
    {
        const bool accepted = fence >= m_fence;
        m_fence = std::max(m_fence, fence);
        return accepted;
    }

    void extend_lease(instant now)
    {
        m_lease_end = std::max(m_lease_end, now + longest_lease);
    }

    std::int64_t m_process = 100;
    std::int64_t m_fence = 0;
    instant m_lease_end;
    std::int64_t m_last_number = 0;
    std::map<run_ref, run> m_runs;
    std::map<task_ref, int> m_over;
    std::vector<completion_report> m_ended;
};

} // namespace kingcuprudder::dispatch

#endif

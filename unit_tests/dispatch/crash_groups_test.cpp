#include "dispatcher_fixture.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace kingcuprudder::dispatch
{

/// A worker is lost shortly after many tasks were started on it.
class crash_groups_test : public dispatcher_fixture
{
protected:
    static constexpr int workers = 8;
    static constexpr int lost_tasks = 128;
    static constexpr span tick = span(100);
    // More than the longest lease with the error of the worker's clock.
    static constexpr span after_the_lease = span(6500);
    /// A task may have nothing running for so long beside free capacity.
    static constexpr span longest_wait = span(3000);

    void add_workers(int count)
    {
        for (int index = 0; index < count; ++index)
        {
            m_ids.insert("w" + std::to_string(++m_workers_added));
            add_worker("w" + std::to_string(m_workers_added));
        }
    }

    static job_submission small(const std::string& id, int tasks,
                                bool is_persistent)
    {
        job_submission made = job(id, tasks, 0);
        made.m_steps[0].m_demand.m_cpu_millis = 500;
        made.m_steps[0].m_persistent = is_persistent;
        made.m_steps[0].m_estimate = span(60'000);
        return made;
    }

    void lose(const std::string& id)
    {
        m_dispatcher.renewal_failed(
            id,
            {order_outcome::may_have_arrived, call_failure::connection_closed},
            m_now);
        m_dispatcher.worker_unlisted(id, m_now);
        m_ids.erase(id);
    }

    /// Starts what waits for the given time, and crashes each worker that
    /// starts this task. Returns the runs that were lost with it.
    std::vector<std::size_t> play(span time, const std::string& deadly = "")
    {
        std::vector<std::size_t> lost;
        for (const instant until = m_now + time; m_now < until; pass(tick))
        {
            for (const std::string& id : m_ids)
            {
                report(id, running_on(id));
            }
            const std::vector<start_order> orders = start_all();
            confirm(orders);
            for (const start_order& order : orders)
            {
                m_starts[order.m_run.m_task.str()].push_back(m_now);
                m_held[order.m_run.m_task.str()] = order;
            }
            if (!deadly.empty() && m_held.contains(deadly))
            {
                pass(span(10));
                const std::string crashed = m_held.at(deadly).m_worker;
                lost.push_back(running_on(crashed).size());
                lose_runs_of(crashed);
                add_workers(1);
            }
        }
        return lost;
    }

    std::vector<running_report> running_on(const std::string& id) const
    {
        std::vector<running_report> found;
        for (const auto& [task, order] : m_held)
        {
            if (order.m_worker == id)
            {
                found.push_back(running(order));
            }
        }
        return found;
    }

    void lose_runs_of(const std::string& id)
    {
        std::erase_if(m_held, [&id](const auto& each)
                      { return each.second.m_worker == id; });
        lose(id);
    }

    /// Loses the worker on which the tasks started 2 s before.
    void lose_first_worker()
    {
        ASSERT_EQ(m_held.size(), static_cast<std::size_t>(lost_tasks));
        const std::string id = m_held.begin()->second.m_worker;
        ASSERT_EQ(running_on(id).size(), m_held.size());
        lose_runs_of(id);
    }

    std::set<std::string> m_ids;
    int m_workers_added = 0;
    std::map<std::string, start_order> m_held;
    std::map<std::string, std::vector<instant>> m_starts;
};

// They were started one per worker and 1.5 s, and nothing else meanwhile.
TEST_F(crash_groups_test, persistent_tasks_of_a_lost_worker_are_back_in_time)
{
    add_workers(workers);
    accept(small("lasting", lost_tasks, true));
    play(span(2000));
    lose_first_worker();
    pass(after_the_lease);
    play(longest_wait);
    EXPECT_EQ(m_held.size(), static_cast<std::size_t>(lost_tasks));
}

TEST_F(crash_groups_test, tasks_of_a_lost_worker_keep_no_worker_from_others)
{
    add_workers(workers);
    accept(small("lasting", lost_tasks, true));
    play(span(2000));
    lose_first_worker();
    pass(after_the_lease);
    play(tick);
    accept(job("other", 3, 8));
    play(tick);
    EXPECT_EQ(m_starts.count("other.0.0.0"), 1u);
    EXPECT_EQ(m_starts.count("other.0.0.2"), 1u);
}

TEST_F(crash_groups_test, jobs_of_a_lost_worker_are_back_in_time)
{
    add_workers(workers);
    for (int index = 0; index < lost_tasks; ++index)
    {
        accept(small("job-" + std::to_string(index), 1, false));
    }
    play(span(2000));
    lose_first_worker();
    pass(after_the_lease);
    play(longest_wait);
    EXPECT_EQ(m_held.size(), static_cast<std::size_t>(lost_tasks));
}

// Each crash narrows the suspicion, so that the other tasks stay at work.
TEST_F(crash_groups_test, a_crashing_task_among_many_is_soon_started_alone)
{
    add_workers(workers);
    accept(small("lasting", lost_tasks, true));
    const std::vector<std::size_t> lost = play(span(40'000), "lasting.0.0.77");
    // A quarter of the suspicion is on one worker: 128, 32, 8, 2 and 1 task.
    ASSERT_GE(lost.size(), 6u);
    EXPECT_EQ(lost[0], static_cast<std::size_t>(lost_tasks));
    EXPECT_LE(lost[1], lost[0] / 4);
    EXPECT_LE(lost[2], lost[1] / 4);
    EXPECT_EQ(lost[4], 1u);
    EXPECT_EQ(lost[5], 1u);
    EXPECT_GE(m_held.size(), static_cast<std::size_t>(lost_tasks - 1));
}

TEST_F(crash_groups_test, a_crashing_job_among_many_fails_alone)
{
    constexpr int most_starts = 5;
    add_workers(workers);
    for (int index = 0; index < lost_tasks; ++index)
    {
        accept(small("job-" + std::to_string(index), 1, false));
    }
    play(span(60'000), "job-77.0.0.0");
    EXPECT_FALSE(m_dispatcher.has_job("job-77"));
    EXPECT_LE(m_starts["job-77.0.0.0"].size(),
              static_cast<std::size_t>(most_starts));
    EXPECT_EQ(m_dispatcher.jobs().size(),
              static_cast<std::size_t>(lost_tasks - 1));
}

TEST(worker_loss, suspicion_is_shared_by_the_runs_that_may_be_the_cause)
{
    constexpr instant lost_at = instant(1'000'000);
    worker_loss loss;
    loss.m_silent_since = lost_at;
    loss.m_process_ended = true;
    const auto add_run = [&](const std::string& job, span age) {
        loss.m_runs.push_back({job, lost_at - age, lost_at - age, true, false});
    };
    add_run("old", span(20'000));
    EXPECT_EQ(loss.suspicion_shares(), (std::vector<double>{0}));
    add_run("a", span(3000));
    EXPECT_EQ(loss.suspicion_shares(), (std::vector<double>{0, 1}));
    add_run("b", span(3000));
    EXPECT_EQ(loss.suspicion_shares(), (std::vector<double>{0, 0.5, 0.5}));
    add_run("new", span(10));
    const std::vector<double> shares = loss.suspicion_shares();
    EXPECT_EQ(shares.at(1), 0.25);
    EXPECT_EQ(shares.at(3), 0.5);
}

} // namespace kingcuprudder::dispatch

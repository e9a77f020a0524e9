#include "node_fixture.hpp"
#include <kingcuprudder/node/node.hpp>
#include <kingcuprudder/node/node_metrics.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace kingcuprudder::node
{

namespace
{

constexpr std::int64_t worker_clock = 1000;
constexpr span answer_delay = span(20);

/// A worker on which every task fails.
class failing_worker final : public worker_calls
{
public:
    explicit failing_worker(event_loop& loop) : m_loop(loop) {}

    void start(const dispatch::start_order& order, std::int64_t, std::int64_t,
               span, order_done done) override
    {
        m_ended.push_back({static_cast<std::int64_t>(m_ended.size()) + 1,
                           order.m_run.m_task.str(), order.m_run.m_run,
                           dispatch::run_outcome::failed, ""});
        m_loop.post(
            [done] {
                done({dispatch::order_outcome::accepted, worker_clock});
            });
    }
    void stop(const dispatch::stop_order&, std::int64_t, span,
              order_done done) override
    {
        m_loop.post(
            [done] {
                done({dispatch::order_outcome::accepted, worker_clock});
            });
    }
    void renew(const renewal_call& call, span, renewal_done done) override
    {
        dispatch::worker_report report;
        report.m_clock = worker_clock;
        report.m_incarnation = 1;
        for (const dispatch::completion_report& end : m_ended)
        {
            if (end.m_number > call.m_acknowledged)
            {
                report.m_ended.push_back(end);
            }
        }
        m_timer =
            m_loop.run_after(answer_delay, [done, report] { done(report); });
    }
    void cancel() override {}

private:
    event_loop& m_loop;
    std::vector<dispatch::completion_report> m_ended;
    event_loop::timer m_timer;
};

/// A worker that answers nothing.
class silent_worker final : public worker_calls
{
public:
    explicit silent_worker(event_loop& loop) : m_loop(loop) {}

    void start(const dispatch::start_order&, std::int64_t, std::int64_t, span,
               order_done done) override
    {
        m_loop.post([done] { done({failure(), std::nullopt}); });
    }
    void stop(const dispatch::stop_order&, std::int64_t, span,
              order_done done) override
    {
        m_loop.post([done] { done({failure(), std::nullopt}); });
    }
    void renew(const renewal_call&, span, renewal_done done) override
    {
        m_timer = m_loop.run_after(answer_delay, [done] { done(failure()); });
    }
    void cancel() override {}

private:
    static dispatch::call_result failure()
    {
        return {dispatch::order_outcome::may_have_arrived,
                dispatch::call_failure::timed_out};
    }

    event_loop& m_loop;
    event_loop::timer m_timer;
};

class leader_metrics_test : public node_fixture
{
protected:
    leader_metrics_test()
    {
        store_transaction transaction;
        transaction.m_writes = {{"workers/failing", "", 0},
                                {"workers/silent", "", 0}};
        m_store.commit(transaction, span(100));
    }

    std::unique_ptr<node> make_node()
    {
        node_settings settings;
        settings.m_name = "test";
        settings.m_processor_share = 1;
        settings.m_status_retention = span(60'000);
        return std::make_unique<node>(
            settings, m_store, m_records,
            [](event_loop& loop, const std::string& id, const std::string&,
               const send_check&) -> std::unique_ptr<worker_calls>
            {
                if (id == "silent")
                {
                    return std::make_unique<silent_worker>(loop);
                }
                return std::make_unique<failing_worker>(loop);
            },
            m_log, m_metrics);
    }

    bool shows(const std::string& line) const
    {
        return ("\n" + m_metrics.text()).find("\n" + line + "\n") !=
               std::string::npos;
    }

    node_metrics m_metrics;
};

} // namespace

// Guards against a leader whose state shows in its log only, and against the
// gauges of a former leader that stay as they were.
TEST_F(leader_metrics_test, the_state_is_shown_by_the_leader_only)
{
    const std::unique_ptr<node> tested = make_node();
    EXPECT_TRUE(
        eventually([&] { return shows("kcr_leader_silent_workers 1"); }));
    EXPECT_FALSE(shows("kcr_leader_planning_ms_count 0"));
    EXPECT_TRUE(shows("kcr_leader_waiting_records 0"));
    tested->resign();
    EXPECT_TRUE(
        eventually([&] { return shows("kcr_leader_silent_workers 0"); }));
}

TEST_F(leader_metrics_test, decisions_of_the_scheduler_are_counted)
{
    const std::unique_ptr<node> tested = make_node();
    ASSERT_TRUE(
        eventually([&] { return !shows("kcr_leader_planning_ms_count 0"); }));
    dispatch::job_submission job;
    job.m_id = "5c0e7a21d94b36f8";
    job.m_steps = {dispatch::job_step{1, {}, span(10)}};
    ASSERT_EQ(tested->jobs().submit({"host", "/queue/5c0e7a21d94b36f8", "key",
                                     boottime_now() + span(1000)},
                                    job),
              std::nullopt);
    EXPECT_TRUE(eventually(
        [&] {
            return shows("kcr_leader_decisions_total{event=\"job_failed\"} 1");
        }));
}

// Guards against one time series per event, job or worker.
TEST(leader_metrics, only_the_named_decisions_have_a_counter)
{
    const node_metrics metrics;
    const std::string before = metrics.text();
    metrics.leader().count_decision("task_assigned");
    metrics.leader().count_decision("5c0e7a21d94b36f8");
    EXPECT_EQ(metrics.text(), before);
    const std::string name = "kcr_leader_decisions_total{event=\"";
    for (const std::string event :
         {"worker_lost", "worker_unreliable", "crash_attributed",
          "crash_withdrawn", "crashes_cleared", "suspected_task_waits",
          "task_given_up", "job_failed", "stop_repeated"})
    {
        EXPECT_NE(metrics.text().find(name + event + "\"} 0"),
                  std::string::npos);
        metrics.leader().count_decision(event);
        EXPECT_NE(metrics.text().find(name + event + "\"} 1"),
                  std::string::npos);
    }
    metrics.leader().set_state(7, 3);
    metrics.leader().set_workers_with_unknown_runs(2);
    metrics.leader().set_idle_jobs_beside_room(5);
    metrics.leader().observe_planning(1.5);
    EXPECT_NE(metrics.text().find("kcr_leader_idle_jobs 5"), std::string::npos);
    EXPECT_NE(metrics.text().find("kcr_leader_unknown_run_workers 2"),
              std::string::npos);
    EXPECT_NE(metrics.text().find("kcr_leader_waiting_records 7"),
              std::string::npos);
    EXPECT_NE(metrics.text().find("kcr_leader_silent_workers 3"),
              std::string::npos);
    EXPECT_NE(metrics.text().find("kcr_leader_planning_ms_bucket{le=\"2\"} 1"),
              std::string::npos);
}

} // namespace kingcuprudder::node

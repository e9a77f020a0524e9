#include "node_fixture.hpp"
#include <kingcuprudder/codec/dispatch_codec.hpp>
#include <kingcuprudder/node/node.hpp>
#include <kingcuprudder/node/node_metrics.hpp>
#include <kingcuprudder/node/record_keys.hpp>

#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace kingcuprudder::node
{

namespace
{

constexpr std::int64_t worker_clock = 1000;
constexpr span answer_delay = span(20);
const std::string damaged = "\x01";

/// The jobs of which a task was started, from any thread.
class started_jobs
{
public:
    void add(const std::string& job)
    {
        std::lock_guard lock(m_mutex);
        m_jobs.insert(job);
    }
    bool contains(const std::string& job) const
    {
        std::lock_guard lock(m_mutex);
        return m_jobs.contains(job);
    }

private:
    mutable std::mutex m_mutex;
    std::set<std::string> m_jobs;
};

/// A worker that accepts every start and runs nothing.
class accepting_worker final : public worker_calls
{
public:
    accepting_worker(event_loop& loop, started_jobs& started)
        : m_loop(loop), m_started(started)
    {
    }

    void start(const dispatch::start_order& order, std::int64_t, std::int64_t,
               span, order_done done) override
    {
        m_started.add(order.m_run.m_task.m_job);
        accept(done);
    }
    void stop(const dispatch::stop_order&, std::int64_t, span,
              order_done done) override
    {
        accept(done);
    }
    void renew(const renewal_call&, span, renewal_done done) override
    {
        dispatch::worker_report report;
        report.m_clock = worker_clock;
        report.m_incarnation = 1;
        m_timer =
            m_loop.run_after(answer_delay, [done, report] { done(report); });
    }
    void cancel() override {}

private:
    void accept(const order_done& done)
    {
        m_loop.post(
            [done] {
                done({dispatch::order_outcome::accepted, worker_clock});
            });
    }

    event_loop& m_loop;
    started_jobs& m_started;
    event_loop::timer m_timer;
};

class unreadable_progress_test : public node_fixture
{
protected:
    /// Stores a job of one task with this progress record.
    void store_job(const std::string& id, const std::string& progress)
    {
        dispatch::job_submission job;
        job.m_id = id;
        job.m_queue = "queue";
        job.m_policy.m_pool = "pool";
        job.m_accepted_at = wall_now();
        job.m_steps = {dispatch::job_step{1, {}, span(10)}};
        store_transaction transaction;
        transaction.m_writes = {
            {record_keys::submission(id), dispatch::encode_submission(job), 0},
            {record_keys::progress(id), progress, 0}};
        m_store.commit(transaction, span(100));
    }

    std::unique_ptr<node> make_node()
    {
        store_transaction transaction;
        transaction.m_writes = {{"workers/one", "", 0}};
        m_store.commit(transaction, span(100));
        node_settings settings;
        settings.m_name = "test";
        settings.m_processor_share = 1;
        settings.m_status_retention = span(60'000);
        return std::make_unique<node>(
            settings, m_store, m_records,
            [this](event_loop& loop, const std::string&, const std::string&,
                   const send_check&)
            { return std::make_unique<accepting_worker>(loop, m_started); },
            m_log, m_metrics);
    }

    node_metrics m_metrics;
    started_jobs m_started;
};

} // namespace

// Guards against tasks that run again as the record of their ends is taken for
// absent.
TEST_F(unreadable_progress_test,
       a_job_whose_progress_cannot_be_read_is_not_started_anew)
{
    store_job("00000000000000a1", damaged);
    store_job("00000000000000b2",
              dispatch::encode_progress(dispatch::job_progress()));
    const std::unique_ptr<node> tested = make_node();
    ASSERT_TRUE(
        eventually([this] { return m_started.contains("00000000000000b2"); }));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    EXPECT_FALSE(m_started.contains("00000000000000a1"));
    const auto found =
        m_store.read(record_keys::progress("00000000000000a1"), span(100));
    ASSERT_TRUE(is_ok(found) && std::get<0>(found));
    EXPECT_EQ(std::get<0>(found)->m_value, damaged);
}

} // namespace kingcuprudder::node

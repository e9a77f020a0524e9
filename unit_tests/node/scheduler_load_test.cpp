#include "node_fixture.hpp"
#include <kingcuprudder/codec/dispatch_codec.hpp>
#include <kingcuprudder/node/node.hpp>
#include <kingcuprudder/node/node_metrics.hpp>
#include <kingcuprudder/node/record_keys.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <vector>

namespace kingcuprudder::node
{

namespace
{

constexpr std::int64_t worker_clock = 1000;
constexpr span answer_delay = span(20);

/// A worker that counts the starts and runs nothing.
class counting_worker final : public worker_calls
{
public:
    counting_worker(event_loop& loop, std::atomic<int>& starts)
        : m_loop(loop), m_starts(starts)
    {
    }

    void start(const dispatch::start_order&, std::int64_t, std::int64_t, span,
               order_done done) override
    {
        ++m_starts;
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
    std::atomic<int>& m_starts;
    event_loop::timer m_timer;
};

class scheduler_load_test : public node_fixture
{
protected:
    static dispatch::job_submission job(const std::string& id)
    {
        dispatch::job_submission made;
        made.m_id = id;
        made.m_account = "account";
        made.m_queue = "queue";
        made.m_policy.m_pool = "pool";
        made.m_steps = {dispatch::job_step{1, {}, span(10)}};
        return made;
    }

    /// Stores a worker, a job and the job's progress in one transaction, like
    /// an accepted job. Without progress, that record is missing.
    void write_job(const std::string& id,
                   const std::optional<std::string>& progress)
    {
        store_transaction transaction;
        transaction.m_writes = {{"workers/w1", "", 0},
                                {record_keys::submission(id),
                                 dispatch::encode_submission(job(id)), 0}};
        if (progress)
        {
            transaction.m_writes.push_back(
                {record_keys::progress(id), *progress, 0});
        }
        m_store.commit(transaction, span(100));
    }

    std::optional<record> stored_progress(const std::string& id)
    {
        return std::get<0>(m_store.read(record_keys::progress(id), span(100)));
    }

    std::unique_ptr<node> make_node()
    {
        node_settings settings;
        settings.m_name = "test";
        settings.m_processor_share = 1;
        settings.m_status_retention = span(60'000);
        return std::make_unique<node>(
            settings, m_store, m_records,
            [this](event_loop& loop, const std::string&, const std::string&,
                   const send_check&) -> std::unique_ptr<worker_calls>
            { return std::make_unique<counting_worker>(loop, m_starts); },
            m_log, m_metrics);
    }

    std::atomic<int> m_starts = 0;
    node_metrics m_metrics;
};

} // namespace

TEST_F(scheduler_load_test,
       a_job_with_unreadable_progress_is_not_started_afresh)
{
    const std::string id = "5c0e7a21d94b36f8";
    store_transaction transaction;
    transaction.m_writes = {
        {"workers/w1", "", 0},
        {record_keys::submission(id), dispatch::encode_submission(job(id)), 0},
        {record_keys::progress(id), "not readable", 0}};
    m_store.commit(transaction, span(100));
    const std::unique_ptr<node> tested = make_node();
    EXPECT_FALSE(eventually([&] { return m_starts > 0; }));
    const auto stored = m_store.read(record_keys::progress(id), span(100));
    EXPECT_EQ(std::get<0>(stored)->m_value, "not readable");
    tested->resign();
}

// Guards against a scheduler that starts nothing, for which the other tests
// would pass; so does the next test.
TEST_F(scheduler_load_test, a_new_job_is_started)
{
    const std::string id = "5c0e7a21d94b36f8";
    write_job(id, dispatch::encode_progress({}));
    const std::unique_ptr<node> tested = make_node();
    EXPECT_TRUE(eventually([&] { return m_starts > 0; }));
    tested->resign();
}

TEST_F(scheduler_load_test, a_job_that_is_accepted_after_the_load_is_started)
{
    const std::string first = "5c0e7a21d94b36f8";
    const std::string second = "0000000000000002";
    write_job(first, dispatch::encode_progress({}));
    const std::unique_ptr<node> tested = make_node();
    ASSERT_TRUE(eventually([&] { return m_starts > 0; }));
    write_job(second, dispatch::encode_progress({}));
    EXPECT_TRUE(eventually([&] { return m_starts > 1; }));
    tested->resign();
}

// Guards against a job that is added as new by the watch after the load could
// not use its progress.
TEST_F(scheduler_load_test, a_job_whose_progress_does_not_fit_is_not_started)
{
    const dispatch::task_progress task{false, 3, "w9", 100, {}, "mark"};
    std::map<std::string, std::string> written;
    for (const auto& tasks :
         {std::vector<std::vector<std::vector<dispatch::task_progress>>>{
              {{task, task}}},
          {{{task}, {task}}},
          {{{task}}, {{task}}},
          {{{}}},
          {}})
    {
        const std::string id =
            "000000000000000" + std::to_string(written.size());
        written[id] = dispatch::encode_progress(
            {dispatch::job_state::running, "account", tasks});
        write_job(id, written[id]);
    }
    const std::unique_ptr<node> tested = make_node();
    EXPECT_FALSE(eventually([&] { return m_starts > 0; }));
    for (const auto& [id, progress] : written)
    {
        EXPECT_EQ(stored_progress(id)->m_value, progress);
    }
    tested->resign();
}

TEST_F(scheduler_load_test, a_job_without_a_progress_record_is_not_started)
{
    const std::string id = "5c0e7a21d94b36f8";
    write_job(id, std::nullopt);
    const std::unique_ptr<node> tested = make_node();
    EXPECT_FALSE(eventually([&] { return m_starts > 0; }));
    EXPECT_FALSE(stored_progress(id));
    tested->resign();
}

// A record that cannot be used must not stop the scheduling of other jobs.
TEST_F(scheduler_load_test, a_job_beside_an_unusable_one_is_started)
{
    const std::string unusable = "5c0e7a21d94b36f8";
    write_job(unusable, "not readable");
    write_job("0000000000000002", dispatch::encode_progress({}));
    const std::unique_ptr<node> tested = make_node();
    EXPECT_TRUE(eventually([&] { return m_starts > 0; }));
    EXPECT_EQ(stored_progress(unusable)->m_value, "not readable");
    tested->resign();
}

} // namespace kingcuprudder::node

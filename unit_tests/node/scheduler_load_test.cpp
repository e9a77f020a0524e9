#include "node_fixture.hpp"
#include <kingcuprudder/codec/dispatch_codec.hpp>
#include <kingcuprudder/node/node.hpp>
#include <kingcuprudder/node/node_metrics.hpp>
#include <kingcuprudder/node/record_keys.hpp>

#include <atomic>
#include <memory>

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
    tested->begin_shutdown();
}

} // namespace kingcuprudder::node

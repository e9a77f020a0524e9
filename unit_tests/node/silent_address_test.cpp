#include "node_fixture.hpp"
#include <kingcuprudder/codec/dispatch_codec.hpp>
#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/node/node.hpp>
#include <kingcuprudder/node/node_metrics.hpp>
#include <kingcuprudder/node/record_keys.hpp>

#include <atomic>
#include <memory>
#include <string>

namespace kingcuprudder::node
{

namespace
{

constexpr std::int64_t worker_clock = 1000;
constexpr span answer_delay = span(20);
const std::string job_id = "5c0e7a21d94b36f8";

/// A worker that answers nothing, or one that accepts all orders.
class scripted_worker final : public worker_calls
{
public:
    scripted_worker(event_loop& loop, bool silent, std::atomic<int>& starts)
        : m_loop(loop), m_silent(silent), m_starts(starts)
    {
    }

    void start(const dispatch::start_order&, std::int64_t, std::int64_t, span,
               order_done done) override
    {
        m_starts += m_silent ? 0 : 1;
        answer_order(done);
    }
    void stop(const dispatch::stop_order&, std::int64_t, span,
              order_done done) override
    {
        answer_order(done);
    }
    void renew(const renewal_call&, span, renewal_done done) override
    {
        dispatch::worker_report report;
        report.m_clock = worker_clock;
        report.m_incarnation = 1;
        const renewal_answer answer =
            m_silent ? renewal_answer(timed_out()) : renewal_answer(report);
        m_timer =
            m_loop.run_after(answer_delay, [done, answer] { done(answer); });
    }
    void cancel() override {}

private:
    static dispatch::call_result timed_out()
    {
        return {dispatch::order_outcome::may_have_arrived,
                dispatch::call_failure::timed_out};
    }
    void answer_order(const order_done& done)
    {
        m_loop.post(
            [done, silent = m_silent]
            {
                if (silent)
                {
                    done({timed_out(), std::nullopt});
                    return;
                }
                done({dispatch::order_outcome::accepted, worker_clock});
            });
    }

    event_loop& m_loop;
    bool m_silent;
    std::atomic<int>& m_starts;
    event_loop::timer m_timer;
};

class silent_address_test : public node_fixture
{
protected:
    silent_address_test()
    {
        // The value of a worker's record is its address.
        m_records.m_decode_worker =
            [decode = m_records.m_decode_worker](const std::string& id,
                                                 const std::string& address)
        {
            auto worker = decode(id, address);
            worker->m_address = address;
            return worker;
        };
    }

    /// A run is recorded on "silent", which has answered at 127.0.0.1:1.
    void store_records(const std::string& listed_address)
    {
        dispatch::job_submission job;
        job.m_id = job_id;
        job.m_queue = "queue";
        job.m_policy.m_pool = "pool";
        job.m_steps = {dispatch::job_step{1, {}, span(10)}};
        dispatch::job_progress progress;
        progress.m_state = dispatch::job_state::running;
        progress.m_tasks = {{{dispatch::task_progress()}}};
        dispatch::task_progress& task = progress.m_tasks[0][0][0];
        task.m_last_run = 1;
        task.m_worker = "silent";
        task.m_worker_incarnation = 1;
        task.m_worker_address = "127.0.0.1:1";
        store_transaction transaction;
        transaction.m_writes = {{"workers/silent", listed_address, 0},
                                {"workers/other", "127.0.0.1:3", 0},
                                {record_keys::submission(job_id),
                                 dispatch::encode_submission(job), 0},
                                {record_keys::progress(job_id),
                                 dispatch::encode_progress(progress), 0}};
        m_store.commit(transaction, span(100));
    }

    /// Returns whether the task starts elsewhere within 5 s.
    bool starts_elsewhere()
    {
        node_settings settings;
        settings.m_name = "test";
        settings.m_processor_share = 1;
        settings.m_status_retention = span(60'000);
        settings.m_limits.m_worker_lease = span(500);
        const node tested(
            settings, m_store, m_records,
            [this](event_loop& loop, const std::string& id, const std::string&,
                   const send_check&) -> std::unique_ptr<worker_calls>
            {
                m_sessions += id == "silent" ? 1 : 0;
                return std::make_unique<scripted_worker>(loop, id == "silent",
                                                         m_starts);
            },
            m_log, m_metrics);
        return eventually([this] { return m_starts > 0; });
    }

    node_metrics m_metrics;
    std::atomic<int> m_starts = 0;
    std::atomic<int> m_sessions = 0;
};

} // namespace

TEST_F(silent_address_test, a_silent_worker_with_one_address_loses_its_lease)
{
    store_records("127.0.0.1:1");
    EXPECT_TRUE(starts_elsewhere());
}

TEST_F(silent_address_test,
       a_silent_worker_with_another_listed_address_loses_its_lease)
{
    store_records("127.0.0.1:2");
    EXPECT_TRUE(starts_elsewhere());
}

TEST_F(silent_address_test,
       calls_of_a_silent_worker_pause_between_its_addresses)
{
    constexpr span pause_between_calls = span(350);
    store_records("127.0.0.1:2");
    const instant began = boottime_now();
    starts_elsewhere();
    EXPECT_LE(m_sessions,
              (boottime_now() - began).count() / pause_between_calls.count() +
                  2);
}

} // namespace kingcuprudder::node

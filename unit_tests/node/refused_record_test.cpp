#include "forwarding_store.hpp"
#include "node_fixture.hpp"
#include <kingcuprudder/codec/dispatch_codec.hpp>
#include <kingcuprudder/node/node.hpp>
#include <kingcuprudder/node/node_metrics.hpp>
#include <kingcuprudder/node/record_keys.hpp>

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>

namespace kingcuprudder::node
{

namespace
{

constexpr span call_timeout = span(100);
constexpr std::int64_t worker_clock = 1000;
constexpr span answer_delay = span(20);
const std::string bad_job = "00000000000000bd";

/// Does not take a transaction that writes the progress of the bad job.
class choosy_store final : public forwarding_store
{
public:
    choosy_store(record_store& inner, store_result<commit_answer> answer)
        : forwarding_store(inner), m_answer(std::move(answer))
    {
    }

    store_result<commit_answer> commit(const store_transaction& transaction,
                                       span timeout) override
    {
        const bool has_bad_record = std::any_of(
            transaction.m_writes.begin(), transaction.m_writes.end(),
            [](const record_write& each)
            { return each.m_key == record_keys::progress(bad_job); });
        if (has_bad_record)
        {
            ++m_refusals;
            return m_answer;
        }
        return forwarding_store::commit(transaction, timeout);
    }

    int refusals() const { return m_refusals; }

private:
    store_result<commit_answer> m_answer;
    std::atomic<int> m_refusals = 0;
};

/// A worker that accepts every start and runs nothing.
class accepting_worker final : public worker_calls
{
public:
    accepting_worker(event_loop& loop, std::atomic<int>& starts)
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

/// A leader with a worker and as many jobs as fit into one transaction. The
/// store does not take the record of one of them.
class refused_record_test : public node_fixture
{
protected:
    static constexpr int good_jobs = 14;

    void store_job(const std::string& id)
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
            {record_keys::progress(id),
             dispatch::encode_progress(dispatch::job_progress()), 0}};
        m_store.commit(transaction, call_timeout);
    }

    void store_jobs()
    {
        store_job(bad_job);
        for (int number = 0; number < good_jobs; ++number)
        {
            std::string id = std::to_string(number);
            store_job(id.insert(0, 16 - id.size(), '0'));
        }
        store_transaction transaction;
        transaction.m_writes = {{"workers/one", "", 0}};
        m_store.commit(transaction, call_timeout);
    }

    std::unique_ptr<node> make_node(record_store& store)
    {
        node_settings settings;
        settings.m_name = "test";
        settings.m_processor_share = 1;
        settings.m_status_retention = span(60'000);
        return std::make_unique<node>(
            settings, store, m_records,
            [this](event_loop& loop, const std::string&, const std::string&,
                   const send_check&)
            { return std::make_unique<accepting_worker>(loop, m_starts); },
            m_log, m_metrics);
    }

    node_metrics m_metrics;
    std::atomic<int> m_starts = 0;
};

} // namespace

// Guards against all jobs that wait for one record that the store never takes.
TEST_F(refused_record_test, a_record_that_is_refused_does_not_stop_other_jobs)
{
    store_jobs();
    choosy_store store(m_store, store_failure::refused);
    const std::unique_ptr<node> tested = make_node(store);
    EXPECT_TRUE(eventually([this] { return m_starts >= good_jobs; }))
        << m_starts << " started, " << store.refusals() << " refusals";
}

// Guards against the same after conflicts that repeat and name no record.
TEST_F(refused_record_test, a_record_that_always_conflicts_does_not_stop_others)
{
    store_jobs();
    choosy_store store(m_store, commit_answer(store_conflict()));
    const std::unique_ptr<node> tested = make_node(store);
    EXPECT_TRUE(eventually([this] { return m_starts >= good_jobs; }))
        << m_starts << " started, " << store.refusals() << " refusals";
}

// Guards against a store that is called all the time for a refused record.
TEST_F(refused_record_test, a_record_that_is_set_aside_is_seldom_written)
{
    store_jobs();
    choosy_store store(m_store, store_failure::refused);
    const std::unique_ptr<node> tested = make_node(store);
    ASSERT_TRUE(eventually([this] { return m_starts >= good_jobs; }));
    const int before = store.refusals();
    std::this_thread::sleep_for(std::chrono::milliseconds(3000));
    constexpr int writes_in_3_s = 4;
    EXPECT_LE(store.refusals() - before, writes_in_3_s);
}

} // namespace kingcuprudder::node

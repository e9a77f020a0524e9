#include "forwarding_store.hpp"
#include "node_fixture.hpp"
#include <kingcuprudder/codec/dispatch_codec.hpp>
#include <kingcuprudder/node/node.hpp>
#include <kingcuprudder/node/node_metrics.hpp>
#include <kingcuprudder/node/record_keys.hpp>

#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kingcuprudder::node
{

namespace
{

constexpr std::int64_t first_process = 1;
constexpr std::int64_t next_process = 2;

/// A worker whose first start gets no answer and can be carried out later, by
/// the process that then has the worker's id. Runs end at once as done.
class late_worker
{
public:
    /// Returns whether the process carries the start out.
    dispatch::order_outcome start(const dispatch::start_order& order,
                                  std::int64_t fence)
    {
        std::lock_guard lock(m_mutex);
        if (!m_late_start)
        {
            m_late_start = {order, fence};
            return dispatch::order_outcome::may_have_arrived;
        }
        return execute(order, fence);
    }

    dispatch::order_outcome stop(std::int64_t fence)
    {
        std::lock_guard lock(m_mutex);
        return accepts(fence) ? dispatch::order_outcome::accepted
                              : dispatch::order_outcome::refused_fence;
    }

    renewal_answer renew(const renewal_call& call)
    {
        std::lock_guard lock(m_mutex);
        if (!accepts(call.m_fence))
        {
            return dispatch::call_result(
                dispatch::order_outcome::refused_fence);
        }
        ++m_renewals;
        std::erase_if(m_report.m_ended, [&call](const auto& end)
                      { return end.m_number <= call.m_acknowledged; });
        m_report.m_clock += 1;
        m_report.m_incarnation = m_process;
        return m_report;
    }

    /// Replaces the process by the next one, which knows nothing.
    void restart()
    {
        std::lock_guard lock(m_mutex);
        m_process = next_process;
        m_fence = 0;
        m_renewals = 0;
        m_report = dispatch::worker_report();
        m_over.clear();
    }

    dispatch::order_outcome carry_out_late_start()
    {
        std::lock_guard lock(m_mutex);
        return execute(m_late_start->first, m_late_start->second);
    }

    /// Returns how many renewals the present process has answered.
    int renewals()
    {
        std::lock_guard lock(m_mutex);
        return m_renewals;
    }

private:
    bool accepts(std::int64_t fence)
    {
        const bool accepted = fence >= m_fence;
        m_fence = std::max(m_fence, fence);
        return accepted;
    }

    dispatch::order_outcome execute(const dispatch::start_order& order,
                                    std::int64_t fence)
    {
        if (!accepts(fence))
        {
            return dispatch::order_outcome::refused_fence;
        }
        const std::string task = order.m_run.m_task.str();
        if (!m_over.insert(task).second)
        {
            return dispatch::order_outcome::refused_old;
        }
        m_report.m_ended.push_back({++m_last_number, task, order.m_run.m_run,
                                    dispatch::run_outcome::done, ""});
        return dispatch::order_outcome::accepted;
    }

    std::mutex m_mutex;
    std::int64_t m_process = first_process;
    std::int64_t m_fence = 0;
    int m_renewals = 0;
    std::int64_t m_last_number = 0;
    dispatch::worker_report m_report;
    std::set<std::string> m_over;
    std::optional<std::pair<dispatch::start_order, std::int64_t>> m_late_start;
};

/// Calls a late_worker.
class late_worker_calls final : public worker_calls
{
public:
    late_worker_calls(event_loop& loop, late_worker& worker)
        : m_loop(loop), m_worker(worker)
    {
    }

    void start(const dispatch::start_order& order, std::int64_t fence,
               std::int64_t, span, order_done done) override
    {
        answer(m_worker.start(order, fence), done);
    }
    void stop(const dispatch::stop_order&, std::int64_t fence, span,
              order_done done) override
    {
        answer(m_worker.stop(fence), done);
    }
    void renew(const renewal_call& call, span, renewal_done done) override
    {
        constexpr span answer_delay = span(20);
        m_timer = m_loop.run_after(answer_delay, [this, call, done]
                                   { done(m_worker.renew(call)); });
    }
    void cancel() override {}

private:
    void answer(dispatch::order_outcome outcome, const order_done& done)
    {
        m_loop.post([outcome, done] { done({outcome, std::nullopt}); });
    }

    event_loop& m_loop;
    late_worker& m_worker;
    event_loop::timer m_timer;
};

/// Loses the first answer to a write that raises the fencing token.
class answer_losing_store final : public forwarding_store
{
public:
    using forwarding_store::forwarding_store;

    store_result<commit_answer> commit(const store_transaction& transaction,
                                       span timeout) override
    {
        const auto outcome = forwarding_store::commit(transaction, timeout);
        if (!m_lost && raises_fence(transaction))
        {
            m_lost = true;
            return store_failure::unknown;
        }
        return outcome;
    }

    bool has_lost_answer() const { return m_lost; }

private:
    static bool raises_fence(const store_transaction& transaction)
    {
        return !transaction.m_writes.empty() &&
               transaction.m_writes.front().m_key == record_keys::leader &&
               transaction.m_expected.front().second != 0;
    }

    std::atomic<bool> m_lost = false;
};

class late_start_test : public node_fixture
{
protected:
    late_start_test()
    {
        // An entry of the worker list is the start time of the process.
        const auto decode = m_records.m_decode_worker;
        m_records.m_decode_worker =
            [decode](const std::string& id, const std::string& value)
        {
            auto worker = decode(id, value);
            worker->m_incarnation = std::stoll(value);
            return worker;
        };
        m_settings.m_name = "test";
        m_settings.m_processor_share = 1;
        m_settings.m_status_retention = span(60'000);
    }

    std::unique_ptr<node> make_node(record_store& store)
    {
        return std::make_unique<node>(
            m_settings, store, m_records,
            [this](event_loop& loop, const std::string&, const std::string&,
                   const send_check&) -> std::unique_ptr<worker_calls>
            { return std::make_unique<late_worker_calls>(loop, m_worker); },
            m_log, m_metrics);
    }

    void list_worker(std::int64_t process)
    {
        store_transaction transaction;
        transaction.m_writes = {{"workers/w1", std::to_string(process), 0}};
        m_store.commit(transaction, span(100));
    }

    /// Stores a job of one task like an accepted one.
    void write_job(const std::string& id)
    {
        dispatch::job_submission job;
        job.m_id = id;
        job.m_account = "account";
        job.m_queue = "queue";
        job.m_policy.m_pool = "pool";
        job.m_steps = {dispatch::job_step{1, {}, span(10)}};
        dispatch::job_progress progress;
        progress.m_account = "account";
        store_transaction transaction;
        transaction.m_writes = {
            {record_keys::submission(id), dispatch::encode_submission(job), 0},
            {record_keys::progress(id), dispatch::encode_progress(progress),
             0}};
        m_store.commit(transaction, span(100));
    }

    bool is_completed(const std::string& id)
    {
        const auto found = m_store.read(record_keys::progress(id), span(100));
        if (!is_ok(found) || !std::get<0>(found))
        {
            return false;
        }
        const auto progress =
            dispatch::decode_progress(std::get<0>(found)->m_value);
        return progress && progress->m_state == dispatch::job_state::completed;
    }

    late_worker m_worker;

private:
    node_settings m_settings;
    node_metrics m_metrics;
};

} // namespace

TEST_F(late_start_test,
       a_start_of_a_completed_run_is_refused_by_the_next_process)
{
    const std::string job = "5c0e7a21d94b36f8";
    list_worker(first_process);
    write_job(job);
    const std::unique_ptr<node> tested = make_node(m_store);
    ASSERT_TRUE(eventually([&] { return is_completed(job); }));
    m_worker.restart();
    list_worker(next_process);
    ASSERT_TRUE(eventually([&] { return m_worker.renewals() > 0; }));
    EXPECT_EQ(m_worker.carry_out_late_start(),
              dispatch::order_outcome::refused_fence);
    tested->resign();
}

TEST_F(late_start_test, a_raised_token_whose_answer_is_lost_is_used)
{
    const std::string job = "5c0e7a21d94b36f8";
    const std::string next = "5c0e7a21d94b36f9";
    answer_losing_store store(m_store);
    list_worker(first_process);
    write_job(job);
    const std::unique_ptr<node> tested = make_node(store);
    ASSERT_TRUE(eventually([&] { return is_completed(job); }));
    ASSERT_TRUE(eventually([&] { return store.has_lost_answer(); }));
    write_job(next);
    EXPECT_TRUE(eventually([&] { return is_completed(next); }));
    m_worker.restart();
    list_worker(next_process);
    ASSERT_TRUE(eventually([&] { return m_worker.renewals() > 0; }));
    EXPECT_EQ(m_worker.carry_out_late_start(),
              dispatch::order_outcome::refused_fence);
    tested->resign();
}

} // namespace kingcuprudder::node

#include "node_fixture.hpp"
#include <kingcuprudder/codec/dispatch_codec.hpp>
#include <kingcuprudder/node/node.hpp>
#include <kingcuprudder/node/node_metrics.hpp>
#include <kingcuprudder/node/record_keys.hpp>
#include <kingcuprudder/runtime/http_endpoint.hpp>

#include <atomic>
#include <memory>
#include <vector>

namespace kingcuprudder::node
{

namespace
{

constexpr std::int64_t worker_clock = 1000;
constexpr span answer_delay = span(20);
constexpr span timeout = span(100);

/// A worker that counts the starts and runs nothing. Its constructor checks the
/// address like that of a worker that is called over HTTP.
class counting_worker final : public worker_calls
{
public:
    counting_worker(event_loop& loop, const std::string& address,
                    std::atomic<int>& starts)
        : m_loop(loop), m_endpoint(loop, address, timeout, [] { return true; }),
          m_starts(starts)
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
    http_endpoint m_endpoint;
    std::atomic<int>& m_starts;
    event_loop::timer m_timer;
};

/// Entries of the worker list hold the address of the worker.
class odd_worker_entry_test : public node_fixture
{
protected:
    odd_worker_entry_test()
    {
        const auto decode = m_records.m_decode_worker;
        m_records.m_decode_worker =
            [decode](const std::string& id, const std::string& value)
        {
            auto worker = decode(id, value);
            worker->m_address = value;
            return worker;
        };
    }

    void write_worker(const std::string& id, const std::string& address)
    {
        store_transaction transaction;
        transaction.m_writes = {{"workers/" + id, address, 0}};
        m_store.commit(transaction, timeout);
    }

    void write_job(const std::string& id)
    {
        dispatch::job_submission job;
        job.m_id = id;
        job.m_account = "account";
        job.m_queue = "queue";
        job.m_policy.m_pool = "pool";
        job.m_steps = {dispatch::job_step{1, {}, span(10)}};
        store_transaction transaction;
        transaction.m_writes = {
            {record_keys::submission(id), dispatch::encode_submission(job), 0},
            {record_keys::progress(id), dispatch::encode_progress({}), 0}};
        m_store.commit(transaction, timeout);
    }

    std::unique_ptr<node> make_node()
    {
        node_settings settings;
        settings.m_name = "test";
        settings.m_processor_share = 1;
        settings.m_status_retention = span(60'000);
        return std::make_unique<node>(
            settings, m_store, m_records,
            [this](event_loop& loop, const std::string&,
                   const std::string& address,
                   const send_check&) -> std::unique_ptr<worker_calls> {
                return std::make_unique<counting_worker>(loop, address,
                                                         m_starts);
            },
            m_log, m_metrics);
    }

    std::atomic<int> m_starts = 0;
    node_metrics m_metrics;
};

const std::vector<std::string> unusable_addresses = {
    "10.0.0.9",   "10.0.0.9:70000",      "10.0.0.9:-1",
    "10.0.0.9:x", "minion.example:8080", ":"};

} // namespace

// Guards against one entry for which each leader in turn gives up its term.
TEST_F(odd_worker_entry_test, an_unusable_address_does_not_end_the_term)
{
    for (std::size_t at = 0; at < unusable_addresses.size(); ++at)
    {
        write_worker("odd-" + std::to_string(at), unusable_addresses[at]);
    }
    write_worker("w1", "127.0.0.1:1");
    write_job("5c0e7a21d94b36f8");
    const std::unique_ptr<node> tested = make_node();
    EXPECT_TRUE(eventually([&] { return m_starts > 0; }));
    tested->resign();
}

TEST_F(odd_worker_entry_test,
       an_unusable_address_in_a_change_does_not_end_the_term)
{
    write_worker("w1", "127.0.0.1:1");
    write_job("5c0e7a21d94b36f8");
    const std::unique_ptr<node> tested = make_node();
    ASSERT_TRUE(eventually([&] { return m_starts > 0; }));
    const std::int64_t fence =
        std::get<0>(m_store.read(record_keys::leader, timeout))->m_revision;
    for (const std::string& address : unusable_addresses)
    {
        write_worker("w2", address);
    }
    write_job("0000000000000002");
    EXPECT_TRUE(eventually([&] { return m_starts > 1; }));
    EXPECT_EQ(
        std::get<0>(m_store.read(record_keys::leader, timeout))->m_revision,
        fence);
    tested->resign();
}

} // namespace kingcuprudder::node

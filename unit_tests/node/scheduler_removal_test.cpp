#include "forwarding_store.hpp"
#include "node_fixture.hpp"
#include <kingcuprudder/codec/dispatch_codec.hpp>
#include <kingcuprudder/node/node.hpp>
#include <kingcuprudder/node/node_metrics.hpp>
#include <kingcuprudder/node/record_keys.hpp>

#include <atomic>
#include <cstdio>
#include <memory>
#include <string>

namespace kingcuprudder::node
{

namespace
{

constexpr span call_timeout = span(100);
constexpr span hour = span::hours(1);

/// Loses the first transactions that only remove records.
class lossy_removal_store final : public forwarding_store
{
public:
    lossy_removal_store(record_store& inner, int lost)
        : forwarding_store(inner), m_lost(lost)
    {
    }

    store_result<commit_answer> commit(const store_transaction& transaction,
                                       span timeout) override
    {
        const bool only_removes =
            transaction.m_writes.empty() && !transaction.m_removals.empty();
        if (only_removes && m_lost-- > 0)
        {
            return store_failure::unknown;
        }
        return forwarding_store::commit(transaction, timeout);
    }

private:
    std::atomic<int> m_lost;
};

/// A leader beside records of ended jobs.
class scheduler_removal_test : public node_fixture
{
protected:
    static std::string id_of(int number)
    {
        std::string id = std::to_string(number);
        return id.insert(0, 16 - id.size(), '0');
    }

    /// Returns the stored progress of a job that ended this long ago.
    static std::string ended(span ago)
    {
        return R"({"state":"completed","account":"account","ended_at_ms":)" +
               std::to_string((wall_now() - ago).count()) + "}";
    }

    void write(const std::string& key, const std::string& value)
    {
        store_transaction transaction;
        transaction.m_writes = {{key, value, 0}};
        m_store.commit(transaction, call_timeout);
    }

    std::size_t count(const std::string& prefix)
    {
        return std::get<0>(m_store.list(prefix, call_timeout)).m_records.size();
    }

    std::unique_ptr<node> make_node(record_store& store, span retention)
    {
        node_settings settings;
        settings.m_name = "test";
        settings.m_processor_share = 1;
        settings.m_status_retention = retention;
        settings.m_removal_margin = span(0);
        return std::make_unique<node>(
            settings, store, m_records,
            [](event_loop&, const std::string&, const std::string&,
               const send_check&) { return std::unique_ptr<worker_calls>(); },
            m_log, m_metrics);
    }

    bool has_summary()
    {
        return std::get<0>(m_store.read(record_keys::summary, call_timeout))
            .has_value();
    }

    node_metrics m_metrics;
};

} // namespace

// Guards against ended jobs that are removed more slowly than jobs end, so that
// each takeover has more to read.
TEST_F(scheduler_removal_test, records_are_removed_as_fast_as_jobs_end)
{
    constexpr int jobs = 200; // More than end in 5 s.
    for (int number = 0; number < jobs; ++number)
    {
        write(record_keys::progress(id_of(number)), ended(hour));
    }
    const auto tested = make_node(m_store, span(0));
    EXPECT_TRUE(
        eventually([&] { return count(record_keys::progress_prefix) == 0; }))
        << count(record_keys::progress_prefix);
}

// Guards against a record that stays for the term as its removal failed once.
TEST_F(scheduler_removal_test, a_removal_that_failed_is_repeated)
{
    write(record_keys::progress(id_of(1)), ended(hour));
    lossy_removal_store store(m_store, 2);
    const auto tested = make_node(store, span(0));
    EXPECT_TRUE(
        eventually([&] { return count(record_keys::progress_prefix) == 0; }));
}

// Guards against records that never go as each new leader keeps them for the
// whole retention again.
TEST_F(scheduler_removal_test, the_retention_goes_on_under_a_new_leader)
{
    write(record_keys::progress(id_of(1)), ended(hour));
    write(record_keys::progress(id_of(2)), ended(span(0)));
    write(record_keys::progress(id_of(3)),
          R"({"state":"completed","account":"account"})");
    const auto tested = make_node(m_store, span::seconds(60));
    EXPECT_TRUE(
        eventually([&] { return count(record_keys::progress_prefix) == 2; }));
}

// Guards against a record that is removed before its retention is over, also if
// the clock of the process that wrote it is ahead.
TEST_F(scheduler_removal_test, a_job_that_has_just_ended_is_kept)
{
    write(record_keys::progress(id_of(1)), ended(span(0)));
    write(record_keys::progress(id_of(2)), ended(span(0) - hour));
    const auto tested = make_node(m_store, span::seconds(60));
    ASSERT_TRUE(eventually([&] { return has_summary(); }));
    EXPECT_FALSE(
        eventually([&] { return count(record_keys::progress_prefix) < 2; }));
}

// Guards against a cancellation that is stored as its job ends and is read by
// each later leader.
TEST_F(scheduler_removal_test, the_cancellation_of_an_ended_job_is_removed)
{
    write(record_keys::progress(id_of(1)), ended(span(0)));
    write(record_keys::cancellation(id_of(1)), "{}");
    write(record_keys::cancellation(id_of(2)), "{}");
    const auto tested = make_node(m_store, span::seconds(60));
    ASSERT_TRUE(eventually([&] { return has_summary(); }));
    write(record_keys::cancellation(id_of(3)), "{}");
    const auto all_gone = [&]
    { return count(record_keys::cancellation_prefix) == 0; };
    EXPECT_TRUE(eventually(all_gone) || eventually(all_gone));
    EXPECT_EQ(count(record_keys::progress_prefix), 1U);
}

// Guards against a late submission that is accepted, as the cancellation of its
// id was removed before it came, and against one that is kept for ever.
TEST_F(scheduler_removal_test, a_cancelled_id_without_a_job_is_retained)
{
    write(record_keys::cancellation(id_of(1)),
          dispatch::encode_cancellation_of_absent_job(wall_now() - hour));
    write(record_keys::cancellation(id_of(2)),
          dispatch::encode_cancellation_of_absent_job(wall_now()));
    const auto tested = make_node(m_store, span::seconds(60));
    ASSERT_TRUE(eventually([&] { return has_summary(); }));
    write(record_keys::cancellation(id_of(3)),
          dispatch::encode_cancellation_of_absent_job(wall_now()));
    EXPECT_TRUE(eventually(
        [&] { return count(record_keys::cancellation_prefix) == 2; }));
    EXPECT_FALSE(eventually(
        [&] { return count(record_keys::cancellation_prefix) < 2; }));
}

} // namespace kingcuprudder::node

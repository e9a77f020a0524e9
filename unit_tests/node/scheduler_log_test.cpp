#include "captured_output.hpp"
#include "forwarding_store.hpp"
#include "node_fixture.hpp"
#include <kingcuprudder/codec/dispatch_codec.hpp>
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

/// Runs a node beside the store and reads its log.
class scheduler_log_test : public node_fixture
{
protected:
    /// Returns the log of a node up to its first line of this event.
    std::string log_until(record_store& store, const std::string& event)
    {
        captured_output output;
        std::string text;
        {
            node_metrics metrics;
            node_settings settings;
            settings.m_name = "test";
            settings.m_processor_share = 1;
            settings.m_status_retention = span(60'000);
            const node tested(
                settings, store, m_records,
                [](event_loop&, const std::string&, const std::string&,
                   const send_check&)
                { return std::unique_ptr<worker_calls>(); },
                m_log, metrics);
            EXPECT_TRUE(eventually(
                [&]
                {
                    text += output.read_all();
                    return text.find("\"event\":\"" + event + "\"") !=
                           std::string::npos;
                }));
        }
        m_log.flush();
        text += output.read_all();
        output.restore();
        return text;
    }

    void write_progress(const std::string& id, dispatch::job_state state)
    {
        dispatch::job_progress progress;
        progress.m_state = state;
        store_transaction transaction;
        transaction.m_writes = {{record_keys::progress(id),
                                 dispatch::encode_progress(progress), 0}};
        m_store.commit(transaction, span(100));
    }
};

/// Fails the first list of the progress records.
class failing_list_store final : public forwarding_store
{
public:
    using forwarding_store::forwarding_store;

    store_result<record_list> list(const std::string& prefix,
                                   span timeout) override
    {
        if (prefix == record_keys::progress_prefix && !m_failed)
        {
            m_failed = true;
            return store_failure::unknown;
        }
        return forwarding_store::list(prefix, timeout);
    }

private:
    std::atomic<bool> m_failed = false;
};

} // namespace

// Guards against a job that a new leader takes up without its progress, and no
// line that says so.
TEST_F(scheduler_log_test, a_progress_record_that_is_not_decoded_is_logged)
{
    dispatch::job_submission job;
    job.m_id = "5c0e7a21d94b36f8";
    job.m_steps = {dispatch::job_step{1, {}, span(10)}};
    store_transaction transaction;
    transaction.m_writes = {{record_keys::submission(job.m_id),
                             dispatch::encode_submission(job), 0},
                            {record_keys::progress(job.m_id), "\x01", 0}};
    m_store.commit(transaction, span(100));
    const std::string text = log_until(m_store, "state_loaded");
    const std::size_t line =
        text.find("\"event\":\"progress_record_not_read\"");
    ASSERT_NE(line, std::string::npos);
    EXPECT_NE(text.find("\"id\":\"5c0e7a21d94b36f8\"", line),
              std::string::npos);
}

// Guards against a slow takeover of which the log shows neither the cause nor
// the size.
TEST_F(scheduler_log_test, the_size_and_the_attempts_of_a_load_are_logged)
{
    write_progress("5c0e7a21d94b36f8", dispatch::job_state::completed);
    failing_list_store store(m_store);
    const std::string text = log_until(store, "state_loaded");
    EXPECT_NE(text.find("\"event\":\"state_not_loaded\","
                        "\"prefix\":\"kcr/progress/\","
                        "\"reason\":\"unknown\",\"attempt\":\"1\""),
              std::string::npos)
        << text;
    const std::size_t loaded = text.find("\"event\":\"state_loaded\"");
    for (const std::string field : {"\"ended_jobs\":\"1\"", "\"records\":\"1\"",
                                    "\"attempts\":\"2\"", "\"took_ms\":"})
    {
        EXPECT_NE(text.find(field, loaded), std::string::npos) << field;
    }
}

} // namespace kingcuprudder::node

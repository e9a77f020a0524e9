#include "captured_output.hpp"
#include "node_fixture.hpp"
#include <kingcuprudder/codec/dispatch_codec.hpp>
#include <kingcuprudder/node/node.hpp>
#include <kingcuprudder/node/node_metrics.hpp>
#include <kingcuprudder/node/record_keys.hpp>

#include <memory>
#include <string>

namespace kingcuprudder::node
{

using scheduler_log_test = node_fixture;

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
    captured_output output;
    std::string text;
    {
        node_metrics metrics;
        node_settings settings;
        settings.m_name = "test";
        settings.m_processor_share = 1;
        settings.m_status_retention = span(60'000);
        const node tested(
            settings, m_store, m_records,
            [](event_loop&, const std::string&, const std::string&,
               const send_check&) { return std::unique_ptr<worker_calls>(); },
            m_log, metrics);
        EXPECT_TRUE(eventually(
            [&]
            {
                text += output.read_all();
                return text.find("\"event\":\"state_loaded\"") !=
                       std::string::npos;
            }));
    }
    m_log.flush();
    output.restore();
    const std::size_t line =
        text.find("\"event\":\"progress_record_not_read\"");
    ASSERT_NE(line, std::string::npos);
    EXPECT_NE(text.find("\"id\":\"5c0e7a21d94b36f8\"", line),
              std::string::npos);
}

} // namespace kingcuprudder::node

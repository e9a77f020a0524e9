#include <kingcuprudder/node/record_keys.hpp>

#include <platform/caller_interface.hpp>
#include <unit_tests/node/captured_output.hpp>
#include <unit_tests/node/node_fixture.hpp>

namespace kingcuprudder::node
{

namespace
{

class caller_interface_test : public node_fixture
{
protected:
    static http_request submission()
    {
        http_request request;
        request.m_method = "POST";
        request.m_path = "/queue/5c0e7a21d94b36f8";
        request.m_headers = {{"host", "host:80"},
                             {"authorization", "Bearer key"},
                             {"x-deadline-ms", "3000"}};
        request.m_body = R"({"steps":[{"count":1}]})";
        request.m_begun_at = boottime_now();
        request.m_received_at = request.m_begun_at;
        return request;
    }

    std::size_t stored_jobs()
    {
        return std::get<0>(
                   m_store.list(record_keys::submission_prefix, span(1)))
            .m_records.size();
    }

    configuration_view m_configuration{m_store, m_records, m_log};
    job_service m_jobs{m_store, m_configuration, m_log};
    node_metrics m_metrics;
    platform::caller_interface m_callers{m_jobs, m_metrics, m_log,
                                         span::seconds(180)};
};

} // namespace

TEST_F(caller_interface_test, calls_are_answered_by_method)
{
    EXPECT_EQ(m_callers.handle(submission()).m_status, 200);
    http_request query = submission();
    query.m_method = "GET";
    EXPECT_EQ(m_callers.handle(query).m_body, R"({"state":"queued"})");
    query.m_headers["authorization"] = "Bearer other";
    EXPECT_EQ(m_callers.handle(query).m_status, 401);
    query.m_method = "PATCH";
    query.m_headers["authorization"] = "Bearer key";
    EXPECT_EQ(m_callers.handle(query).m_status, 405);
}

// Guards against a request that is held until its deadline while all threads
// wait for a store that does not answer: it is refused early and truthfully.
TEST_F(caller_interface_test, a_request_that_waited_for_a_thread_is_refused)
{
    http_request late = submission();
    late.m_received_at = late.m_received_at - span(600);
    const http_response refused = m_callers.handle(late);
    EXPECT_EQ(refused.m_status, 503);
    EXPECT_EQ(refused.m_headers.count("Retry-After"), 1u);
    EXPECT_EQ(stored_jobs(), 0u);
}

// Guards against a cancelled job that is accepted when its submission comes
// late, and against a caller that is asked to repeat it within a second.
TEST_F(caller_interface_test, a_submission_of_a_cancelled_id_is_refused)
{
    http_request cancellation = submission();
    cancellation.m_method = "DELETE";
    EXPECT_EQ(m_callers.handle(cancellation).m_status, 410);
    const http_response refused = m_callers.handle(submission());
    EXPECT_EQ(refused.m_status, 503);
    EXPECT_EQ(refused.m_headers.at("Retry-After"), "180");
    EXPECT_EQ(stored_jobs(), 0u);
}

// Guards against records under paths that no job can have.
TEST_F(caller_interface_test, only_an_id_of_a_job_is_kept_as_cancelled)
{
    http_request cancellation = submission();
    cancellation.m_method = "DELETE";
    for (const char* path :
         {"/queue/", "/queue/5c0e7a21d94b36f8/x", "/queue/5c0e7a21d94b36fx"})
    {
        cancellation.m_path = path;
        EXPECT_EQ(m_callers.handle(cancellation).m_status, 410) << path;
    }
    const auto stored = m_store.list(record_keys::cancellation_prefix, span(1));
    EXPECT_TRUE(std::get<0>(stored).m_records.empty());
}

// Guards against failed status calls that the log does not tell from failed
// submissions, or whose time went by before they were begun.
TEST_F(caller_interface_test, a_refusal_is_logged_with_its_method_and_its_wait)
{
    captured_output output;
    http_request query = submission();
    query.m_method = "GET";
    query.m_headers["authorization"] = "Bearer other";
    query.m_received_at = query.m_received_at - span(100);
    EXPECT_EQ(m_callers.handle(query).m_status, 401);
    query.m_received_at = query.m_received_at - span(600);
    EXPECT_EQ(m_callers.handle(query).m_status, 503);
    m_log.flush();
    const std::string text = output.read_all();
    output.restore();
    const std::size_t refused = text.find("\"event\":\"request_refused\"");
    ASSERT_NE(refused, std::string::npos);
    for (const std::string& line :
         {text.substr(0, refused), text.substr(refused)})
    {
        EXPECT_NE(line.find("\"method\":\"GET\""), std::string::npos);
        EXPECT_NE(line.find("\"waited_ms\":\""), std::string::npos);
        EXPECT_EQ(line.find("\"waited_ms\":\"0\""), std::string::npos);
    }
}

// Guards against a caller that is told that its accepted job does not exist.
TEST_F(caller_interface_test, an_unreadable_job_is_answered_as_unavailable)
{
    ASSERT_EQ(m_callers.handle(submission()).m_status, 200);
    store_transaction damage;
    damage.m_writes = {{record_keys::progress("5c0e7a21d94b36f8"), "{", 0}};
    m_store.commit(damage, span(100));
    http_request query = submission();
    query.m_method = "GET";
    const http_response answered = m_callers.handle(query);
    EXPECT_EQ(answered.m_status, 503);
    EXPECT_EQ(answered.m_headers.count("Retry-After"), 1u);
}

// Guards against a caller that is told that the outcome of its request is
// unknown, though the request changes nothing and may be repeated at once.
TEST_F(caller_interface_test, an_abandoned_read_is_answered_as_unavailable)
{
    http_request query = submission();
    query.m_method = "GET";
    const http_response answered = m_callers.abandon(query);
    EXPECT_EQ(answered.m_status, 503);
    EXPECT_EQ(answered.m_headers.count("Retry-After"), 1u);
    EXPECT_EQ(m_callers.abandon(submission()).m_status, 504);
}

} // namespace kingcuprudder::node

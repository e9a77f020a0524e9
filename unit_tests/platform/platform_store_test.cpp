#include <kingcuprudder/runtime/http_listener.hpp>

#include <gtest/gtest.h>
#include <platform/platform_store.hpp>

#include <httplib.h>
#include <string>

namespace kingcuprudder::platform
{

namespace
{

using node::store_failure;

constexpr span timeout = span(1000);

/// A store that answers each call with the same status and body.
class platform_store_test : public ::testing::Test
{
protected:
    void answer(int status, const std::string& body)
    {
        m_status = status;
        m_body = body;
    }

    int m_status = 200;
    std::string m_body;
    http_listener m_listener{
        "127.0.0.1:0", 4,
        [this](httplib::Server& server)
        {
            const auto handler =
                [this](const httplib::Request&, httplib::Response& response)
            {
                response.status = m_status;
                response.set_content(m_body, "application/json");
            };
            server.Get("/.*", handler);
            server.Post("/.*", handler);
            server.Delete("/.*", handler);
        }};
    platform_store m_store{m_listener.address()};
};

} // namespace

// Guards against one malformed answer of the store that ends the process. The
// outcome of the call is unknown, as after a lost answer.
TEST_F(platform_store_test, malformed_answers_leave_the_outcome_unknown)
{
    for (const char* body :
         {"", "7", "[]", "{}", "null", "{\"asOf\":\"x\"}",
          "{\"asOf\":1,\"items\":7}", "{\"asOf\":1,\"items\":[7]}",
          "{\"asOf\":1,\"items\":[{\"key\":7}]}",
          "{\"asOf\":1,\"events\":[{}]}", "{\"revision\":\"x\"}",
          "{\"leaseId\":[]}"})
    {
        answer(200, body);
        EXPECT_EQ(m_store.read("k", timeout).index(), 1u) << body;
        EXPECT_EQ(m_store.list("k", timeout).index(), 1u) << body;
        EXPECT_EQ(m_store.watch("k", 1, span(10), timeout).index(), 1u) << body;
        EXPECT_EQ(std::get<1>(m_store.commit({}, timeout)),
                  store_failure::unknown)
            << body;
        EXPECT_EQ(m_store.grant_lease(span(2000), timeout).index(), 1u) << body;
    }
}

TEST_F(platform_store_test, a_conflict_that_cannot_be_read_is_unknown)
{
    for (const char* body : {"", "{}", "{\"items\":[7]}", "[]"})
    {
        answer(412, body);
        EXPECT_EQ(std::get<1>(m_store.commit({}, timeout)),
                  store_failure::unknown)
            << body;
    }
    answer(412, R"({"items":[{"key":"k","revision":4,"value":"eA=="}]})");
    const auto outcome = m_store.commit({}, timeout);
    const auto& conflict =
        std::get<node::store_conflict>(std::get<node::commit_answer>(outcome));
    ASSERT_EQ(conflict.m_records.size(), 1u);
    EXPECT_EQ(conflict.m_records[0], (node::record{"k", "x", 4}));
}

// Guards against a write that is repeated for ever, as a refusal of its content
// is taken for a lost answer.
TEST_F(platform_store_test, a_refusal_is_told_from_an_unknown_outcome)
{
    const auto failure_of_commit = [this](int status)
    {
        answer(status, "{}");
        return std::get<1>(m_store.commit({}, timeout));
    };
    for (const int status : {400, 403, 413, 422})
    {
        EXPECT_EQ(failure_of_commit(status), store_failure::refused) << status;
    }
    for (const int status : {408, 500, 502, 504})
    {
        EXPECT_EQ(failure_of_commit(status), store_failure::unknown) << status;
    }
    for (const int status : {429, 503})
    {
        EXPECT_EQ(failure_of_commit(status), store_failure::not_done) << status;
    }
    EXPECT_EQ(failure_of_commit(404), store_failure::lease_ended);
}

// Guards against a watch that asks for the same changes again and again: what
// does not fit into a response is read from a list.
TEST_F(platform_store_test, changes_over_the_limit_count_as_compacted)
{
    platform_store small(m_listener.address(), 100);
    answer(200, "{\"asOf\":1,\"events\":[" + std::string(200, ' ') + "]}");
    EXPECT_EQ(std::get<1>(small.watch("k", 1, span(10), timeout)),
              store_failure::compacted);
    EXPECT_EQ(std::get<1>(small.read("k", timeout)), store_failure::unknown);
    EXPECT_EQ(m_store.watch("k", 1, span(10), timeout).index(), 0u);
}

} // namespace kingcuprudder::platform

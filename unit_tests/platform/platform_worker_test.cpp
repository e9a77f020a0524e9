#include <gtest/gtest.h>
#include <platform/platform_worker.hpp>

namespace kingcuprudder::platform
{

namespace
{

using dispatch::order_outcome;

node::order_answer decode(int status, const std::string& body)
{
    return decode_order_answer(http_answer{status, body});
}

} // namespace

TEST(platform_worker, answers_to_orders_are_read)
{
    EXPECT_EQ(decode(200, R"({"clockMs":482113})").m_outcome,
              order_outcome::accepted);
    EXPECT_EQ(decode(200, R"({"clockMs":482113})").m_clock, 482113);
    EXPECT_EQ(decode(409, R"({"clockMs":1,"reason":"fence"})").m_outcome,
              order_outcome::refused_fence);
    EXPECT_EQ(decode(421, "").m_outcome, order_outcome::wrong_incarnation);
    EXPECT_EQ(decode(503, "").m_outcome, order_outcome::refused_busy);
    EXPECT_EQ(decode_order_answer(http_failure::not_sent).m_outcome,
              order_outcome::not_sent);
    EXPECT_EQ(decode_order_answer(http_failure::unanswered).m_outcome,
              order_outcome::may_have_arrived);
}

// Guards against one malformed answer of a worker that ends the process.
TEST(platform_worker, malformed_answers_leave_the_outcome_unknown)
{
    for (const char* body :
         {"", "[]", "7", "{\"clockMs\":\"late\"}", "{\"clockMs\":null}",
          "{\"reason\":7}", "{\"reason\":{}}", "\xff\xfe"})
    {
        EXPECT_EQ(decode(200, body).m_outcome, order_outcome::accepted);
        EXPECT_EQ(decode(200, body).m_clock, std::nullopt);
        EXPECT_EQ(decode(409, body).m_outcome, order_outcome::refused_invalid);
    }
    for (const char* body :
         {"", "{}", "{\"clockMs\":\"late\"}", "{\"clockMs\":1,\"running\":7}",
          "{\"clockMs\":1,\"running\":[7]}", "{\"clockMs\":1,\"ended\":[[]]}",
          "{\"clockMs\":1,\"ended\":[[1,2,3,4,5]]}",
          "{\"clockMs\":1,\"born\":\"now\"}"})
    {
        const node::renewal_answer answer =
            decode_renewal_answer(http_answer{200, body});
        EXPECT_EQ(answer, node::renewal_answer(order_outcome::may_have_arrived))
            << body;
    }
}

} // namespace kingcuprudder::platform

#include <gtest/gtest.h>
#include <platform/platform_worker.hpp>

#include <map>

namespace kingcuprudder::platform
{

namespace
{

using dispatch::call_failure;
using dispatch::call_result;
using dispatch::order_outcome;

node::order_answer decode(int status, const std::string& body)
{
    return decode_order_answer(http_answer{status, body});
}

} // namespace

TEST(platform_worker, answers_to_orders_are_read)
{
    EXPECT_EQ(decode(200, R"({"clockMs":482113})").m_result,
              order_outcome::accepted);
    EXPECT_EQ(decode(200, R"({"clockMs":482113})").m_clock, 482113);
    EXPECT_EQ(decode(409, R"({"clockMs":1,"reason":"fence"})").m_result,
              order_outcome::refused_fence);
    EXPECT_EQ(decode(421, "").m_result, order_outcome::wrong_incarnation);
    EXPECT_EQ(decode(503, "").m_result, order_outcome::refused_busy);
}

// Guards against a crashed worker that is logged like one that was cut off.
TEST(platform_worker, calls_without_an_answer_have_a_reason)
{
    const std::map<http_failure_cause, call_failure> reasons = {
        {http_failure_cause::unspecified, call_failure::none},
        {http_failure_cause::cancelled, call_failure::given_up},
        {http_failure_cause::refused, call_failure::connection_refused},
        {http_failure_cause::closed, call_failure::connection_closed},
        {http_failure_cause::unreachable, call_failure::unreachable},
        {http_failure_cause::timed_out, call_failure::timed_out},
        {http_failure_cause::unreadable, call_failure::unreadable_answer}};
    for (const auto& [cause, reason] : reasons)
    {
        const http_failure not_sent{http_delivery::not_sent, cause};
        const http_failure unanswered{http_delivery::unanswered, cause};
        EXPECT_EQ(decode_order_answer(not_sent).m_result,
                  call_result(order_outcome::not_sent, reason));
        EXPECT_EQ(decode_order_answer(unanswered).m_result,
                  call_result(order_outcome::may_have_arrived, reason));
        EXPECT_EQ(decode_renewal_answer(unanswered),
                  node::renewal_answer(
                      call_result(order_outcome::may_have_arrived, reason)));
    }
    EXPECT_EQ(
        decode_renewal_answer(http_answer{421, ""}),
        node::renewal_answer(call_result(order_outcome::wrong_incarnation)));
    EXPECT_EQ(decode(500, "").m_result,
              call_result(order_outcome::may_have_arrived,
                          call_failure::unreadable_answer));
}

// Guards against one malformed answer of a worker that ends the process.
TEST(platform_worker, malformed_answers_leave_the_outcome_unknown)
{
    for (const char* body :
         {"", "[]", "7", "{\"clockMs\":\"late\"}", "{\"clockMs\":null}",
          "{\"reason\":7}", "{\"reason\":{}}", "\xff\xfe"})
    {
        EXPECT_EQ(decode(200, body).m_result, order_outcome::accepted);
        EXPECT_EQ(decode(200, body).m_clock, std::nullopt);
        EXPECT_EQ(decode(409, body).m_result, order_outcome::refused_invalid);
    }
    for (const char* body :
         {"", "{}", "{\"clockMs\":\"late\"}", "{\"clockMs\":1,\"running\":7}",
          "{\"clockMs\":1,\"running\":[7]}", "{\"clockMs\":1,\"ended\":[[]]}",
          "{\"clockMs\":1,\"ended\":[[1,2,3,4,5]]}",
          "{\"clockMs\":1,\"born\":\"now\"}"})
    {
        const node::renewal_answer answer =
            decode_renewal_answer(http_answer{200, body});
        EXPECT_EQ(answer, node::renewal_answer(
                              call_result(order_outcome::may_have_arrived,
                                          call_failure::unreadable_answer)))
            << body;
    }
}

// Guards against a number that wraps around to that of another run, and against
// a conversion that is undefined.
TEST(platform_worker, a_report_with_a_number_out_of_range_is_not_read)
{
    const auto report = [](const std::string& clock, const std::string& born,
                           const std::string& run, const std::string& percent,
                           const std::string& number)
    {
        return decode_renewal_answer(http_answer{
            200, R"({"clockMs":)" + clock + R"(,"born":)" + born +
                     R"(,"running":[["t.0.0.1",)" + run + R"(,"",)" + percent +
                     R"(]],"ended":[[)" + number + R"(,"t.0.0.2",)" + run +
                     R"(,"done",""]]})"});
    };
    const node::renewal_answer unreadable{call_result(
        order_outcome::may_have_arrived, call_failure::unreadable_answer)};
    ASSERT_EQ(report("1", "2", "3", "41.5", "5").index(), 0u);
    for (const std::string number :
         {"1e400", "1e300", "-1e300", "18446744073709551615",
          "9223372036854775807", "-9223372036854775808"})
    {
        EXPECT_EQ(report(number, "2", "3", "4", "5"), unreadable) << number;
        EXPECT_EQ(report("1", number, "3", "4", "5"), unreadable) << number;
        EXPECT_EQ(report("1", "2", number, "4", "5"), unreadable) << number;
        EXPECT_EQ(report("1", "2", "3", number, "5"), unreadable) << number;
        EXPECT_EQ(report("1", "2", "3", "4", number), unreadable) << number;
        EXPECT_FALSE(decode(200, "{\"clockMs\":" + number + "}").m_clock)
            << number;
    }
    EXPECT_EQ(report("1", "2", "4294967299", "4", "5"), unreadable);
    EXPECT_EQ(report("1", "2", "-1", "4", "5"), unreadable);
    EXPECT_EQ(report("1", "2", "3", "4", "-1"), unreadable);
}

} // namespace kingcuprudder::platform

#include "recorded_log.hpp"
#include <kingcuprudder/dispatch/dispatcher.hpp>

#include <gtest/gtest.h>

#include <iterator>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuprudder::dispatch
{

namespace
{

/// A dispatcher with one worker that answers, and its log.
class worker_silence_test : public ::testing::Test
{
protected:
    worker_silence_test()
    {
        worker_description worker;
        worker.m_id = "w1";
        worker.m_address = "10.0.0.1:1";
        worker.m_incarnation = 100;
        m_dispatcher.begin_term(m_now, 1);
        m_dispatcher.worker_listed(worker, m_now);
        answer();
    }

    void answer()
    {
        worker_report report;
        report.m_incarnation = 100;
        m_dispatcher.renewal_answered("w1", report, m_now, m_now);
    }

    std::vector<log_line> lines(const std::string& event) const
    {
        return m_log.lines(event);
    }

    instant m_now = instant(1'000'000);
    recorded_log m_log;
    dispatcher m_dispatcher{dispatch_limits(), m_log.recorder()};
};

} // namespace

// Guards against a crashed worker that is logged like one that was cut off.
TEST_F(worker_silence_test, the_log_says_why_a_worker_is_silent)
{
    m_dispatcher.renewal_failed(
        "w1",
        {order_outcome::may_have_arrived, call_failure::connection_closed},
        m_now);
    answer();
    m_dispatcher.renewal_failed(
        "w1", {order_outcome::may_have_arrived, call_failure::timed_out},
        m_now);
    answer();
    m_dispatcher.renewal_failed("w1", order_outcome::refused_busy, m_now);
    const std::vector<log_line> silent = lines("worker_silent");
    ASSERT_EQ(silent.size(), 3u);
    EXPECT_EQ(silent[0].field("reason"), "connection_closed");
    EXPECT_EQ(silent[1].field("reason"), "timed_out");
    EXPECT_EQ(silent[2].field("reason"), "refused_busy");
}

// Guards against a worker whose crash goes unseen as another one is already up
// at its address, and against a line for each renewal.
TEST_F(worker_silence_test, another_incarnation_at_the_address_is_logged_once)
{
    m_dispatcher.renewal_failed(
        "w1",
        {order_outcome::may_have_arrived, call_failure::connection_closed},
        m_now);
    EXPECT_TRUE(lines("worker_replaced").empty());
    for (int renewal = 0; renewal < 3; ++renewal)
    {
        m_now = m_now + span(350);
        m_dispatcher.renewal_failed("w1", order_outcome::wrong_incarnation,
                                    m_now);
    }
    EXPECT_EQ(lines("worker_silent").size(), 1u);
    const std::vector<log_line> replaced = lines("worker_replaced");
    ASSERT_EQ(replaced.size(), 1u);
    EXPECT_EQ(replaced[0].m_id, "w1");
    EXPECT_EQ(replaced[0].field("address"), "10.0.0.1:1");
    EXPECT_EQ(replaced[0].field("last_answer_age_ms"), "350");
    answer();
    m_dispatcher.renewal_failed("w1", order_outcome::wrong_incarnation, m_now);
    EXPECT_EQ(lines("worker_silent").back().field("reason"),
              "wrong_incarnation");
    EXPECT_EQ(lines("worker_replaced").size(), 2u);
}

TEST_F(worker_silence_test, the_log_says_why_a_start_was_not_accepted)
{
    const start_order order{"w1", {{"5c0e7a21d94b36f8", 0, 0, 0}, 1}, "", ""};
    m_dispatcher.start_finished(
        order,
        {order_outcome::may_have_arrived, call_failure::connection_closed},
        m_now);
    const std::vector<log_line> refused = lines("start_not_accepted");
    ASSERT_EQ(refused.size(), 1u);
    EXPECT_EQ(refused[0].field("outcome"), "may_have_arrived");
    EXPECT_EQ(refused[0].field("reason"), "connection_closed");
}

TEST(call_result, each_reason_has_its_own_name)
{
    std::set<std::string_view> names;
    constexpr call_failure all[] = {
        call_failure::given_up,          call_failure::connection_refused,
        call_failure::connection_closed, call_failure::unreachable,
        call_failure::timed_out,         call_failure::unreadable_answer};
    for (const call_failure failure : all)
    {
        names.insert(to_string({order_outcome::may_have_arrived, failure}));
    }
    names.insert(to_string(call_result(order_outcome::wrong_incarnation)));
    EXPECT_EQ(names.size(), std::size(all) + 1);
    EXPECT_TRUE(names.contains("wrong_incarnation"));
}

} // namespace kingcuprudder::dispatch

#include <kingcuprudder/request/request_session.hpp>

#include <gtest/gtest.h>

namespace kingcuprudder
{
namespace
{

const instant start(1'000'000);
const account_id account("a");
const service_id service("s");

// Drives one session and records its effects. The tests run the timers.
class session_driver
{
public:
    explicit session_driver(bool idempotent, int targets = 3) : m_router(10, 3)
    {
        auto settings = std::make_shared<effective_settings>();
        settings->m_accounts[account];
        settings->m_services[service];
        m_router.on_settings(settings);
        std::vector<listed_target> list;
        for (int i = 0; i < targets; ++i)
        {
            const instance_id id("m" + std::to_string(i));
            list.push_back({{service, id, "1", id.str()}, false});
        }
        m_router.targets().on_list(list, start);
        EXPECT_TRUE(succeeded(m_router.admit(account, service)));
        service_request request;
        request.m_key = {account, request_id("r")};
        request.m_service = service;
        request.m_idempotent = idempotent;
        request.m_deadline = start + span::seconds(10);
        m_session =
            std::make_unique<request_session>(request, "holder", m_router);
        take(m_session->start(m_now));
    }

    void take(const request_session::effects& effects)
    {
        for (const session_effect& each : effects)
        {
            std::visit([this](const auto& effect) { note(effect); }, each);
        }
    }

    void permit(const result<caller_reply>& reply)
    {
        take(m_session->on_permit(m_permit_requests.back().m_call, reply,
                                  m_now));
    }

    void answer(target_outcome outcome, const std::string& body = "")
    {
        target_answer from_target;
        from_target.m_outcome = outcome;
        from_target.m_body = body;
        take(m_session->on_target_answer(m_calls.back().m_call, from_target,
                                         m_now));
    }

    void reported(const result<caller_reply>& reply)
    {
        take(m_session->on_report(m_reports.back().m_call, reply, m_now));
    }

    // Advances the time to the last requested timer and runs it.
    void run_timer()
    {
        ASSERT_FALSE(m_waits.empty());
        m_now = std::max(m_now, m_waits.back());
        take(m_session->on_timer(m_now));
    }

    request_router m_router;
    std::unique_ptr<request_session> m_session;
    instant m_now = start;
    std::vector<ask_permit> m_permit_requests;
    std::vector<call_target> m_calls;
    std::vector<report_outcome> m_reports;
    std::vector<instant> m_waits;
    std::vector<result<request_answer>> m_answers;

private:
    void note(const ask_permit& effect) { m_permit_requests.push_back(effect); }
    void note(const call_target& effect) { m_calls.push_back(effect); }
    void note(const report_outcome& effect) { m_reports.push_back(effect); }
    void note(const wait_until& effect) { m_waits.push_back(effect.m_at); }
    void note(const answer_caller& effect)
    {
        m_answers.push_back(effect.m_answer);
    }
};

const result<caller_reply> granted = caller_reply(permit_granted{});
const result<caller_reply> acknowledged = caller_reply(ok{});

error failure(error_code code, verdict outcome)
{
    return error{code, "", outcome};
}

void expect_error(const session_driver& driver, error_code code,
                  verdict outcome)
{
    ASSERT_EQ(driver.m_answers.size(), 1U);
    ASSERT_FALSE(succeeded(driver.m_answers[0]));
    EXPECT_EQ(error_of(driver.m_answers[0]).m_code, code);
    EXPECT_EQ(error_of(driver.m_answers[0]).m_verdict, outcome);
}

// Guards against a second dispatch after each outcome of the first one, and
// against a "not run" that is not true.
TEST(request_session, each_outcome_of_a_request_that_is_not_idempotent)
{
    struct row
    {
        target_outcome m_outcome;
        bool m_retried;
        verdict m_verdict;
    };
    for (const row& each :
         {row{target_outcome::answered, false, verdict::ran},
          row{target_outcome::refused, true, verdict::not_run},
          row{target_outcome::not_sent, true, verdict::not_run},
          row{target_outcome::rejected, false, verdict::may_have_run},
          row{target_outcome::failed, false, verdict::may_have_run},
          row{target_outcome::unknown, false, verdict::may_have_run}})
    {
        session_driver driver(false);
        EXPECT_TRUE(driver.m_calls.empty()) << "sent without a permit";
        driver.permit(granted);
        ASSERT_EQ(driver.m_calls.size(), 1U);
        driver.answer(each.m_outcome, "body");
        if (each.m_retried)
        {
            driver.run_timer();
            ASSERT_EQ(driver.m_calls.size(), 2U);
            EXPECT_NE(driver.m_calls[0].m_target, driver.m_calls[1].m_target);
            continue;
        }
        EXPECT_EQ(driver.m_calls.size(), 1U);
        ASSERT_EQ(driver.m_reports.size(), 1U);
        EXPECT_EQ(driver.m_reports[0].m_outcome.m_verdict, each.m_verdict);
        EXPECT_EQ(driver.m_answers.size(), 1U);
        driver.reported(acknowledged);
        EXPECT_TRUE(driver.m_session->finished());
        EXPECT_EQ(driver.m_router.in_flight(), 0U);
    }
}

// Guards against a lost answer of the owner that fails the request or lets
// another token acquire the permit.
TEST(request_session, asks_again_with_the_same_token_when_the_answer_is_lost)
{
    session_driver driver(false);
    driver.permit(failure(error_code::connection_lost, verdict::may_have_run));
    driver.run_timer();
    driver.permit(failure(error_code::not_owner, verdict::not_run));
    driver.run_timer();
    ASSERT_EQ(driver.m_permit_requests.size(), 3U);
    EXPECT_EQ(driver.m_permit_requests[0].m_permit,
              driver.m_permit_requests[2].m_permit);
    driver.permit(granted);
    EXPECT_EQ(driver.m_calls.size(), 1U);
}

// Guards against "not run" for a request whose permit another session may
// hold.
TEST(request_session, an_unclear_permit_is_reported_as_may_have_run)
{
    for (const bool reached : {false, true})
    {
        session_driver driver(false);
        while (driver.m_answers.empty())
        {
            driver.permit(
                failure(error_code::connection_lost,
                        reached ? verdict::may_have_run : verdict::not_run));
            if (driver.m_answers.empty())
            {
                driver.run_timer();
            }
        }
        EXPECT_TRUE(driver.m_calls.empty());
        expect_error(driver,
                     reached ? error_code::deadline_exceeded
                             : error_code::owner_unavailable,
                     reached ? verdict::may_have_run : verdict::not_run);
        EXPECT_EQ(driver.m_reports.size(), reached ? 1U : 0U);
        EXPECT_EQ(driver.m_now, driver.m_session->request().m_deadline);
    }
}

TEST(request_session, a_refused_permit_ends_the_request_at_once)
{
    for (const error_code code :
         {error_code::store_unavailable, error_code::id_conflict,
          error_code::limit_reached})
    {
        session_driver driver(false);
        driver.permit(failure(code, verdict::not_run));
        expect_error(driver, code, verdict::not_run);
        EXPECT_TRUE(driver.m_calls.empty());
        // The store may have recorded the permit although it did not answer.
        ASSERT_EQ(driver.m_reports.size(),
                  code == error_code::store_unavailable ? 1U : 0U);
        if (!driver.m_reports.empty())
        {
            driver.reported(failure(error_code::id_conflict, verdict::not_run));
        }
        EXPECT_TRUE(driver.m_session->finished());
    }
}

// Guards against losing the recorded answer of a request that a caller
// repeats through another entry process.
TEST(request_session, tells_the_recorded_outcome_of_an_earlier_dispatch)
{
    session_driver ran(false);
    ran.permit(caller_reply(permit_ended{verdict::ran, "first answer"}));
    ASSERT_EQ(ran.m_answers.size(), 1U);
    EXPECT_EQ(value_of(ran.m_answers[0]).m_body, "first answer");
    EXPECT_TRUE(ran.m_session->finished());

    session_driver unclear(false);
    unclear.permit(caller_reply(permit_ended{verdict::may_have_run, ""}));
    expect_error(unclear, error_code::connection_lost, verdict::may_have_run);
}

// Guards against late and duplicate answers that restart or end a session.
TEST(request_session, ignores_late_and_duplicate_answers)
{
    session_driver driver(false);
    driver.permit(granted);
    driver.permit(granted);
    ASSERT_EQ(driver.m_calls.size(), 1U);
    driver.answer(target_outcome::not_sent);
    driver.answer(target_outcome::answered, "late");
    EXPECT_TRUE(driver.m_answers.empty());
    driver.run_timer();
    ASSERT_EQ(driver.m_calls.size(), 2U);
    driver.answer(target_outcome::answered, "own");
    driver.answer(target_outcome::answered, "again");
    ASSERT_EQ(driver.m_answers.size(), 1U);
    EXPECT_EQ(value_of(driver.m_answers[0]).m_body, "own");
}

// Guards against an outcome that is lost with one answer of the owner, and
// against reports that never stop.
TEST(request_session, reports_until_acknowledged_or_5_s_after_the_deadline)
{
    session_driver driver(false);
    driver.permit(granted);
    driver.answer(target_outcome::answered, "body");
    while (!driver.m_session->finished())
    {
        driver.reported(
            failure(error_code::owner_unavailable, verdict::not_run));
        driver.run_timer();
    }
    EXPECT_GE(driver.m_now, driver.m_session->request().m_deadline +
                                request_session::report_grace_period);
    for (const report_outcome& each : driver.m_reports)
    {
        EXPECT_EQ(each.m_outcome, driver.m_reports[0].m_outcome);
    }
    EXPECT_EQ(driver.m_answers.size(), 1U);
}

// Guards against an idempotent request that spends its whole deadline on one
// unresponsive minion.
TEST(request_session, an_idempotent_request_survives_an_unresponsive_minion)
{
    session_driver driver(true);
    ASSERT_EQ(driver.m_calls.size(), 1U) << "no permit is needed";
    EXPECT_EQ(driver.m_calls[0].m_timeout, span::seconds(5));
    driver.m_now = driver.m_now + span::seconds(5);
    driver.answer(target_outcome::unknown);
    driver.run_timer();
    ASSERT_EQ(driver.m_calls.size(), 2U);
    driver.answer(target_outcome::answered, "body");
    EXPECT_TRUE(succeeded(driver.m_answers.at(0)));
    EXPECT_TRUE(driver.m_reports.empty());
}

// Guards against retries beyond the budget and against a verdict that ignores
// an earlier attempt.
TEST(request_session, an_idempotent_request_fails_when_the_budget_is_used_up)
{
    session_driver driver(true);
    while (driver.m_router.try_take_retry(service))
    {
    }
    driver.answer(target_outcome::failed);
    expect_error(driver, error_code::failed, verdict::may_have_run);

    session_driver again(true, 1);
    again.answer(target_outcome::unknown);
    again.run_timer();
    while (again.m_router.try_take_retry(service))
    {
    }
    again.answer(target_outcome::refused);
    expect_error(again, error_code::target_unavailable, verdict::may_have_run);
}

// Guards against waiting forever for a service without live targets.
TEST(request_session, refuses_after_a_bounded_wait_for_a_target)
{
    session_driver driver(true, 0);
    while (driver.m_answers.empty())
    {
        driver.run_timer();
    }
    expect_error(driver, error_code::target_unavailable, verdict::not_run);
    EXPECT_LT(driver.m_now - start, span::seconds(4));
    EXPECT_EQ(driver.m_router.in_flight(), 0U);
}

// Guards against a dispatch after the deadline, when the owner may already
// have closed the permit.
TEST(request_session, sends_nothing_after_the_deadline)
{
    session_driver driver(false);
    driver.m_now = driver.m_session->request().m_deadline;
    driver.permit(granted);
    EXPECT_TRUE(driver.m_calls.empty());
    expect_error(driver, error_code::deadline_exceeded, verdict::not_run);
    EXPECT_EQ(driver.m_reports.at(0).m_outcome.m_verdict, verdict::not_run);
}

} // namespace
} // namespace kingcuprudder

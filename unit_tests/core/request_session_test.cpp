#include <kingcuprudder/request/request_session.hpp>

#include <gtest/gtest.h>

namespace kingcuprudder
{
namespace
{

const instant start(1'000'000);
const account_id account("a");
const service_id service("s");

// One session and what it asks for. Timers are run by hand.
class session_bench
{
public:
    explicit session_bench(bool idempotent, int targets = 3) : m_router(10, 3)
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
        take(m_session->on_permit(m_asked.back().m_call, reply, m_now));
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

    // Advances to the timer that the session asked for last.
    void run_timer()
    {
        ASSERT_FALSE(m_waits.empty());
        m_now = std::max(m_now, m_waits.back());
        take(m_session->on_timer(m_now));
    }

    request_router m_router;
    std::unique_ptr<request_session> m_session;
    instant m_now = start;
    std::vector<ask_permit> m_asked;
    std::vector<call_target> m_calls;
    std::vector<report_outcome> m_reports;
    std::vector<instant> m_waits;
    std::vector<result<request_answer>> m_answers;

private:
    void note(const ask_permit& effect) { m_asked.push_back(effect); }
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

void expect_error(const session_bench& bench, error_code code, verdict outcome)
{
    ASSERT_EQ(bench.m_answers.size(), 1U);
    ASSERT_FALSE(succeeded(bench.m_answers[0]));
    EXPECT_EQ(error_of(bench.m_answers[0]).m_code, code);
    EXPECT_EQ(error_of(bench.m_answers[0]).m_verdict, outcome);
}

// Guards against a second dispatch after each outcome of the first one, and
// against a "not run" that is not true.
TEST(request_session, each_outcome_of_a_request_that_is_not_idempotent)
{
    struct row
    {
        target_outcome m_outcome;
        bool m_tried_again;
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
        session_bench bench(false);
        EXPECT_TRUE(bench.m_calls.empty()) << "sent without a permit";
        bench.permit(granted);
        ASSERT_EQ(bench.m_calls.size(), 1U);
        bench.answer(each.m_outcome, "body");
        if (each.m_tried_again)
        {
            bench.run_timer();
            ASSERT_EQ(bench.m_calls.size(), 2U);
            EXPECT_NE(bench.m_calls[0].m_target, bench.m_calls[1].m_target);
            continue;
        }
        EXPECT_EQ(bench.m_calls.size(), 1U);
        ASSERT_EQ(bench.m_reports.size(), 1U);
        EXPECT_EQ(bench.m_reports[0].m_outcome.m_verdict, each.m_verdict);
        EXPECT_EQ(bench.m_answers.size(), 1U);
        bench.reported(acknowledged);
        EXPECT_TRUE(bench.m_session->finished());
        EXPECT_EQ(bench.m_router.in_flight(), 0U);
    }
}

// Guards against a lost answer of the owner that costs the request or lets
// another token take the permit.
TEST(request_session, asks_again_with_the_same_token_when_the_answer_is_lost)
{
    session_bench bench(false);
    bench.permit(failure(error_code::connection_lost, verdict::may_have_run));
    bench.run_timer();
    bench.permit(failure(error_code::not_owner, verdict::not_run));
    bench.run_timer();
    ASSERT_EQ(bench.m_asked.size(), 3U);
    EXPECT_EQ(bench.m_asked[0].m_permit, bench.m_asked[2].m_permit);
    bench.permit(granted);
    EXPECT_EQ(bench.m_calls.size(), 1U);
}

// Guards against "not run" for a request whose permit another session may
// hold.
TEST(request_session, an_unclear_permit_is_reported_as_may_have_run)
{
    for (const bool reached : {false, true})
    {
        session_bench bench(false);
        while (bench.m_answers.empty())
        {
            bench.permit(
                failure(error_code::connection_lost,
                        reached ? verdict::may_have_run : verdict::not_run));
            if (bench.m_answers.empty())
            {
                bench.run_timer();
            }
        }
        EXPECT_TRUE(bench.m_calls.empty());
        expect_error(bench,
                     reached ? error_code::deadline_exceeded
                             : error_code::owner_unavailable,
                     reached ? verdict::may_have_run : verdict::not_run);
        EXPECT_EQ(bench.m_reports.size(), reached ? 1U : 0U);
        EXPECT_EQ(bench.m_now, bench.m_session->request().m_deadline);
    }
}

TEST(request_session, a_refused_permit_ends_the_request_at_once)
{
    for (const error_code code :
         {error_code::store_unavailable, error_code::id_conflict,
          error_code::limit_reached})
    {
        session_bench bench(false);
        bench.permit(failure(code, verdict::not_run));
        expect_error(bench, code, verdict::not_run);
        EXPECT_TRUE(bench.m_calls.empty());
        // The store may have taken the permit although it did not answer.
        ASSERT_EQ(bench.m_reports.size(),
                  code == error_code::store_unavailable ? 1U : 0U);
        if (!bench.m_reports.empty())
        {
            bench.reported(failure(error_code::id_conflict, verdict::not_run));
        }
        EXPECT_TRUE(bench.m_session->finished());
    }
}

// Guards against losing the recorded answer of a request that a caller
// repeats through another entry process.
TEST(request_session, tells_the_recorded_outcome_of_an_earlier_dispatch)
{
    session_bench ran(false);
    ran.permit(caller_reply(permit_ended{verdict::ran, "first answer"}));
    ASSERT_EQ(ran.m_answers.size(), 1U);
    EXPECT_EQ(value_of(ran.m_answers[0]).m_body, "first answer");
    EXPECT_TRUE(ran.m_session->finished());

    session_bench unclear(false);
    unclear.permit(caller_reply(permit_ended{verdict::may_have_run, ""}));
    expect_error(unclear, error_code::connection_lost, verdict::may_have_run);
}

// Guards against late and duplicate answers that restart or end a session.
TEST(request_session, ignores_late_and_duplicate_answers)
{
    session_bench bench(false);
    bench.permit(granted);
    bench.permit(granted);
    ASSERT_EQ(bench.m_calls.size(), 1U);
    bench.answer(target_outcome::not_sent);
    bench.answer(target_outcome::answered, "late");
    EXPECT_TRUE(bench.m_answers.empty());
    bench.run_timer();
    ASSERT_EQ(bench.m_calls.size(), 2U);
    bench.answer(target_outcome::answered, "own");
    bench.answer(target_outcome::answered, "again");
    ASSERT_EQ(bench.m_answers.size(), 1U);
    EXPECT_EQ(value_of(bench.m_answers[0]).m_body, "own");
}

// Guards against an outcome that is lost with one answer of the owner, and
// against reporting without an end.
TEST(request_session, reports_until_acknowledged_or_5_s_after_the_deadline)
{
    session_bench bench(false);
    bench.permit(granted);
    bench.answer(target_outcome::answered, "body");
    while (!bench.m_session->finished())
    {
        bench.reported(
            failure(error_code::owner_unavailable, verdict::not_run));
        bench.run_timer();
    }
    EXPECT_GE(bench.m_now, bench.m_session->request().m_deadline +
                               request_session::report_after_deadline);
    for (const report_outcome& each : bench.m_reports)
    {
        EXPECT_EQ(each.m_outcome, bench.m_reports[0].m_outcome);
    }
    EXPECT_EQ(bench.m_answers.size(), 1U);
}

// Guards against a silent minion that costs an idempotent request its whole
// deadline.
TEST(request_session, an_idempotent_request_survives_a_silent_minion)
{
    session_bench bench(true);
    ASSERT_EQ(bench.m_calls.size(), 1U) << "no permit is needed";
    EXPECT_EQ(bench.m_calls[0].m_timeout, span::seconds(5));
    bench.m_now = bench.m_now + span::seconds(5);
    bench.answer(target_outcome::unknown);
    bench.run_timer();
    ASSERT_EQ(bench.m_calls.size(), 2U);
    bench.answer(target_outcome::answered, "body");
    EXPECT_TRUE(succeeded(bench.m_answers.at(0)));
    EXPECT_TRUE(bench.m_reports.empty());
}

// Guards against retries beyond the budget and against a verdict that
// forgets an earlier try.
TEST(request_session, an_idempotent_request_fails_when_the_budget_is_used_up)
{
    session_bench bench(true);
    while (bench.m_router.try_take_retry(service))
    {
    }
    bench.answer(target_outcome::failed);
    expect_error(bench, error_code::failed, verdict::may_have_run);

    session_bench again(true, 1);
    again.answer(target_outcome::unknown);
    again.run_timer();
    while (again.m_router.try_take_retry(service))
    {
    }
    again.answer(target_outcome::refused);
    expect_error(again, error_code::target_unavailable, verdict::may_have_run);
}

// Guards against waiting without an end for a service without live targets.
TEST(request_session, refuses_after_a_bounded_wait_for_a_target)
{
    session_bench bench(true, 0);
    while (bench.m_answers.empty())
    {
        bench.run_timer();
    }
    expect_error(bench, error_code::target_unavailable, verdict::not_run);
    EXPECT_LT(bench.m_now - start, span::seconds(4));
    EXPECT_EQ(bench.m_router.in_flight(), 0U);
}

// Guards against a dispatch after the deadline, when the owner may already
// have closed the permit.
TEST(request_session, sends_nothing_after_the_deadline)
{
    session_bench bench(false);
    bench.m_now = bench.m_session->request().m_deadline;
    bench.permit(granted);
    EXPECT_TRUE(bench.m_calls.empty());
    expect_error(bench, error_code::deadline_exceeded, verdict::not_run);
    EXPECT_EQ(bench.m_reports.at(0).m_outcome.m_verdict, verdict::not_run);
}

} // namespace
} // namespace kingcuprudder

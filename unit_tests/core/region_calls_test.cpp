#include "fault_scenario.hpp"

#include <gtest/gtest.h>

namespace kingcuprudder
{
namespace
{

/// First number of the test's calls, above those of the harness's callers.
constexpr call_number first_call = 1'000'000;

class region_calls : public testing::Test
{
protected:
    struct received_reply
    {
        result<caller_reply> m_reply;
        instant m_at;
    };

    /// Uses one instance, so that an append that is undecided after an outage
    /// is settled by its own owner and not fenced by another one.
    region_calls() : m_harness({.m_seed = 3, .m_instances = 1})
    {
        m_harness.hooks().m_on_effects = [this](std::size_t, auto& effects)
        {
            for (const owner_effect& each : effects)
            {
                if (const auto* answer = std::get_if<caller_answer>(&each))
                {
                    EXPECT_FALSE(m_replies.contains(answer->m_call));
                    m_replies[answer->m_call] = {answer->m_reply,
                                                 m_harness.now()};
                }
            }
        };
        m_harness.run_for(span::seconds(2));
    }

    call_number ask(decltype(caller_call::m_request) request)
    {
        const call_number number = first_call + ++m_asked;
        m_harness.call(*m_harness.owner(), {number, std::move(request)});
        return number;
    }

    submit_job job(const std::string& id) const
    {
        submit_job request;
        request.m_spec.m_key = {account_id("a"), job_id(id)};
        request.m_spec.m_shape = {1, 1, 1, 1, proximity::region};
        return request;
    }

    request_permit permit(const std::string& holder) const
    {
        return {{account_id("a"), request_id("r")},
                9,
                holder,
                m_harness.now() + span::seconds(4)};
    }

    error refusal(call_number call)
    {
        return m_replies.contains(call) && !succeeded(m_replies[call].m_reply)
                   ? error_of(m_replies[call].m_reply)
                   : error{};
    }

    template <class Reply>
    bool answered_with(call_number call)
    {
        return m_replies.contains(call) && succeeded(m_replies[call].m_reply) &&
               std::holds_alternative<Reply>(value_of(m_replies[call].m_reply));
    }

    fault_harness m_harness;
    std::map<call_number, received_reply> m_replies;
    call_number m_asked = 0;
};

// Guards against a caller that waits for the end of an outage, and against the
// verdict "not run" for a submission whose record may still commit.
TEST_F(region_calls, outage_is_answered_within_a_second)
{
    m_harness.store().set_down_until(m_harness.now() + span::seconds(30));
    const instant asked = m_harness.now();
    const call_number sent = ask(job("sent"));
    const call_number held = ask(job("held"));
    m_harness.run_for(span(1100));
    EXPECT_EQ(refusal(sent).m_code, error_code::store_unavailable);
    EXPECT_EQ(refusal(sent).m_verdict, verdict::may_have_run);
    EXPECT_EQ(refusal(held).m_code, error_code::store_unavailable);
    EXPECT_EQ(refusal(held).m_verdict, verdict::not_run);
    EXPECT_LE((m_replies[sent].m_at - asked).count(), 1100);

    const call_number later = ask(job("later"));
    const call_number permitted = ask(permit("h"));
    EXPECT_EQ(refusal(later).m_verdict, verdict::not_run);
    EXPECT_EQ(refusal(permitted).m_code, error_code::store_unavailable);

    m_harness.run_for(span::minutes(1));
    EXPECT_TRUE(answered_with<job_status>(
        ask(query_job{job("sent").m_spec.m_key, false, {}})));
    const call_number gone =
        ask(query_job{job("held").m_spec.m_key, false, {}});
    EXPECT_EQ(refusal(gone).m_code, error_code::unknown_job);
}

// Guards against a job that replaces another one under its id, and against a
// queue without bound.
TEST_F(region_calls, conflicts_and_limits_are_refused)
{
    effective_settings settings = m_harness.settings();
    settings.m_revision = 2;
    settings.m_accounts[account_id("a")].m_max_queued_jobs = 2;
    m_harness.set_settings(settings);
    submit_job large = job("one");
    large.m_spec.m_shape.m_accelerators_per_task = 4;
    large.m_spec.m_shape.m_tasks = 6;
    ask(large);
    ask(job("two"));
    const call_number third = ask(job("three"));
    EXPECT_EQ(refusal(third).m_code, error_code::limit_reached);
    EXPECT_EQ(refusal(third).m_verdict, verdict::not_run);
    const call_number other = ask(job("one"));
    EXPECT_EQ(refusal(other).m_code, error_code::id_conflict);
    m_harness.run_for(span(100));
    EXPECT_TRUE(answered_with<job_status>(ask(large)));
    EXPECT_EQ(refusal(ask(job("one"))).m_code, error_code::id_conflict);
    large.m_spec.m_key.m_job = job_id("never");
    large.m_spec.m_shape.m_tasks = 7;
    m_harness.run_for(span::seconds(1));
    EXPECT_EQ(refusal(ask(large)).m_code, error_code::never_fits);
}

// Guards against two dispatches of one request.
TEST_F(region_calls, a_permit_is_granted_to_one_holder)
{
    const call_number first = ask(permit("h1"));
    const call_number other = ask(permit("h2"));
    m_harness.run_for(span(100));
    EXPECT_TRUE(answered_with<permit_granted>(first));
    EXPECT_FALSE(m_replies.contains(other));
    EXPECT_TRUE(answered_with<permit_granted>(ask(permit("h1"))));

    const request_key key{account_id("a"), request_id("r")};
    ask(end_request{key, "h1", verdict::ran, "answer"});
    m_harness.run_for(span(100));
    EXPECT_TRUE(answered_with<permit_ended>(other));
    EXPECT_TRUE(answered_with<permit_ended>(ask(permit("h1"))));
}

// Guards against a permit that stays open after its holder has crashed.
TEST_F(region_calls, a_permit_without_an_outcome_expires)
{
    ask(permit("h1"));
    m_harness.run_for(span::seconds(8));
    const call_number early = ask(permit("h2"));
    m_harness.run_for(span::seconds(2));
    ASSERT_TRUE(answered_with<permit_ended>(early));
    const auto& reply = value_of(m_replies[early].m_reply);
    EXPECT_EQ(std::get<permit_ended>(reply).m_verdict, verdict::may_have_run);
}

// Guards against calls that are never answered when the owner changes.
TEST_F(region_calls, step_down_answers_every_call)
{
    ask(job("j"));
    m_harness.run_for(span(100));
    const call_number waiting = ask(query_job{
        job("j").m_spec.m_key, true, m_harness.now() + span::minutes(10)});
    m_harness.drain(*m_harness.owner());
    m_harness.run_for(span::seconds(1));
    EXPECT_EQ(refusal(waiting).m_code, error_code::not_owner);
}

// Guards against planning or writing each of many concurrent cancellations
// separately.
TEST_F(region_calls, a_cancellation_wave_is_one_pass)
{
    constexpr int wave = 5000;
    for (int each = 0; each < wave; ++each)
    {
        submit_job request = job("w" + std::to_string(each));
        request.m_spec.m_shape = {6, 4, 1, 1, proximity::region};
        ask(request);
    }
    m_harness.run_for(span::seconds(1));
    const std::uint64_t calls = m_harness.store().calls();
    call_number last = 0;
    for (int each = 0; each < wave; ++each)
    {
        last = ask(cancel_job{job("w" + std::to_string(each)).m_spec.m_key});
    }
    m_harness.run_for(span::seconds(1));
    EXPECT_TRUE(answered_with<job_status>(last));
    EXPECT_LT(m_harness.store().calls() - calls, 60U);
}

} // namespace
} // namespace kingcuprudder

#include <kingcuprudder/request/request_session.hpp>

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <rapidcheck.h>
#include <sstream>
#include <utility>

namespace kingcuprudder
{
namespace
{

const instant start(1'000'000);
const span deadline = span::seconds(4);
const request_key key{account_id("a"), request_id("r")};
const service_id service("s");

// A model of the owner's permit table, as the design page describes it.
class permit_table_model
{
public:
    // Returns nothing while the permit is pending: the owner answers later.
    std::optional<caller_reply> ask(const request_permit& asked, instant now)
    {
        tick(now);
        if (!m_holder)
        {
            m_holder = asked.m_holder;
            m_deadline = asked.m_deadline;
            return permit_granted{};
        }
        if (m_ended)
        {
            return *m_ended;
        }
        return *m_holder == asked.m_holder
                   ? std::optional<caller_reply>(permit_granted{})
                   : std::nullopt;
    }

    void end(const end_request& outcome, instant now)
    {
        tick(now);
        if (m_holder == outcome.m_holder && !m_ended)
        {
            m_ended = permit_ended{outcome.m_verdict, outcome.m_answer};
        }
    }

    void tick(instant now)
    {
        if (m_holder && !m_ended && now >= m_deadline + span::seconds(5))
        {
            m_ended = permit_ended{verdict::may_have_run, ""};
        }
    }

private:
    std::optional<std::string> m_holder;
    instant m_deadline;
    std::optional<permit_ended> m_ended;
};

// One caller's call on one entry process.
struct entry_call
{
    entry_call() : m_router(10, 11) {}

    request_router m_router;
    std::unique_ptr<request_session> m_session;
    std::deque<session_effect> m_open;
    std::vector<instant> m_timers;
    bool m_killed = false;
    bool m_reached_owner = false;
    bool m_pending = false;
    int m_dispatches_that_ran = 0;
    int m_dispatches_unknown = 0;
    std::optional<result<request_answer>> m_caller_answer;
};

// Simulates the owner, the targets and the timers for several sessions of the
// same request, each on its own entry process. The steps choose the faults.
class request_simulation
{
public:
    void step(std::uint32_t choice)
    {
        if (choice % 11 == 0 && m_calls.size() < 3)
        {
            begin_call();
        }
        else if (!m_calls.empty())
        {
            advance(*m_calls[choice / 11 % m_calls.size()], choice / 77);
        }
    }

    // Runs all sessions to their end without further faults.
    void finish()
    {
        for (int i = 0; i < 4000; ++i)
        {
            m_now = m_now + span(10);
            for (auto& each : m_calls)
            {
                if (!each->m_killed)
                {
                    run_due_timers(*each);
                    execute_next(*each, 0);
                }
            }
        }
        for (auto& each : m_calls)
        {
            RC_ASSERT(each->m_killed || each->m_session->finished());
        }
    }

    int runs() const { return m_runs; }

private:
    void begin_call()
    {
        auto call = std::make_unique<entry_call>();
        auto settings = std::make_shared<effective_settings>();
        settings->m_accounts[key.m_account];
        settings->m_services[service];
        call->m_router.on_settings(settings);
        std::vector<listed_target> minions;
        for (const char* name : {"m1", "m2", "m3"})
        {
            minions.push_back({{service, instance_id(name), "1", name}, false});
        }
        call->m_router.targets().on_list(minions, m_now);
        RC_ASSERT(succeeded(call->m_router.admit(key.m_account, service)));
        service_request request;
        request.m_key = key;
        request.m_service = service;
        request.m_idempotent = false;
        request.m_deadline = m_now + deadline;
        call->m_session = std::make_unique<request_session>(
            request, "holder" + std::to_string(m_calls.size()), call->m_router);
        take(*call, call->m_session->start(m_now));
        m_calls.push_back(std::move(call));
    }

    void advance(entry_call& call, std::uint32_t choice)
    {
        m_now = m_now + span(choice % 7 == 0 ? 700 : choice % 40);
        if (choice % 41 == 0)
        {
            call.m_killed = true;
        }
        if (!call.m_killed)
        {
            run_due_timers(call);
            execute_next(call, choice / 41);
        }
    }

    void run_due_timers(entry_call& call)
    {
        for (std::size_t i = 0; i < call.m_timers.size(); ++i)
        {
            if (call.m_timers[i] <= m_now)
            {
                call.m_timers.erase(call.m_timers.begin() +
                                    static_cast<std::ptrdiff_t>(i));
                take(call, call.m_session->on_timer(m_now));
                return;
            }
        }
    }

    void take(entry_call& call, const request_session::effects& effects)
    {
        for (const session_effect& each : effects)
        {
            if (const auto* wait = std::get_if<wait_until>(&each))
            {
                call.m_timers.push_back(wait->m_at);
            }
            else if (const auto* answer = std::get_if<answer_caller>(&each))
            {
                RC_ASSERT(!call.m_caller_answer);
                call.m_caller_answer = answer->m_answer;
                check_answer(call);
            }
            else
            {
                call.m_open.push_back(each);
            }
        }
    }

    // Executes the oldest open effect; fault 0 means no fault.
    void execute_next(entry_call& call, std::uint32_t fault)
    {
        if (call.m_open.empty())
        {
            return;
        }
        const session_effect next = call.m_open.front();
        call.m_open.pop_front();
        if (const auto* ask = std::get_if<ask_permit>(&next))
        {
            execute(call, *ask, fault % 5);
        }
        else if (const auto* dispatch = std::get_if<call_target>(&next))
        {
            execute(call, *dispatch, fault % 8);
        }
        else if (const auto* report = std::get_if<report_outcome>(&next))
        {
            execute(call, *report, fault % 4);
        }
    }

    void execute(entry_call& call, const ask_permit& ask, std::uint32_t fault)
    {
        const error lost{error_code::connection_lost, "",
                         verdict::may_have_run};
        // A call that is pending at the owner was sent, so that its loss
        // cannot be reported as "not sent".
        const bool pending = std::exchange(call.m_pending, false);
        if (fault == 1 && !pending) // The owner cannot be reached.
        {
            const error refused{error_code::owner_unavailable, "",
                                verdict::not_run};
            take(call, call.m_session->on_permit(ask.m_call, refused, m_now));
            return;
        }
        call.m_reached_owner |= fault == 0 || fault > 2;
        if (fault == 1 || fault == 2) // Lost after it was sent.
        {
            take(call, call.m_session->on_permit(ask.m_call, lost, m_now));
            return;
        }
        const auto reply = m_owner.ask(ask.m_permit, m_now);
        if (!reply && m_now < ask.m_permit.m_deadline)
        {
            call.m_pending = true;
            call.m_open.push_back(ask);
            return;
        }
        if (!reply || fault == 3) // The answer is lost.
        {
            take(call, call.m_session->on_permit(ask.m_call, lost, m_now));
            return;
        }
        take(call, call.m_session->on_permit(ask.m_call, *reply, m_now));
        if (fault == 4) // The answer comes twice.
        {
            take(call, call.m_session->on_permit(ask.m_call, *reply, m_now));
        }
    }

    void execute(entry_call& call, const call_target& dispatch,
                 std::uint32_t fault)
    {
        if (m_now >= call.m_session->request().m_deadline)
        {
            // The process was frozen before it sent the request. The target
            // refuses it by the deadline that the request carries.
            fault = 1;
        }
        target_answer answer;
        const bool runs = fault == 0 || fault >= 4;
        if (runs || fault == 3)
        {
            ++(runs ? call.m_dispatches_that_ran : call.m_dispatches_unknown);
            ++m_possible_runs;
        }
        m_runs += runs ? 1 : 0;
        RC_ASSERT(m_possible_runs <= 1);
        switch (fault)
        {
        case 1:
            answer.m_outcome = target_outcome::refused;
            break;
        case 2:
            answer.m_outcome = target_outcome::not_sent;
            break;
        case 3: // Sent, but the target neither runs it nor responds.
        case 4: // The answer is lost.
            answer.m_outcome = target_outcome::unknown;
            break;
        case 5: // The entry process is killed while the target runs it.
            call.m_killed = true;
            return;
        case 6:
            answer.m_outcome = target_outcome::failed;
            break;
        default:
            answer.m_outcome = target_outcome::answered;
            answer.m_body = "own answer";
        }
        m_now = m_now + (fault == 3 ? dispatch.m_timeout : span(3));
        take(call,
             call.m_session->on_target_answer(dispatch.m_call, answer, m_now));
        take(call,
             call.m_session->on_target_answer(dispatch.m_call, answer, m_now));
    }

    void execute(entry_call& call, const report_outcome& report,
                 std::uint32_t fault)
    {
        const error lost{error_code::connection_lost, "",
                         verdict::may_have_run};
        if (fault != 1)
        {
            m_owner.end(report.m_outcome, m_now);
        }
        const result<caller_reply> reply =
            fault == 0 ? result<caller_reply>(caller_reply(ok{})) : lost;
        take(call, call.m_session->on_report(report.m_call, reply, m_now));
    }

    void check_answer(const entry_call& call) const
    {
        if (succeeded(*call.m_caller_answer))
        {
            RC_ASSERT(m_runs == 1);
            RC_ASSERT(value_of(*call.m_caller_answer).m_body == "own answer");
            return;
        }
        if (error_of(*call.m_caller_answer).m_verdict == verdict::not_run)
        {
            RC_ASSERT(call.m_dispatches_that_ran == 0);
            RC_ASSERT(call.m_dispatches_unknown == 0);
            // The verdict of a call that reached the owner covers all earlier
            // calls.
            RC_ASSERT(!call.m_reached_owner || m_possible_runs == 0);
        }
    }

    instant m_now = start;
    permit_table_model m_owner;
    std::vector<std::unique_ptr<entry_call>> m_calls;
    int m_runs = 0;
    int m_possible_runs = 0;
};

// Guards against any order of faults that sends a request twice when it must
// run at most once, or that makes "not run" untrue: lost, late and duplicate
// answers, a changed owner, an unresponsive target, and an entry process that
// is killed while the caller repeats the request through others.
TEST(request_session, at_most_one_dispatch_in_any_order_of_events)
{
    int runs = 0;
    int simulations = 0;
    rc::detail::TestParams params;
    params.seed = 20261204;
    params.maxSuccess = 3000;
    params.maxSize = 120;
    const auto outcome = rc::detail::checkTestable(
        [&]
        {
            const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
                rc::gen::arbitrary<std::uint32_t>());
            request_simulation simulation;
            simulation.step(0);
            for (std::uint32_t each : steps)
            {
                // Arbitrary integers are small at small sizes.
                simulation.step(each * 2654435761U >> 3);
            }
            simulation.finish();
            runs += simulation.runs();
            ++simulations;
        },
        rc::detail::TestMetadata(), params);
    std::ostringstream description;
    rc::detail::printResultMessage(outcome, description);
    EXPECT_TRUE(outcome.template is<rc::detail::SuccessResult>())
        << description.str();
    // The property is only meaningful if requests run in enough simulations.
    EXPECT_GT(runs, simulations / 4);
}

} // namespace
} // namespace kingcuprudder

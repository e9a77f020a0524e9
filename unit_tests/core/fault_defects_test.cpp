#include "fault_scenario.hpp"
#include <kingcuprudder/codec/codec.hpp>

#include <gtest/gtest.h>

#include <algorithm>

namespace kingcuprudder
{
namespace
{

constexpr std::uint64_t defect_seed = 7;

job_spec simple_job(const std::string& id, const shape& needed,
                    bool idempotent = true)
{
    job_spec spec;
    spec.m_key = {account_id("a"), job_id(id)};
    spec.m_shape = needed;
    spec.m_declared_run_time = span::seconds(5);
    spec.m_idempotent = idempotent;
    return spec;
}

const shape two_parts{2, 4, 1, 1, proximity::region};
const shape one_task{1, 1, 1, 1, proximity::region};

/// The checker must detect each injected defect of the code around the owner.
/// If it missed one, the fault matrix would pass without checking for it.
class fault_defects : public testing::Test
{
protected:
    fault_defects() : m_harness({.m_seed = defect_seed})
    {
        m_harness.run_for(span::seconds(2));
    }

    void set_defects(const worker_defects& defects)
    {
        for (std::size_t each = 0; each < m_harness.workers(); ++each)
        {
            m_harness.worker_at(each).m_defects = defects;
        }
    }

    fault_worker& worker_named(const worker_id& id)
    {
        std::size_t index = 0;
        while (m_harness.worker_at(index).id() != id)
        {
            ++index;
        }
        return m_harness.worker_at(index);
    }

    /// Prepares and starts one part of an attempt without the owner's command.
    void run_part(const attempt_key& attempt, const allocation& part,
                  epoch_number epoch)
    {
        fault_worker& to = worker_named(part.m_worker);
        to.on_command({1, part.m_worker, epoch,
                       worker_prepare{attempt, part.m_tasks,
                                      part.m_accelerators, span(), ""}},
                      0);
        to.on_command({2, part.m_worker, epoch, worker_start{attempt}}, 0);
    }

    bool finds(history_rule rule)
    {
        const auto found = check_history(m_harness.history().events(), {});
        return std::any_of(found.begin(), found.end(),
                           [rule](const history_violation& each)
                           { return each.m_rule == rule; });
    }

    fault_harness m_harness;
};

TEST_F(fault_defects, finds_plans_without_release)
{
    set_defects({.m_ignores_conflicts = true});
    m_harness.hooks().m_on_effects = [](std::size_t, auto& effects)
    {
        for (owner_effect& each : effects)
        {
            auto* call = std::get_if<worker_call>(&each);
            auto* prepare = call == nullptr
                                ? nullptr
                                : std::get_if<worker_prepare>(&call->m_command);
            if (prepare != nullptr)
            {
                prepare->m_accelerators = 1;
            }
        }
    };
    for (const std::string id : {"j1", "j2", "j3"})
    {
        m_harness.submit(simple_job(id, one_task), {}, true);
    }
    m_harness.run_to_end(span::minutes(2));
    EXPECT_TRUE(finds(history_rule::accelerator_overlap));
}

TEST_F(fault_defects, finds_a_part_that_never_started)
{
    m_harness.worker_at(0).m_defects.m_pretends_start = true;
    m_harness.submit(simple_job("gang", two_parts),
                     {1, true, span::minutes(10), 0}, true);
    m_harness.run_for(span::minutes(4));
    EXPECT_TRUE(finds(history_rule::partial_gang));
}

TEST_F(fault_defects, finds_a_retry_after_an_unknown_outcome)
{
    // The owner treats the job as idempotent although its caller does not.
    m_harness.hooks().m_on_caller_call = [](caller_call& call)
    {
        if (auto* submit = std::get_if<submit_job>(&call.m_request))
        {
            submit->m_spec.m_idempotent = true;
        }
    };
    m_harness.submit(simple_job("once", two_parts, false),
                     {1, false, span::seconds(20), 0}, true);
    m_harness.run_for(span::seconds(3));
    m_harness.lose_worker(0, span::seconds(5));
    m_harness.run_to_end(span::minutes(5));
    EXPECT_TRUE(finds(history_rule::repeated_run));
}

TEST_F(fault_defects, finds_a_start_before_the_commit)
{
    bool injected = false;
    m_harness.hooks().m_on_effects = [&](std::size_t index, auto& effects)
    {
        for (auto each = effects.begin(); each != effects.end() && !injected;
             ++each)
        {
            const auto* call = std::get_if<store_call>(&*each);
            const auto* put = call == nullptr
                                  ? nullptr
                                  : std::get_if<store_put>(&call->m_operation);
            if (put == nullptr || put->m_key.find("/log/") == std::string::npos)
            {
                continue;
            }
            const auto entry = value_of(from_cbor<log_entry>(put->m_value));
            const auto* placed =
                std::get_if<job_placed>(&entry.m_records.front());
            if (placed == nullptr)
            {
                continue;
            }
            injected = true;
            for (const allocation& part : placed->m_placement)
            {
                run_part({placed->m_job, placed->m_attempt}, part,
                         entry.m_epoch);
            }
            effects.erase(each);
            m_harness.queue().after(
                span(),
                [this, index] { m_harness.kill(index, span::seconds(5)); });
            break;
        }
    };
    m_harness.submit(simple_job("once", two_parts, false),
                     {2, false, span::seconds(20), 0}, true);
    m_harness.run_to_end(span::minutes(5));
    EXPECT_TRUE(injected);
    EXPECT_TRUE(finds(history_rule::repeated_run));
}

/// Runs a job to its end, kills the owner and, after the takeover, passes the
/// prepare commands of the killed owner to `replay`.
void replay_after_takeover(
    fault_harness& harness,
    const std::function<void(const worker_call&)>& replay)
{
    auto late = std::make_shared<std::vector<worker_call>>();
    harness.hooks().m_on_effects = [late](std::size_t, auto& effects)
    {
        for (const owner_effect& each : effects)
        {
            const auto* call = std::get_if<worker_call>(&each);
            if (call != nullptr &&
                std::holds_alternative<worker_prepare>(call->m_command))
            {
                late->push_back(*call);
            }
        }
    };
    harness.submit(simple_job("once", two_parts, false),
                   {2, false, span::seconds(3), 0}, true);
    harness.run_to_end(span::minutes(1));
    harness.kill(*harness.owner(), span::seconds(5));
    harness.run_for(span::seconds(15));
    for (const worker_call& each : *late)
    {
        replay(each);
    }
    harness.run_for(span::seconds(10));
}

TEST_F(fault_defects, finds_a_worker_without_fencing)
{
    set_defects({.m_ignores_epoch = true, .m_ignores_conflicts = true});
    replay_after_takeover(
        m_harness,
        [this](const worker_call& call)
        {
            const auto& prepare = std::get<worker_prepare>(call.m_command);
            run_part(prepare.m_attempt,
                     {call.m_worker, prepare.m_tasks, prepare.m_accelerators},
                     call.m_epoch);
        });
    EXPECT_TRUE(finds(history_rule::repeated_run));
}

// Guards against a fencing test that reports a violation although the workers
// check epochs.
TEST_F(fault_defects, late_commands_do_nothing_with_fencing)
{
    set_defects({.m_ignores_conflicts = true});
    replay_after_takeover(
        m_harness,
        [this](const worker_call& call)
        {
            const auto& prepare = std::get<worker_prepare>(call.m_command);
            run_part(prepare.m_attempt,
                     {call.m_worker, prepare.m_tasks, prepare.m_accelerators},
                     call.m_epoch);
        });
    EXPECT_TRUE(check_history(m_harness.history().events(), {}).empty());
}

TEST_F(fault_defects, finds_swapped_answers)
{
    m_harness.hooks().m_on_effects = [](std::size_t, auto& effects)
    {
        caller_answer* first = nullptr;
        for (owner_effect& each : effects)
        {
            auto* answer = std::get_if<caller_answer>(&each);
            if (answer != nullptr && first != nullptr)
            {
                std::swap(first->m_call, answer->m_call);
                return;
            }
            first = answer != nullptr ? answer : first;
        }
    };
    for (int each = 0; each < 20; ++each)
    {
        m_harness.submit(simple_job("j" + std::to_string(each), one_task), {},
                         true);
    }
    m_harness.run_to_end(span::minutes(1));
    EXPECT_TRUE(finds(history_rule::wrong_answer));
}

TEST_F(fault_defects, finds_a_run_despite_not_run)
{
    m_harness.hooks().m_on_effects = [](std::size_t, auto& effects)
    {
        for (owner_effect& each : effects)
        {
            auto* answer = std::get_if<caller_answer>(&each);
            if (answer != nullptr && succeeded(answer->m_reply))
            {
                answer->m_reply =
                    error{error_code::store_unavailable, "", verdict::not_run};
            }
        }
    };
    m_harness.submit(simple_job("j", one_task), {}, false);
    m_harness.run_for(span::seconds(20));
    EXPECT_TRUE(finds(history_rule::ran_despite_not_run));
}

TEST_F(fault_defects, finds_a_lost_job)
{
    const job_spec spec = simple_job("j", one_task);
    m_harness.store().set_down_until(m_harness.now() + span::seconds(20));
    m_harness.hooks().m_on_effects = [&spec](std::size_t, auto& effects)
    {
        for (owner_effect& each : effects)
        {
            auto* answer = std::get_if<caller_answer>(&each);
            if (answer != nullptr && !succeeded(answer->m_reply) &&
                error_of(answer->m_reply).m_code ==
                    error_code::store_unavailable)
            {
                job_status accepted;
                accepted.m_spec = spec;
                answer->m_reply = caller_reply(accepted);
            }
        }
    };
    // The first job keeps the append in flight, so that the second one's record
    // is withdrawn.
    m_harness.submit(simple_job("first", one_task), {}, true);
    m_harness.queue().after(span(100),
                            [&] { m_harness.submit(spec, {}, false); });
    m_harness.run_for(span::minutes(2));
    EXPECT_TRUE(finds(history_rule::lost_job));
}

TEST_F(fault_defects, finds_a_false_success)
{
    m_harness.hooks().m_on_effects = [](std::size_t, auto& effects)
    {
        for (owner_effect& each : effects)
        {
            auto* answer = std::get_if<caller_answer>(&each);
            auto* reply = answer == nullptr
                              ? nullptr
                              : std::get_if<caller_reply>(&answer->m_reply);
            auto* status =
                reply == nullptr ? nullptr : std::get_if<job_status>(reply);
            if (status != nullptr)
            {
                status->m_outcome = job_outcome::succeeded;
            }
        }
    };
    const job_spec spec = simple_job("j", one_task);
    m_harness.submit(spec, {1, true, span::minutes(5), 0}, true);
    m_harness.run_for(span::seconds(2));
    m_harness.cancel(spec.m_key);
    m_harness.run_to_end(span::minutes(1));
    EXPECT_TRUE(finds(history_rule::false_success));
}

TEST_F(fault_defects, finds_a_late_reclaim)
{
    set_defects({.m_ignores_stop = true});
    load_scenario(m_harness);
    m_harness.run_for(span::minutes(3));
    EXPECT_TRUE(finds(history_rule::reclaim_late));
}

TEST_F(fault_defects, finds_work_on_a_leaving_target)
{
    // The instance list sent to the owner still contains the worker.
    m_harness.history().record(target_draining{"w0", true, m_harness.now()});
    m_harness.run_for(span::seconds(4));
    m_harness.submit(simple_job("j", one_task), {}, true);
    m_harness.run_to_end(span::minutes(1));
    EXPECT_TRUE(finds(history_rule::placed_on_draining));
}

TEST_F(fault_defects, finds_settings_that_go_back)
{
    for (const std::uint64_t revision : {1, 3, 2})
    {
        m_harness.history().record(
            settings_adopted{"i0", revision, m_harness.now()});
    }
    EXPECT_TRUE(finds(history_rule::settings_reverted));
}

} // namespace
} // namespace kingcuprudder

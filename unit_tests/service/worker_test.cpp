#include "test_region.hpp"
#include <kingcuprudder/runtime/bounded_ring.hpp>
#include <kingcuprudder/service/worker_client.hpp>
#include <kingcuprudder/stream/socket_handle.hpp>

#include <gtest/gtest.h>

namespace kingcuprudder
{
namespace
{

attempt_key attempt(std::uint32_t number)
{
    return {{account_id("a"), job_id("j")}, number};
}

class worker_calls : public testing::Test
{
protected:
    worker_calls()
    {
        stand_ins::fake_worker_options options;
        options.m_worker.m_id = worker_id("w");
        options.m_worker.m_accelerators = 8;
        options.m_worker.m_address = "127.0.0.1:0";
        m_worker = std::make_unique<stand_ins::fake_worker>(options);
        m_client.set_workers({m_worker->description()});
    }

    decltype(worker_answer::m_outcome)
    call(epoch_number epoch, decltype(worker_call::m_command) command)
    {
        EXPECT_TRUE(m_client.call({3, worker_id("w"), epoch, command}));
        const auto answer = m_answers.pop(std::chrono::seconds(20));
        EXPECT_TRUE(answer.has_value());
        return answer ? answer->m_outcome : worker_unreachable{};
    }

    template <class Outcome>
    void expect(epoch_number epoch, decltype(worker_call::m_command) command)
    {
        const auto outcome = call(epoch, std::move(command));
        EXPECT_TRUE(std::holds_alternative<Outcome>(outcome))
            << "outcome " << outcome.index();
    }

    static worker_prepare prepare(std::uint32_t number, std::uint64_t mask,
                                  int run_ms)
    {
        return {attempt(number), 1, mask, span(0),
                R"({"run_ms":)" + std::to_string(run_ms) + "}"};
    }

    std::unique_ptr<stand_ins::fake_worker> m_worker;
    bounded_ring<worker_answer> m_answers{64};
    worker_client m_client{instance_id("i"), "http://127.0.0.1:1/v1/heartbeat",
                           [this](worker_answer answer)
                           { m_answers.push(std::move(answer)); }};
    const worker_claim m_claim{span::seconds(60), span::seconds(60)};
};

// Guards against an attempt that is started twice by a repeated command, and
// against one that starts although its accelerators are not allocated.
TEST_F(worker_calls, start_runs_a_prepared_attempt_once)
{
    expect<worker_report>(1, m_claim);
    expect<worker_refused>(1, worker_start{attempt(1)});
    expect<worker_done>(1, prepare(1, 0x3, 60000));
    expect<worker_refused>(1, prepare(2, 0x2, 60000));
    expect<worker_done>(1, worker_start{attempt(1)});
    expect<worker_done>(1, worker_start{attempt(1)});
    EXPECT_EQ(m_worker->history().size(), 1U);
    expect<worker_done>(1, worker_stop{attempt(1), span(100)});
    EXPECT_TRUE(wait_until([&] { return m_worker->history().size() == 2; }));
    expect<worker_refused>(1, worker_start{attempt(1)});
    expect<worker_refused>(1, prepare(1, 0x3, 60000));
    expect<worker_done>(1, prepare(2, 0x2, 60000));
}

// Guards against commands of a former owner after a takeover.
TEST_F(worker_calls, an_older_epoch_is_refused)
{
    expect<worker_report>(5, m_claim);
    const auto outcome = call(4, worker_start{attempt(1)});
    ASSERT_TRUE(std::holds_alternative<worker_stale_epoch>(outcome));
    EXPECT_EQ(std::get<worker_stale_epoch>(outcome).m_epoch, 5U);
}

// Guards against tasks that keep running after their owner has lost the worker.
TEST_F(worker_calls, tasks_stop_when_their_lease_lapses)
{
    expect<worker_report>(1, worker_claim{span::seconds(60), span(500)});
    expect<worker_done>(1, prepare(1, 0x1, 60000));
    expect<worker_done>(1, worker_start{attempt(1)});
    EXPECT_TRUE(wait_until([&] { return m_worker->history().size() == 2; }));
    EXPECT_EQ(m_worker->history()[1].m_state, task_state::stopped);
    const auto outcome = call(1, m_claim);
    ASSERT_TRUE(std::holds_alternative<worker_report>(outcome));
    const auto& report = std::get<worker_report>(outcome);
    ASSERT_EQ(report.m_tasks.size(), 1U);
    EXPECT_GE(report.m_tasks[0].m_saved_run_time, span(300));
}

// Guards against the loss of a zone that delays the calls to all other workers:
// 40 unresponsive workers, then a call to one that responds.
TEST_F(worker_calls, silent_workers_do_not_hold_up_the_others)
{
    const socket_handle silent = listen_on("127.0.0.1:0");
    std::vector<worker> lost(40);
    for (std::size_t i = 0; i < lost.size(); ++i)
    {
        lost[i].m_id = worker_id("lost" + std::to_string(i));
        lost[i].m_address = local_address(silent);
    }
    m_client.set_workers(lost);
    // The first call to each worker marks it as suspect; the second is made
    // from the separate threads.
    for (int round = 0; round < 2; ++round)
    {
        for (const worker& each : lost)
        {
            ASSERT_TRUE(m_client.call({9, each.m_id, 1, m_claim}));
        }
    }
    for (std::size_t i = 0; i < lost.size(); ++i)
    {
        const auto answer = m_answers.pop(std::chrono::seconds(20));
        ASSERT_TRUE(answer.has_value());
        EXPECT_TRUE(
            std::holds_alternative<worker_unreachable>(answer->m_outcome));
    }
    ASSERT_TRUE(m_client.call({3, worker_id("w"), 1, m_claim}));
    bool answered = false;
    const auto begin = std::chrono::steady_clock::now();
    while (!answered &&
           std::chrono::steady_clock::now() - begin < std::chrono::seconds(2))
    {
        const auto answer = m_answers.pop(std::chrono::seconds(2));
        answered = answer && answer->m_worker == worker_id("w");
    }
    EXPECT_TRUE(answered);
}

// Guards against a call to a worker without an address that is accepted but
// never answered.
TEST_F(worker_calls, a_call_to_an_unknown_worker_is_not_begun)
{
    EXPECT_FALSE(m_client.call({1, worker_id("nobody"), 1, m_claim}));
}

} // namespace
} // namespace kingcuprudder

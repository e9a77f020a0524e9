#include <kingcuprudder/codec/dispatch_codec.hpp>
#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/node/configuration_view.hpp>
#include <kingcuprudder/node/job_service.hpp>
#include <kingcuprudder/node/record_keys.hpp>

#include <gtest/gtest.h>
#include <platform/platform_records.hpp>
#include <platform/platform_store.hpp>
#include <stand_ins/platform_stand_in.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>

namespace kingcuprudder::platform
{

namespace
{

/// How long the slow store takes to answer a call.
constexpr span latency = span(800);
/// A process whose configuration was not confirmed for this long is not ready.
constexpr span ready_max_age = span(2500);
/// Within this time the first calls to the slow store have ended.
constexpr span adaptation_time = span(4000);
constexpr span observed_time = span(8000);
constexpr span patience = span(3000);

void sleep_for(span time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time.count()));
}

/// The parts that answer status calls, beside a store whose answers all take
/// the same time.
class slow_store_test : public ::testing::Test
{
protected:
    void SetUp() override
    {
        dispatch::job_progress progress;
        node::store_transaction transaction;
        transaction.m_writes = {{node::record_keys::progress(m_id),
                                 dispatch::encode_progress(progress), 0}};
        m_platform.store().commit(transaction, span(100));
        for (int at = 0; at < 100 && !m_configuration.current(); ++at)
        {
            sleep_for(span(20));
        }
        m_platform.set_delay_hook([](const std::string&) { return latency; });
        const instant end = node::boottime_now() + adaptation_time;
        while (node::boottime_now() < end)
        {
            ask();
        }
    }

    /// Asks for the job's state like a caller. Returns how long that took.
    span ask()
    {
        node::caller_request request;
        request.m_host = "h.example";
        request.m_path = "/q/" + m_id;
        request.m_key = "key";
        request.m_deadline = node::boottime_now() + patience;
        const instant began = node::boottime_now();
        EXPECT_EQ(m_jobs.state(request, m_id).index(), 0u);
        return node::boottime_now() - began;
    }

    const std::string m_id = "5c0e7a21d94b36f8";
    stand_ins::platform_stand_in m_platform{1};
    platform_store m_store{m_platform.store_address()};
    node::event_log m_log{"test"};
    node::configuration_view m_configuration{m_store, platform_records(),
                                             m_log};
    node::job_service m_jobs{m_store, m_configuration, m_log};
};

} // namespace

// Guards against a watch whose timeout is shorter than its wait and the time
// that the store takes: the configuration then ages until a caller confirms it,
// and the process looks as if the store did not answer.
TEST_F(slow_store_test, a_slow_watch_keeps_the_configuration_confirmed)
{
    const instant end = node::boottime_now() + observed_time;
    span oldest;
    while (node::boottime_now() < end)
    {
        oldest = std::max(oldest, node::boottime_now() -
                                      m_configuration.confirmed_at());
        sleep_for(span(20));
    }
    EXPECT_LT(oldest, ready_max_age);
}

// Guards against a status call that waits for two answers of a slow store, one
// after the other: first for the configuration, then for the record.
TEST_F(slow_store_test, a_status_call_waits_for_one_answer)
{
    const instant end = node::boottime_now() + observed_time;
    span longest;
    while (node::boottime_now() < end)
    {
        longest = std::max(longest, ask());
    }
    EXPECT_LT(longest, latency * 3 / 2);
}

} // namespace kingcuprudder::platform

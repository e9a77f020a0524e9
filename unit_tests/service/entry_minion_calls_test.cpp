#include <kingcuprudder/runtime/timer_service.hpp>
#include <kingcuprudder/service/entry_minion_calls.hpp>

#include <gtest/gtest.h>
#include <stand_ins/fake_minion.hpp>

namespace kingcuprudder
{
namespace
{

// Guards against idle connections that stay open after their requests were
// answered. They occupied all threads of the minion, so that a later request
// waited there until the first one timed out, and ran long after the minion had
// started to drain.
TEST(entry_minion_calls, requests_that_run_once_leave_no_connection_open)
{
    stand_ins::minion_options options;
    options.m_connections = 2;
    const stand_ins::fake_minion minion(options);
    entry_minion_calls calls;
    target_ref target;
    target.m_address = minion.address();
    constexpr span timeout(1000);
    constexpr int more_than_connections = 6;
    for (int index = 0; index < more_than_connections; ++index)
    {
        service_request request;
        request.m_key = {account_id("a"),
                         request_id("r" + std::to_string(index))};
        request.m_idempotent = false;
        request.m_deadline = system_now() + timeout;
        EXPECT_EQ(calls.call(target, request, timeout).m_outcome,
                  target_outcome::answered)
            << index;
    }
}

} // namespace
} // namespace kingcuprudder

#include "answers_without_end.hpp"
#include <kingcuprudder/runtime/http_endpoint.hpp>
#include <kingcuprudder/runtime/http_server.hpp>

#include <gtest/gtest.h>
#include <unit_tests/runtime/raw_connection.hpp>
#include <unit_tests/runtime/raw_listener.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <thread>

namespace kingcuprudder
{

namespace
{

constexpr span connect_timeout = span(300);

http_outcome not_sent(http_failure_cause cause)
{
    return http_failure{http_delivery::not_sent, cause};
}

http_outcome unanswered(http_failure_cause cause)
{
    return http_failure{http_delivery::unanswered, cause};
}

class http_endpoint_test : public ::testing::Test
{
protected:
    ~http_endpoint_test() override
    {
        m_loop.stop();
        m_server_loop.stop();
    }

    /// Makes one call and waits for its outcome.
    http_outcome call(http_endpoint& endpoint, span timeout = span(1000))
    {
        std::promise<http_outcome> promise;
        m_loop.post(
            [&]
            {
                endpoint.post({"/a", {{"X-Name", "value"}}, "body"}, timeout,
                              [&](const http_outcome& outcome)
                              { promise.set_value(outcome); });
            });
        return promise.get_future().get();
    }

    http_response answer(const http_request& request)
    {
        ++m_requests;
        std::this_thread::sleep_for(m_delay.load());
        http_response response;
        response.m_close = m_close;
        response.m_body = request.header("x-name") + " " + request.m_body;
        return response;
    }

    /// Makes one call to a peer that reads it, sends the answer and ends the
    /// connection.
    http_outcome call_peer_that_sends(std::string_view answer,
                                      connection_end end)
    {
        raw_listener peer;
        std::thread serving([&] { peer.serve_one("body", answer, end); });
        http_endpoint endpoint(m_loop, peer.address(), connect_timeout,
                               [] { return true; });
        const http_outcome outcome = call(endpoint);
        serving.join();
        return outcome;
    }

    std::atomic<int> m_requests = 0;
    std::atomic<bool> m_may_send = true;
    std::atomic<bool> m_close = false;
    std::atomic<std::chrono::milliseconds> m_delay =
        std::chrono::milliseconds(0);
    event_loop m_loop{[](const std::string&) {}};
    event_loop m_server_loop{[](const std::string&) {}};
    http_server m_server{
        m_server_loop, "127.0.0.1:0", {}, [this](const http_request& request) {
            return answer(request);
        }};
    http_endpoint m_endpoint{m_loop, m_server.address(), connect_timeout,
                             [this] { return m_may_send.load(); }};
};

} // namespace

TEST_F(http_endpoint_test, a_call_is_answered_on_a_new_or_kept_connection)
{
    const http_outcome expected = http_answer{200, "value body"};
    EXPECT_EQ(call(m_endpoint), expected);
    EXPECT_EQ(call(m_endpoint), expected);
    m_close = true;
    EXPECT_EQ(call(m_endpoint), expected);
    EXPECT_EQ(call(m_endpoint), expected);
}

// Guards against a leader that opens a connection while its term is valid and
// sends the order after the term has ended.
TEST_F(http_endpoint_test, a_call_is_not_sent_when_the_permission_has_run_out)
{
    m_may_send = false;
    EXPECT_EQ(call(m_endpoint), not_sent(http_failure_cause::cancelled));
    m_may_send = true;
    call(m_endpoint);
    m_may_send = false;
    EXPECT_EQ(call(m_endpoint), not_sent(http_failure_cause::cancelled));
    EXPECT_EQ(m_requests, 1);
}

// A call that was sent may have been carried out, whatever happens after.
TEST_F(http_endpoint_test, a_call_without_an_answer_may_have_been_carried_out)
{
    m_delay = std::chrono::milliseconds(400);
    EXPECT_EQ(call(m_endpoint, span(100)),
              unanswered(http_failure_cause::timed_out));
    EXPECT_EQ(m_requests, 1);
}

TEST_F(http_endpoint_test, a_refused_connection_sends_nothing)
{
    http_endpoint nowhere(m_loop, "127.0.0.1:1", connect_timeout,
                          [] { return true; });
    EXPECT_EQ(call(nowhere), not_sent(http_failure_cause::refused));
}

// Guards against a crashed peer that looks like one that was cut off.
TEST_F(http_endpoint_test, a_closed_connection_differs_from_a_silent_peer)
{
    constexpr std::string_view half =
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf";
    for (const connection_end end :
         {connection_end::close, connection_end::reset})
    {
        EXPECT_EQ(call_peer_that_sends("", end),
                  unanswered(http_failure_cause::closed));
        EXPECT_EQ(call_peer_that_sends(half, end),
                  unanswered(http_failure_cause::closed));
    }
    const raw_listener silent;
    http_endpoint endpoint(m_loop, silent.address(), connect_timeout,
                           [] { return true; });
    EXPECT_EQ(call(endpoint, span(100)),
              unanswered(http_failure_cause::timed_out));
}

TEST_F(http_endpoint_test, a_connection_that_is_not_accepted_times_out)
{
    const raw_listener full;
    const raw_connection waiting(full.address());
    ASSERT_TRUE(waiting.connected());
    http_endpoint endpoint(m_loop, full.address(), connect_timeout,
                           [] { return true; });
    EXPECT_EQ(call(endpoint), not_sent(http_failure_cause::timed_out));
}

TEST_F(http_endpoint_test, an_answer_that_is_not_http_is_told_from_a_crash)
{
    EXPECT_EQ(call_peer_that_sends("what\r\n\r\n", connection_end::close),
              unanswered(http_failure_cause::unreadable));
}

// Guards against a worker whose answer makes the process keep all that it
// sends, or that ends in an exception in place of a completion.
TEST_F(http_endpoint_test, an_answer_over_a_limit_counts_as_unanswered)
{
    for (const std::string& text : answers_without_end())
    {
        EXPECT_EQ(call_peer_that_sends(text.c_str(), connection_end::close),
                  unanswered(http_failure_cause::too_large))
            << text.substr(0, 60);
    }
}

TEST_F(http_endpoint_test, cancelling_fails_the_calls_in_progress_and_later)
{
    m_delay = std::chrono::milliseconds(500);
    std::promise<http_outcome> promise;
    m_loop.post(
        [&]
        {
            m_endpoint.post({"/a", {}, ""}, span(3000),
                            [&](const http_outcome& outcome)
                            { promise.set_value(outcome); });
        });
    while (m_requests == 0)
    {
        std::this_thread::yield();
    }
    m_loop.post([&] { m_endpoint.cancel(); });
    EXPECT_EQ(promise.get_future().get(),
              unanswered(http_failure_cause::cancelled));
    EXPECT_EQ(call(m_endpoint), not_sent(http_failure_cause::cancelled));
}

// Guards against a thread or a lost completion for each of many peers.
TEST_F(http_endpoint_test, many_calls_are_in_progress_at_once)
{
    constexpr int calls = 300;
    std::atomic<int> answered = 0;
    std::promise<void> all;
    m_loop.post(
        [&]
        {
            for (int index = 0; index < calls; ++index)
            {
                m_endpoint.post({"/a", {}, ""}, span(4000),
                                [&](const http_outcome& outcome)
                                {
                                    answered += outcome.index() == 0 ? 1 : 0;
                                    if (answered == calls)
                                    {
                                        all.set_value();
                                    }
                                });
            }
        });
    EXPECT_EQ(all.get_future().wait_for(std::chrono::seconds(10)),
              std::future_status::ready);
}

} // namespace kingcuprudder

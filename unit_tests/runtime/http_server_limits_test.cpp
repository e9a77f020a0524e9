#include "raw_connection.hpp"
#include <kingcuprudder/runtime/http_server.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace kingcuprudder
{

namespace
{

const std::string small_request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::size_t large_body_bytes = 100'000;

std::string post_head(std::size_t body_bytes)
{
    return "POST /a HTTP/1.1\r\nContent-Length: " + std::to_string(body_bytes) +
           "\r\n\r\n";
}

std::string status_of(const raw_connection& caller)
{
    const std::string response = caller.read_until("\r\n\r\n");
    return response.substr(0, response.find(" ", 9));
}

http_response answer_ok(const http_request&)
{
    http_response response;
    response.m_body = "{}";
    return response;
}

class http_server_limits_test : public ::testing::Test
{
protected:
    ~http_server_limits_test() override { m_loop.stop(); }

    /// Waits up to 5 s until the condition holds. Returns whether it does.
    static bool eventually(const std::function<bool()>& holds)
    {
        constexpr int tries = 2500;
        for (int at = 0; at < tries && !holds(); ++at)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        return holds();
    }

    event_loop m_loop{[](const std::string&) {}};
};

} // namespace

// Guards against limits of the operators that apply only when a body is
// complete, or only after a restart.
TEST_F(http_server_limits_test, replaced_limits_apply_to_the_next_request)
{
    http_server server(m_loop, "127.0.0.1:0", http_server_limits(), answer_ok);
    raw_connection caller(server.address());
    caller.send(post_head(20) + std::string(20, 'x'));
    EXPECT_EQ(status_of(caller), "HTTP/1.1 200");
    server.set_request_limits({512, 19, span(5000), span(5000)});
    caller.send(post_head(19) + std::string(19, 'x'));
    EXPECT_EQ(status_of(caller), "HTTP/1.1 200");
    caller.send(post_head(20));
    EXPECT_EQ(status_of(caller), "HTTP/1.1 413");
    raw_connection other(server.address());
    other.send("GET /" + std::string(512, 'p') + " HTTP/1.1\r\n\r\n");
    EXPECT_EQ(status_of(other), "HTTP/1.1 431");
    m_loop.stop();
}

// Guards against callers that send slowly on all connections and keep new ones
// from being accepted, or are accepted without a bound.
TEST_F(http_server_limits_test, the_slowest_request_makes_room_for_a_new_one)
{
    http_server_limits limits;
    limits.m_max_connections = 2;
    http_server server(m_loop, "127.0.0.1:0", limits, answer_ok);
    std::atomic<int> refused = 0;
    server.watch_refusals(
        [&refused](connection_refusal cause)
        { refused += cause == connection_refusal::over_count ? 1 : 0; });
    raw_connection first(server.address());
    first.send("GET /a HT");
    ASSERT_TRUE(eventually([&] { return server.open_requests() == 1; }));
    raw_connection second(server.address());
    second.send("GET /b HT");
    ASSERT_TRUE(eventually([&] { return server.open_requests() == 2; }));
    raw_connection third(server.address());
    third.send(small_request);
    EXPECT_EQ(status_of(third), "HTTP/1.1 200");
    const std::string refusal = first.read_until("\r\n\r\n");
    EXPECT_EQ(refusal.substr(0, 12), "HTTP/1.1 503");
    EXPECT_NE(refusal.find("Retry-After: "), std::string::npos);
    second.send("TP/1.1\r\n\r\n");
    EXPECT_EQ(status_of(second), "HTTP/1.1 200");
    EXPECT_EQ(refused, 1);
    m_loop.stop();
}

// Guards against many large requests that together use up the memory, while
// each is within its limit.
TEST_F(http_server_limits_test, large_requests_over_the_budget_are_refused)
{
    http_server_limits limits;
    limits.m_max_held_bytes = 3 * large_body_bytes;
    http_server server(m_loop, "127.0.0.1:0", limits, answer_ok);
    std::vector<std::unique_ptr<raw_connection>> crowd;
    for (int at = 0; at < 8; ++at)
    {
        crowd.push_back(std::make_unique<raw_connection>(server.address()));
        crowd.back()->send(post_head(large_body_bytes) +
                           std::string(large_body_bytes - 1, 'x'));
        // A small request is served all the while.
        raw_connection caller(server.address());
        caller.send(small_request);
        EXPECT_EQ(status_of(caller), "HTTP/1.1 200");
    }
    int answered = 0;
    int refused = 0;
    for (const auto& each : crowd)
    {
        each->send("x");
        const std::string status = status_of(*each);
        answered += status == "HTTP/1.1 200" ? 1 : 0;
        refused += status == "HTTP/1.1 503" ? 1 : 0;
    }
    EXPECT_EQ(answered + refused, 8);
    EXPECT_GE(answered, 1);
    EXPECT_GE(refused, 1);
    m_loop.stop();
}

// Guards against a request that was read whole and gets no response as its
// memory is needed: it was not begun, and its caller is told so.
TEST_F(http_server_limits_test, a_waiting_request_over_the_budget_is_answered)
{
    std::promise<void> release;
    const std::shared_future<void> released = release.get_future().share();
    std::atomic<bool> begun = false;
    std::atomic<int> refused = 0;
    http_server_limits limits;
    limits.m_handler_threads = 1;
    limits.m_max_held_bytes = 2 * large_body_bytes + large_body_bytes / 2;
    http_server server(m_loop, "127.0.0.1:0", limits,
                       [&begun, released](const http_request& request)
                       {
                           begun = true;
                           released.wait();
                           return answer_ok(request);
                       });
    server.watch_refusals([&refused](connection_refusal) { ++refused; });
    const std::string large =
        post_head(large_body_bytes) + std::string(large_body_bytes, 'x');
    raw_connection handled(server.address());
    handled.send(large);
    EXPECT_TRUE(eventually([&] { return begun.load(); }));
    raw_connection waiting(server.address());
    waiting.send(large);
    EXPECT_TRUE(
        eventually([&] { return server.held_bytes() >= 2 * large_body_bytes; }))
        << server.held_bytes();
    raw_connection third(server.address());
    third.send(large);
    // One of the two that wait makes room; the one that is handled stays.
    EXPECT_TRUE(eventually([&] { return refused == 1; }));
    release.set_value();
    EXPECT_EQ(status_of(handled), "HTTP/1.1 200");
    const std::string statuses = status_of(waiting) + status_of(third);
    EXPECT_NE(statuses.find("503"), std::string::npos) << statuses;
    EXPECT_NE(statuses.find("200"), std::string::npos) << statuses;
    m_loop.stop();
}

// Guards against what a connection has held that stays counted.
TEST_F(http_server_limits_test, nothing_is_held_when_the_callers_have_left)
{
    http_server server(m_loop, "127.0.0.1:0", http_server_limits(), answer_ok);
    {
        raw_connection caller(server.address());
        caller.send(post_head(large_body_bytes) +
                    std::string(large_body_bytes, 'x'));
        EXPECT_EQ(status_of(caller), "HTTP/1.1 200");
        raw_connection partial(server.address());
        partial.send(post_head(large_body_bytes) + "x");
        EXPECT_TRUE(eventually([&] { return server.held_bytes() > 0; }));
    }
    EXPECT_TRUE(eventually([&] { return server.held_bytes() == 0; }));
    m_loop.stop();
}

} // namespace kingcuprudder

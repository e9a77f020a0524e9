#include <kingcuprudder/stream/socket_handle.hpp>
#include <kingcuprudder/stream/stream_client.hpp>
#include <kingcuprudder/stream/stream_server.hpp>

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <chrono>
#include <condition_variable>
#include <future>
#include <mutex>
#include <poll.h>
#include <vector>

namespace kingcuprudder
{
namespace
{

using answer = result<std::string>;

std::future<answer> send(stream_client& client, const std::string& address,
                         const std::string& method, std::string body,
                         span timeout = span::seconds(20))
{
    auto promise = std::make_shared<std::promise<answer>>();
    client.call(address, method, std::move(body), timeout,
                [promise](answer outcome)
                { promise->set_value(std::move(outcome)); });
    return promise->get_future();
}

// Holds the calls that it receives until the test answers them.
struct holding_handler
{
    struct held
    {
        std::string m_body;
        stream_server::responder m_respond;
    };

    void operator()(const std::string&, std::string body,
                    stream_server::responder respond)
    {
        std::lock_guard lock(m_mutex);
        m_held.push_back({std::move(body), std::move(respond)});
        m_changed.notify_all();
    }

    std::vector<held> take(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, std::chrono::seconds(20),
                           [&] { return m_held.size() >= count; });
        return std::exchange(m_held, {});
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<held> m_held;
};

stream_server::handler refer(holding_handler& target)
{
    return [&target](const std::string& method, std::string body,
                     stream_server::responder respond)
    { target(method, std::move(body), std::move(respond)); };
}

// Guards against a response that is delivered to another call when responses
// arrive in another order than their calls.
TEST(stream, answers_out_of_order_reach_their_own_calls)
{
    constexpr std::size_t count = 300;
    holding_handler calls;
    stream_server server("127.0.0.1:0", refer(calls));
    stream_client client;
    std::vector<std::future<answer>> answers;
    for (std::size_t i = 0; i < count; ++i)
    {
        answers.push_back(
            send(client, server.address(), "echo", std::to_string(i)));
    }
    auto held = calls.take(count);
    ASSERT_EQ(held.size(), count);
    for (auto it = held.rbegin(); it != held.rend(); ++it)
    {
        it->m_respond("answer " + it->m_body);
    }
    for (std::size_t i = 0; i < count; ++i)
    {
        const answer got = answers[i].get();
        ASSERT_TRUE(succeeded(got)) << error_of(got).m_message;
        EXPECT_EQ(value_of(got), "answer " + std::to_string(i));
    }
}

// Guards against a body that is truncated or corrupted at the boundary of a
// flow control window.
TEST(stream, large_bodies_arrive_complete_side_by_side)
{
    stream_server server("127.0.0.1:0",
                         [](const std::string&, std::string body,
                            const stream_server::responder& respond)
                         { respond(std::move(body)); });
    stream_client client;
    std::vector<std::future<answer>> answers;
    for (char fill = 'a'; fill < 'k'; ++fill)
    {
        answers.push_back(send(client, server.address(), "echo",
                               std::string(1024 * 1024, fill)));
    }
    for (char fill = 'a'; fill < 'k'; ++fill)
    {
        const answer got = answers[fill - 'a'].get();
        ASSERT_TRUE(succeeded(got)) << error_of(got).m_message;
        EXPECT_TRUE(value_of(got) == std::string(1024 * 1024, fill));
    }
}

// Guards against waiting forever on an unresponsive connection, and against the
// verdict "not run" for a call that may have reached the peer.
TEST(stream, silent_server_is_noticed_within_five_seconds)
{
    const socket_handle listener = listen_on("127.0.0.1:0");
    stream_client client;
    const auto begin = std::chrono::steady_clock::now();
    const answer got = send(client, local_address(listener), "echo", "x").get();
    const auto spent = std::chrono::steady_clock::now() - begin;
    ASSERT_FALSE(succeeded(got));
    EXPECT_EQ(error_of(got).m_code, error_code::connection_lost);
    EXPECT_EQ(error_of(got).m_verdict, verdict::may_have_run);
    EXPECT_LT(spent, std::chrono::seconds(5));
}

// Guards against a server that keeps the calls of an unresponsive client.
TEST(stream, silent_client_is_dropped_within_five_seconds)
{
    holding_handler calls;
    stream_server server("127.0.0.1:0", refer(calls));
    // A preface, empty settings and one POST /rpc/x without a body, after which
    // the client neither reads nor sends.
    const std::string request =
        std::string("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n") +
        std::string("\0\0\0\4\0\0\0\0\0", 9) +
        std::string("\0\0\x0d\1\5\0\0\0\1\x83\x86\x01\x01z\x04\x06/rpc/x", 22);
    const socket_handle socket = begin_connect(server.address());
    pollfd writable{socket.get(), POLLOUT, 0};
    ASSERT_EQ(poll(&writable, 1, 5000), 1);
    ASSERT_EQ(::send(socket.get(), request.data(), request.size(), 0),
              static_cast<ssize_t>(request.size()));
    ASSERT_EQ(calls.take(1).size(), 1U);
    pollfd closed{socket.get(), POLLRDHUP, 0};
    EXPECT_EQ(poll(&closed, 1, 5000), 1);
}

// Guards against the verdict "may have run" for a call that was not sent, which
// would keep the caller from repeating it.
TEST(stream, unsent_calls_did_not_run)
{
    stream_client client;
    std::string closed_address;
    {
        closed_address = local_address(listen_on("127.0.0.1:0"));
    }
    const answer refused = send(client, closed_address, "echo", "x").get();
    ASSERT_FALSE(succeeded(refused));
    EXPECT_EQ(error_of(refused).m_verdict, verdict::not_run);

    const answer large =
        send(client, closed_address, "echo", std::string(1024 * 1024 + 1, 'x'))
            .get();
    ASSERT_FALSE(succeeded(large));
    EXPECT_EQ(error_of(large).m_code, error_code::too_large);
    EXPECT_EQ(error_of(large).m_verdict, verdict::not_run);
}

// Guards against a lost call when a server shuts down: calls in progress are
// answered, later calls fail with the verdict not_run.
TEST(stream, shutdown_answers_calls_in_progress)
{
    holding_handler calls;
    stream_server server("127.0.0.1:0", refer(calls));
    stream_client client;
    auto first = send(client, server.address(), "echo", "1");
    auto held = calls.take(1);
    ASSERT_EQ(held.size(), 1U);
    server.begin_shutdown();
    answer late = send(client, server.address(), "echo", "2").get();
    ASSERT_FALSE(succeeded(late));
    EXPECT_EQ(error_of(late).m_verdict, verdict::not_run);
    held[0].m_respond("done");
    const answer got = first.get();
    ASSERT_TRUE(succeeded(got)) << error_of(got).m_message;
    EXPECT_EQ(value_of(got), "done");
}

// Guards against an expired deadline that ends other calls of the same
// connection.
TEST(stream, deadline_ends_only_its_own_call)
{
    holding_handler calls;
    stream_server server("127.0.0.1:0", refer(calls));
    stream_client client;
    auto slow = send(client, server.address(), "echo", "1", span(200));
    auto other = send(client, server.address(), "echo", "2");
    auto held = calls.take(2);
    ASSERT_EQ(held.size(), 2U);
    const answer ended = slow.get();
    ASSERT_FALSE(succeeded(ended));
    EXPECT_EQ(error_of(ended).m_code, error_code::deadline_exceeded);
    for (auto& each : held)
    {
        each.m_respond(each.m_body);
    }
    EXPECT_EQ(value_of(other.get()), "2");
}

} // namespace
} // namespace kingcuprudder

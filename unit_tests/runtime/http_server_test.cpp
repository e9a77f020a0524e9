#include "raw_connection.hpp"
#include <kingcuprudder/runtime/clocks.hpp>
#include <kingcuprudder/runtime/http_server.hpp>

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <atomic>
#include <filesystem>
#include <future>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <unistd.h>
#include <vector>

namespace kingcuprudder
{

namespace
{

const std::string get_request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

std::size_t open_descriptors()
{
    const std::filesystem::directory_iterator all("/proc/self/fd");
    return static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

/// Lets this process open no further descriptor until it is destroyed.
class no_free_descriptor
{
public:
    no_free_descriptor()
    {
        ::getrlimit(RLIMIT_NOFILE, &m_former);
        const int lowest_free = ::dup(STDERR_FILENO);
        ::close(lowest_free);
        rlimit lower = m_former;
        lower.rlim_cur = static_cast<rlim_t>(lowest_free);
        ::setrlimit(RLIMIT_NOFILE, &lower);
    }
    ~no_free_descriptor() { ::setrlimit(RLIMIT_NOFILE, &m_former); }
    no_free_descriptor(const no_free_descriptor&) = delete;
    no_free_descriptor& operator=(const no_free_descriptor&) = delete;

private:
    rlimit m_former{};
};

class http_server_test : public ::testing::Test
{
protected:
    ~http_server_test() override { m_loop.stop(); }

    static http_response echo(const http_request& request)
    {
        http_response response;
        response.m_body = request.m_method + " " + request.m_path + " " +
                          request.header("host") + " " + request.m_body;
        return response;
    }

    static http_server_limits pooled(std::size_t threads)
    {
        http_server_limits limits;
        limits.m_handler_threads = threads;
        return limits;
    }

    /// Keeps the loop's thread busy, so that what arrives meanwhile waits in
    /// the kernel.
    class blocked_loop
    {
    public:
        explicit blocked_loop(event_loop& loop)
        {
            auto begun = std::make_shared<std::promise<void>>();
            loop.post(
                [begun, released = m_release.get_future().share()]
                {
                    begun->set_value();
                    released.wait();
                });
            begun->get_future().wait();
        }

        void release() { m_release.set_value(); }

    private:
        std::promise<void> m_release;
    };

    /// Ends the loop's turn where it was posted until it is released, so that a
    /// test decides what the loop does first.
    class loop_stop
    {
    public:
        explicit loop_stop(event_loop& loop)
        {
            loop.post(
                [begun = m_begun, released = m_release.get_future().share()]
                {
                    begun->set_value();
                    released.wait();
                });
        }

        void wait() { m_begun->get_future().wait(); }
        void release() { m_release.set_value(); }

    private:
        std::shared_ptr<std::promise<void>> m_begun =
            std::make_shared<std::promise<void>>();
        std::promise<void> m_release;
    };

    static void wait_for_open_requests(const http_server& server,
                                       std::size_t count)
    {
        while (server.open_requests() < count)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }

    std::atomic<int> m_errors = 0;
    event_loop m_loop{[this](const std::string&) { ++m_errors; }};
};

} // namespace

TEST_F(http_server_test, requests_on_one_connection_are_answered_in_turn)
{
    http_server server(m_loop, "127.0.0.1:0", pooled(1), echo);
    raw_connection caller(server.address());
    ASSERT_TRUE(caller.send(get_request +
                            "POST /b%20c?d=1 HTTP/1.1\r\nHost: i\r\n"
                            "Content-Length: 2\r\n\r\nxy"));
    const std::string answers = caller.read_until("POST");
    EXPECT_NE(answers.find("GET /a h "), std::string::npos) << answers;
    EXPECT_NE((answers + caller.read_until("xy")).find("POST /b c i xy"),
              std::string::npos);
    m_loop.stop();
}

// Guards against callers with open or unfinished connections that occupy all
// threads, so that other callers wait.
TEST_F(http_server_test, idle_and_slow_callers_occupy_no_thread)
{
    http_server server(m_loop, "127.0.0.1:0", pooled(1), echo);
    std::vector<std::unique_ptr<raw_connection>> callers;
    for (int index = 0; index < 200; ++index)
    {
        callers.push_back(std::make_unique<raw_connection>(server.address()));
        if (index % 2 == 0)
        {
            callers.back()->send("POST /a HTTP/1.1\r\nContent-Le");
        }
    }
    raw_connection caller(server.address());
    ASSERT_TRUE(caller.send(get_request));
    EXPECT_NE(caller.read_until("GET /a").find("200 OK"), std::string::npos);
    m_loop.stop();
}

// Guards against a caller that sends a large body and gets a reset connection
// in place of the response, as the server closed it with unread bytes.
TEST_F(http_server_test, a_body_that_is_too_large_is_refused_while_it_is_sent)
{
    http_server_limits limits;
    limits.m_max_body_bytes = 1000;
    http_server server(m_loop, "127.0.0.1:0", limits, echo);
    raw_connection caller(server.address());
    caller.send("POST /a HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n");
    caller.send(std::string(4'000'000, 'x'));
    EXPECT_NE(caller.read_until("\r\n\r\n").find("413"), std::string::npos);
    m_loop.stop();
}

// Guards against one malformed request that ends the process or its thread.
TEST_F(http_server_test, a_malformed_request_is_refused_and_others_are_served)
{
    http_server server(m_loop, "127.0.0.1:0", pooled(1), echo);
    for (const char* bytes :
         {"\x16\x03\x01\x02\r\n\r\n", "GET\r\n\r\n", "GET /a HTTP/9.9\r\n\r\n",
          "GET / HTTP/1.1\r\nContent-Length: -4\r\n\r\n",
          "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"})
    {
        raw_connection hostile(server.address());
        hostile.send(bytes);
        EXPECT_NE(hostile.read_until("\r\n\r\n").find("400"), std::string::npos)
            << bytes;
    }
    raw_connection caller(server.address());
    caller.send(get_request);
    EXPECT_NE(caller.read_until("GET /a").find("200 OK"), std::string::npos);
    m_loop.stop();
}

TEST_F(http_server_test, an_exception_of_a_handler_ends_only_its_request)
{
    http_server server(m_loop, "127.0.0.1:0", pooled(1),
                       [](const http_request& request)
                       {
                           if (request.m_method == "POST")
                           {
                               throw std::runtime_error("unexpected");
                           }
                           return echo(request);
                       });
    raw_connection failing(server.address());
    failing.send("POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    EXPECT_NE(failing.read_until("\r\n\r\n").find("500"), std::string::npos);
    EXPECT_EQ(m_errors, 1);
    raw_connection caller(server.address());
    caller.send(get_request);
    EXPECT_NE(caller.read_until("GET /a").find("200 OK"), std::string::npos);
    m_loop.stop();
}

// Guards against a request that is taken for new, as it lay unread while the
// process stood still: on an open connection, on one that was not accepted yet,
// and behind another request.
TEST_F(http_server_test, an_unread_request_is_as_old_as_the_standstill)
{
    constexpr span length = span(900);
    std::mutex mutex;
    std::map<std::string, instant> begun;
    http_server server(m_loop, "127.0.0.1:0", pooled(2),
                       [&](const http_request& request)
                       {
                           std::lock_guard lock(mutex);
                           begun[request.m_path] = request.m_begun_at;
                           return echo(request);
                       });
    std::atomic<std::int64_t> noticed_ms = 0;
    server.watch_standstill([&](span noticed)
                            { noticed_ms = noticed.count(); });
    const raw_connection idle(server.address());
    const raw_connection later(server.address());
    ASSERT_TRUE(idle.send(get_request));
    ASSERT_NE(idle.read_until("GET /a").find("200 OK"), std::string::npos);
    blocked_loop blocked(m_loop);
    const instant stopped_at = boottime_now();
    const raw_connection fresh(server.address());
    ASSERT_TRUE(idle.send("GET /idle HTTP/1.1\r\nHost: h\r\n\r\n"));
    ASSERT_TRUE(fresh.send("GET /fresh HTTP/1.1\r\nHost: h\r\n\r\n"
                           "GET /behind HTTP/1.1\r\nHost: h\r\n\r\n"));
    std::this_thread::sleep_for(std::chrono::milliseconds(length.count()));
    blocked.release();
    EXPECT_NE(idle.read_until("GET /idle").find("200 OK"), std::string::npos);
    EXPECT_NE(fresh.read_until("GET /behind").find("200 OK"),
              std::string::npos);
    const instant served_at = boottime_now();
    ASSERT_TRUE(idle.send("GET /next HTTP/1.1\r\nHost: h\r\n\r\n"));
    idle.read_until("GET /next");
    ASSERT_TRUE(later.send("GET /later HTTP/1.1\r\nHost: h\r\n\r\n"));
    later.read_until("GET /later");
    std::lock_guard lock(mutex);
    EXPECT_LE(begun.at("/idle"), stopped_at);
    EXPECT_LE(begun.at("/fresh"), stopped_at);
    EXPECT_LE(begun.at("/behind"), stopped_at);
    EXPECT_GE(begun.at("/next"), served_at);
    EXPECT_GE(begun.at("/later"), served_at);
    EXPECT_GE(noticed_ms, length.count());
    m_loop.stop();
}

// Guards against a caller that always has its next request under way and whose
// requests all count as begun with its first one.
TEST_F(http_server_test, a_request_behind_another_is_no_older_than_its_bytes)
{
    constexpr span pause = span(300);
    constexpr int requests = 4;
    std::mutex mutex;
    std::vector<instant> begun;
    http_server server(m_loop, "127.0.0.1:0", pooled(1),
                       [&](const http_request& request)
                       {
                           std::lock_guard lock(mutex);
                           begun.push_back(request.m_begun_at);
                           return echo(request);
                       });
    const raw_connection caller(server.address());
    const std::string half = get_request.substr(0, get_request.size() / 2);
    const std::string rest = get_request.substr(half.size());
    ASSERT_TRUE(caller.send(half));
    instant sent = boottime_now();
    for (int index = 0; index < requests; ++index)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(pause.count()));
        const instant next = boottime_now();
        ASSERT_TRUE(caller.send(rest + half));
        ASSERT_NE(caller.read_until("GET /a").find("200 OK"),
                  std::string::npos);
        std::lock_guard lock(mutex);
        EXPECT_GE(begun.back() - sent, span(0) - pause / 2);
        sent = next;
    }
    m_loop.stop();
}

// A request that is not begun gets its refusal at once, not at its deadline.
TEST_F(http_server_test, requests_over_the_limit_are_refused_at_once)
{
    std::promise<void> release;
    std::shared_future<void> released = release.get_future().share();
    http_server_limits limits = pooled(1);
    limits.m_max_requests = 1;
    http_server server(m_loop, "127.0.0.1:0", limits,
                       [released](const http_request& request)
                       {
                           released.wait();
                           return echo(request);
                       });
    raw_connection first(server.address());
    first.send(get_request);
    raw_connection second(server.address());
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    second.send(get_request);
    const std::string refusal = second.read_until("\r\n\r\n");
    EXPECT_NE(refusal.find("503"), std::string::npos);
    EXPECT_NE(refusal.find("Retry-After: 1"), std::string::npos);
    release.set_value();
    EXPECT_NE(first.read_until("GET /a").find("200 OK"), std::string::npos);
    m_loop.stop();
}

// Guards against a request that is refused only when a thread is free, by which
// time its caller may have gone.
TEST_F(http_server_test, a_request_is_refused_while_all_threads_are_blocked)
{
    std::promise<void> release;
    std::shared_future<void> released = release.get_future().share();
    std::atomic<int> handled = 0;
    http_server_limits limits = pooled(1);
    limits.m_max_thread_wait = span(200);
    http_server server(m_loop, "127.0.0.1:0", limits,
                       [&](const http_request& request)
                       {
                           ++handled;
                           released.wait_for(std::chrono::seconds(5));
                           return echo(request);
                       });
    raw_connection first(server.address());
    ASSERT_TRUE(first.send(get_request));
    raw_connection second(server.address());
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    ASSERT_TRUE(second.send(get_request));
    const std::string refused = second.read_until("{}");
    EXPECT_NE(refused.find("503"), std::string::npos) << refused;
    EXPECT_EQ(released.wait_for(std::chrono::seconds(0)),
              std::future_status::timeout);
    EXPECT_EQ(handled, 1);
    release.set_value();
    EXPECT_NE(first.read_until("GET /a").find("200 OK"), std::string::npos);
    ASSERT_TRUE(second.send(get_request));
    EXPECT_NE(second.read_until("GET /a").find("200 OK"), std::string::npos);
    EXPECT_EQ(handled, 2);
    m_loop.stop();
}

// Guards against a request that is read at shutdown and never answered.
TEST_F(http_server_test, a_server_that_stops_reading_answers_what_it_has_read)
{
    std::promise<void> release;
    std::shared_future<void> released = release.get_future().share();
    std::promise<void> begun;
    http_server server(m_loop, "127.0.0.1:0", pooled(1),
                       [&, released](const http_request& request)
                       {
                           begun.set_value();
                           released.wait();
                           return echo(request);
                       });
    raw_connection idle(server.address());
    raw_connection caller(server.address());
    caller.send(get_request);
    begun.get_future().wait();
    server.stop_reading();
    EXPECT_EQ(idle.read_until("x"), "");
    EXPECT_FALSE(server.wait_for_answers(span(50)));
    EXPECT_EQ(server.open_requests(), 1u);
    release.set_value();
    EXPECT_TRUE(server.wait_for_answers(span(5000)));
    const std::string answer = caller.read_until("GET /a");
    EXPECT_NE(answer.find("200 OK"), std::string::npos);
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    m_loop.stop();
}

// The two below guard against a request that has reached the kernel when the
// server stops, and gets a reset connection in place of a response.
TEST_F(http_server_test, a_stop_answers_requests_of_connections_in_the_queue)
{
    http_server server(m_loop, "127.0.0.1:0", pooled(1), echo);
    raw_connection known(server.address());
    known.send(get_request);
    known.read_until("GET /a");
    blocked_loop blocked(m_loop);
    std::vector<std::unique_ptr<raw_connection>> callers;
    for (int index = 0; index < 20; ++index)
    {
        callers.push_back(std::make_unique<raw_connection>(server.address()));
        ASSERT_TRUE(callers.back()->send(get_request));
    }
    server.stop_reading();
    blocked.release();
    for (const auto& each : callers)
    {
        const std::string answer = each->read_until("GET /a");
        EXPECT_NE(answer.find("200 OK"), std::string::npos);
        EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    }
    m_loop.stop();
}

TEST_F(http_server_test, a_stop_answers_requests_of_kept_connections)
{
    http_server server(m_loop, "127.0.0.1:0", pooled(1), echo);
    std::vector<std::unique_ptr<raw_connection>> callers;
    for (int index = 0; index < 20; ++index)
    {
        callers.push_back(std::make_unique<raw_connection>(server.address()));
        ASSERT_TRUE(callers.back()->send(get_request));
        callers.back()->read_until("GET /a");
    }
    blocked_loop blocked(m_loop);
    for (const auto& each : callers)
    {
        ASSERT_TRUE(each->send(get_request));
    }
    server.stop_reading();
    blocked.release();
    for (const auto& each : callers)
    {
        const std::string answer = each->read_until("GET /a");
        EXPECT_NE(answer.find("200 OK"), std::string::npos);
        EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    }
    m_loop.stop();
}

// At shutdown callers are told to open a new connection elsewhere, while the
// process goes on to accept connections and to read requests.
TEST_F(http_server_test, connections_are_closed_at_shutdown)
{
    http_server server(m_loop, "127.0.0.1:0", pooled(1), echo);
    raw_connection kept(server.address());
    ASSERT_TRUE(kept.send(get_request));
    EXPECT_EQ(kept.read_until("GET /a").find("Connection: close"),
              std::string::npos);
    server.begin_closing();
    raw_connection added(server.address());
    for (const raw_connection* each : {&kept, &added})
    {
        ASSERT_TRUE(each->send(get_request));
        const std::string answer = each->read_until("GET /a");
        EXPECT_NE(answer.find("200 OK"), std::string::npos);
        EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    }
    m_loop.stop();
}

// Guards against callers that keep their connection after the listener is
// closed and get no response to their next request.
TEST_F(http_server_test, open_connections_are_read_after_the_listener_is_closed)
{
    http_server server(m_loop, "127.0.0.1:0", pooled(1), echo);
    raw_connection kept(server.address());
    server.stop_accepting();
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    EXPECT_FALSE(raw_connection(server.address()).connected());
    ASSERT_TRUE(kept.send(get_request));
    EXPECT_NE(kept.read_until("GET /a").find("200 OK"), std::string::npos);
    m_loop.stop();
}

// Guards against a connection that is begun between the last acceptance and the
// close of the listener, and is reset with the request that is sent on it.
TEST_F(http_server_test, no_connection_is_begun_between_the_stop_and_the_close)
{
    http_server server(m_loop, "127.0.0.1:0", pooled(1), echo);
    server.stop_accepting();
    blocked_loop blocked(m_loop);
    std::future<bool> connected =
        std::async(std::launch::async, [&]
                   { return raw_connection(server.address()).connected(); });
    EXPECT_EQ(connected.wait_for(std::chrono::milliseconds(300)),
              std::future_status::timeout);
    blocked.release();
    EXPECT_FALSE(connected.get());
    m_loop.stop();
}

// Guards against a request that arrives as the idle timeout expires and gets a
// reset connection in place of a response.
TEST_F(http_server_test, a_request_at_the_idle_timeout_is_answered)
{
    http_server_limits limits = pooled(1);
    limits.m_idle_timeout = span(150);
    http_server server(m_loop, "127.0.0.1:0", limits, echo);
    raw_connection caller(server.address());
    ASSERT_TRUE(caller.send(get_request));
    caller.read_until("GET /a");
    blocked_loop blocked(m_loop);
    ASSERT_TRUE(caller.send(get_request));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    blocked.release();
    EXPECT_NE(caller.read_until("GET /a").find("200 OK"), std::string::npos);
    m_loop.stop();
}

// The same with the timer's turn before that of the bytes that have arrived.
TEST_F(http_server_test, a_request_that_arrives_after_the_idle_time_is_answered)
{
    http_server_limits limits = pooled(1);
    limits.m_idle_timeout = span(150);
    http_server server(m_loop, "127.0.0.1:0", limits, echo);
    raw_connection caller(server.address());
    ASSERT_TRUE(caller.send(get_request));
    caller.read_until("GET /a");
    // Until then the server has not begun to wait for the next request.
    while (server.open_requests() > 0)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    loop_stop before_expiry(m_loop);
    before_expiry.wait();
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    loop_stop after_expiry(m_loop);
    before_expiry.release();
    after_expiry.wait();
    ASSERT_TRUE(caller.send(get_request));
    after_expiry.release();
    EXPECT_NE(caller.read_until("GET /a").find("200 OK"), std::string::npos);
    m_loop.stop();
}

// Guards against a caller that is slow to send its request and is not told that
// it was not received.
TEST_F(http_server_test, a_request_that_is_not_received_in_time_is_refused)
{
    http_server_limits limits = pooled(1);
    limits.m_transfer_timeout = span(150);
    http_server server(m_loop, "127.0.0.1:0", limits, echo);
    for (const char* part : {"GET /a HT", "POST /a HTTP/1.1\r\nContent-Length: "
                                          "9\r\n\r\nxy"})
    {
        raw_connection caller(server.address());
        ASSERT_TRUE(caller.send(part));
        EXPECT_NE(caller.read_until("{}").find("408"), std::string::npos);
    }
    m_loop.stop();
}

// Guards against a caller that stalls without any limit, and keeps the exit
// waiting: its time ends while a read is complete and not handled yet, so that
// there is nothing to cancel, and the reads that follow have no timer.
TEST_F(http_server_test, a_request_whose_time_ends_between_two_reads_is_refused)
{
    http_server_limits limits = pooled(1);
    limits.m_transfer_timeout = span(150);
    http_server server(m_loop, "127.0.0.1:0", limits, echo);
    raw_connection caller(server.address());
    ASSERT_TRUE(caller.send("GET /a HTTP/1.1\r\nX-Long: "));
    wait_for_open_requests(server, 1);
    blocked_loop blocked(m_loop);
    // More than one read takes, and not the end of the header.
    ASSERT_TRUE(caller.send(std::string(8000, 'x')));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    blocked.release();
    EXPECT_NE(caller.read_until("{}").find("408"), std::string::npos);
    // The caller may read the last byte before the server notes it as written.
    server.stop_reading();
    EXPECT_TRUE(server.wait_for_answers(span(1000)));
    m_loop.stop();
}

// Guards against an exit while a request waits in a connection that the kernel
// had accepted for the server, and whose turn on the loop comes after the stop.
TEST_F(http_server_test, a_connection_that_is_begun_after_the_stop_is_counted)
{
    http_server server(m_loop, "127.0.0.1:0", pooled(1), echo);
    raw_connection known(server.address());
    ASSERT_TRUE(known.send(get_request));
    known.read_until("GET /a");
    loop_stop before_accept(m_loop);
    before_accept.wait();
    raw_connection first(server.address());
    raw_connection second(server.address());
    ASSERT_TRUE(second.send(get_request));
    loop_stop before_stop(m_loop);
    before_accept.release();
    before_stop.wait();
    // The loop now has the acceptance of the first connection before the stop,
    // and that of the second one after it.
    server.stop_reading();
    loop_stop after_stop(m_loop);
    before_stop.release();
    after_stop.wait();
    loop_stop before_read(m_loop);
    after_stop.release();
    before_read.wait();
    EXPECT_FALSE(server.wait_for_answers(span(0)));
    before_read.release();
    EXPECT_NE(second.read_until("GET /a").find("200 OK"), std::string::npos);
    EXPECT_TRUE(server.wait_for_answers(span(5000)));
    m_loop.stop();
}

// Guards against connections that are reset, as the server had no descriptor
// for them at the moment in which it closed its listener.
TEST_F(http_server_test, a_stop_without_descriptors_keeps_the_queue_for_a_while)
{
    http_server server(m_loop, "127.0.0.1:0", pooled(1), echo);
    raw_connection known(server.address());
    ASSERT_TRUE(known.send(get_request));
    known.read_until("GET /a");
    blocked_loop blocked(m_loop);
    raw_connection caller(server.address());
    ASSERT_TRUE(caller.send(get_request));
    {
        const no_free_descriptor used_up;
        server.stop_accepting();
        blocked.release();
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    EXPECT_NE(caller.read_until("GET /a").find("200 OK"), std::string::npos);
    m_loop.stop();
}

// Guards against a caller that is still sending its request at the exit and is
// not told that it did not run.
TEST_F(http_server_test,
       a_request_that_is_being_received_at_the_exit_is_refused)
{
    http_server_limits limits = pooled(1);
    limits.m_transfer_timeout = span(20'000);
    http_server server(m_loop, "127.0.0.1:0", limits, echo);
    raw_connection caller(server.address());
    ASSERT_TRUE(caller.send("POST /a HTTP/1.1\r\nHost: h\r\n"
                            "Content-Length: 100\r\n\r\nxy"));
    wait_for_open_requests(server, 1);
    server.stop_reading();
    EXPECT_FALSE(server.wait_for_answers(span(50)));
    server.answer_open_requests();
    EXPECT_TRUE(server.wait_for_answers(span(1000)));
    EXPECT_NE(caller.read_until("}").find("HTTP/1.1 "), std::string::npos);
    m_loop.stop();
}

// Guards against callers that do not close their ended connections and keep
// the process's descriptors.
TEST_F(http_server_test, ended_connections_are_closed_when_there_are_too_many)
{
    http_server_limits limits;
    limits.m_max_connections = 16;
    http_server server(m_loop, "127.0.0.1:0", limits, echo);
    std::vector<std::unique_ptr<raw_connection>> callers;
    for (int index = 0; index < 40; ++index)
    {
        callers.push_back(std::make_unique<raw_connection>(server.address()));
        callers.back()->send(get_request);
        EXPECT_NE(callers.back()->read_until("GET /a"), "");
    }
    // Of the sockets of the server, at most these are still open.
    std::size_t open = 0;
    for (const auto& each : callers)
    {
        open += each->send(get_request) && each->read_until("GET /a") != "";
    }
    EXPECT_LE(open, 16u);
    EXPECT_GE(open, 15u);
    m_loop.stop();
}

// The same, seen from the descriptors that the server holds.
TEST_F(http_server_test, ended_connections_hold_a_bounded_number_of_descriptors)
{
    constexpr std::size_t callers_count = 40;
    http_server_limits limits;
    limits.m_max_connections = 16;
    http_server server(m_loop, "127.0.0.1:0", limits, echo);
    const std::size_t before = open_descriptors();
    std::vector<std::unique_ptr<raw_connection>> callers;
    while (callers.size() < callers_count)
    {
        callers.push_back(std::make_unique<raw_connection>(server.address()));
        callers.back()->send(get_request);
        EXPECT_NE(callers.back()->read_until("GET /a"), "");
    }
    // An eighth over the limit, and the newest.
    EXPECT_LE(open_descriptors() - before - callers_count, 19u);
    m_loop.stop();
}

// Guards against a request that arrives as its connection is closed to make
// room, and gets a reset connection in place of a response.
TEST_F(http_server_test, a_request_on_the_longest_idle_connection_is_answered)
{
    http_server_limits limits;
    limits.m_max_connections = 1;
    http_server server(m_loop, "127.0.0.1:0", limits, echo);
    raw_connection caller(server.address());
    ASSERT_TRUE(caller.send(get_request));
    caller.read_until("GET /a");
    blocked_loop blocked(m_loop);
    raw_connection next(server.address());
    ASSERT_TRUE(next.send(get_request));
    ASSERT_TRUE(caller.send(get_request));
    blocked.release();
    EXPECT_NE(caller.read_until("GET /a").find("200 OK"), std::string::npos);
    EXPECT_NE(next.read_until("GET /a").find("200 OK"), std::string::npos);
    m_loop.stop();
}

// Guards against an exit before the last byte of a response is written, or
// while a request waits for a thread.
TEST_F(http_server_test, a_request_is_open_until_its_response_is_written)
{
    std::promise<void> release;
    std::shared_future<void> released = release.get_future().share();
    std::atomic<int> handled = 0;
    http_server server(m_loop, "127.0.0.1:0", pooled(1),
                       [&, released](const http_request& request)
                       {
                           released.wait();
                           ++handled;
                           return echo(request);
                       });
    std::vector<std::unique_ptr<raw_connection>> callers;
    for (int index = 0; index < 5; ++index)
    {
        callers.push_back(std::make_unique<raw_connection>(server.address()));
        ASSERT_TRUE(callers.back()->send(get_request));
    }
    // Sends no more than a part of its request.
    raw_connection slow(server.address());
    ASSERT_TRUE(slow.send("GET /b HTTP/1.1\r\n"));
    while (server.open_requests() < 6)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    server.stop_reading();
    {
        blocked_loop blocked(m_loop);
        release.set_value();
        while (handled < 5)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        EXPECT_EQ(server.open_requests(), 6u);
        blocked.release();
    }
    for (const auto& each : callers)
    {
        EXPECT_NE(each->read_until("GET /a").find("200 OK"), std::string::npos);
    }
    EXPECT_FALSE(server.wait_for_answers(span(50)));
    ASSERT_TRUE(slow.send("Host: h\r\n\r\n"));
    EXPECT_TRUE(server.wait_for_answers(span(5000)));
    EXPECT_NE(slow.read_until("GET /b").find("200 OK"), std::string::npos);
    m_loop.stop();
}

// Guards against callers such as curl that wait a second before they send a
// body of over 1,024 bytes.
TEST_F(http_server_test, a_caller_that_asks_before_it_sends_is_told_to_send)
{
    http_server server(m_loop, "127.0.0.1:0", pooled(1), echo);
    raw_connection caller(server.address());
    caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
                "Expect: 100-continue\r\n\r\n");
    EXPECT_EQ(caller.read_until("\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
    caller.send("xy");
    EXPECT_NE(caller.read_until("xy").find("200 OK"), std::string::npos);
    m_loop.stop();
}

TEST_F(http_server_test, the_longest_idle_connection_makes_room_for_a_new_one)
{
    http_server_limits limits;
    limits.m_max_connections = 2;
    http_server server(m_loop, "127.0.0.1:0", limits, echo);
    raw_connection first(server.address());
    first.send(get_request);
    first.read_until("GET /a");
    raw_connection second(server.address());
    second.send(get_request);
    second.read_until("GET /a");
    raw_connection third(server.address());
    third.send(get_request);
    EXPECT_NE(third.read_until("GET /a").find("200 OK"), std::string::npos);
    EXPECT_EQ(first.read_until("x"), "");
    m_loop.stop();
}

} // namespace kingcuprudder

#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/runtime/http_listener.hpp>
#include <kingcuprudder/runtime/ip_address.hpp>

#include <gtest/gtest.h>
#include <stand_ins/limited_link.hpp>

#include <chrono>
#include <future>
#include <httplib.h>
#include <string>

namespace kingcuprudder::stand_ins
{

namespace
{

constexpr std::size_t server_threads = 4;
constexpr std::size_t body_bytes = 125'000;
/// The time that a body takes on the link.
constexpr span body_time = span(100);
constexpr span delay = span(20);
/// The margin for a busy machine.
constexpr span slack = span(2000);

class limited_link_test : public ::testing::Test
{
protected:
    /// Returns the length of a body that was read over the link, or 0.
    static std::size_t read_body(httplib::Client& client)
    {
        const httplib::Result result = client.Get("/body");
        return result ? result->body.size() : 0;
    }

    static httplib::Client client_of(const limited_link& link, span timeout)
    {
        const ip_address address = parse_ip_address(link.address());
        httplib::Client client(address.m_host, address.m_port);
        client.set_keep_alive(true);
        client.set_read_timeout(std::chrono::milliseconds(timeout.count()));
        return client;
    }

    link_limits limits() const
    {
        link_limits made;
        made.m_bytes_per_second =
            static_cast<std::int64_t>(body_bytes) * 1000 / body_time.count();
        made.m_one_way_delay = delay;
        return made;
    }

    http_listener m_server{
        "127.0.0.1:0", server_threads,
        [](httplib::Server& server)
        {
            server.Get("/body",
                       [](const httplib::Request&, httplib::Response& response)
                       {
                           response.set_content(std::string(body_bytes, 'x'),
                                                "text/plain");
                       });
        }};
};

} // namespace

TEST_F(limited_link_test, an_answer_takes_its_time_on_the_link)
{
    const limited_link link(m_server.address(), limits());
    httplib::Client client = client_of(link, slack);
    const instant began = node::boottime_now();
    EXPECT_EQ(read_body(client), body_bytes);
    const span took = node::boottime_now() - began;
    EXPECT_GE(took, body_time + delay * 2);
    EXPECT_LT(took, body_time + slack);
    EXPECT_GE(link.answered_bytes(), body_bytes);
}

TEST_F(limited_link_test, connections_share_the_bandwidth)
{
    const limited_link link(m_server.address(), limits());
    const instant began = node::boottime_now();
    const auto read = [&link]
    {
        httplib::Client client = client_of(link, slack);
        return read_body(client);
    };
    std::future<std::size_t> other = std::async(std::launch::async, read);
    EXPECT_EQ(read(), body_bytes);
    EXPECT_EQ(other.get(), body_bytes);
    EXPECT_GE(node::boottime_now() - began, body_time * 2 + delay * 2);
}

TEST_F(limited_link_test, a_connection_that_lost_an_answer_returns_no_other)
{
    limited_link link(m_server.address(), limits());
    httplib::Client client = client_of(link, body_time * 3);
    EXPECT_EQ(read_body(client), body_bytes);
    link.set_lost_answers(1);
    EXPECT_EQ(read_body(client), 0U);
    link.set_lost_answers(0);
    httplib::Client next = client_of(link, slack);
    EXPECT_EQ(read_body(next), body_bytes);
}

} // namespace kingcuprudder::stand_ins

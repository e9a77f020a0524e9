#include <kingcuprudder/runtime/http_request_reader.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuprudder
{

namespace
{

constexpr http_read_limits small_limits{1024, 2048, 512};

/// What a reader made of the bytes of a connection.
struct read_result
{
    std::vector<http_request> m_requests;
    std::optional<http_read_error> m_error;
    std::size_t m_most_held_bytes = 0;
};

/// Gives the bytes to a reader in parts of this size.
read_result read_in_parts(std::string_view bytes, std::size_t part,
                          const http_read_limits& limits = small_limits)
{
    read_result result;
    http_request_reader reader(limits);
    while (!bytes.empty() && !result.m_error)
    {
        const std::size_t size = std::min(part, bytes.size());
        std::memcpy(reader.prepare(size).data(), bytes.data(), size);
        reader.commit(size);
        bytes.remove_prefix(size);
        http_read_state state = reader.read();
        while (state == http_read_state::header_complete ||
               state == http_read_state::complete)
        {
            result.m_most_held_bytes =
                std::max(result.m_most_held_bytes, reader.held_bytes());
            if (state == http_read_state::complete)
            {
                result.m_requests.push_back(reader.take_request());
                reader.begin_request(limits);
            }
            state = reader.read();
        }
        if (state == http_read_state::failed)
        {
            result.m_error = reader.error();
        }
        result.m_most_held_bytes =
            std::max(result.m_most_held_bytes, reader.held_bytes());
    }
    return result;
}

const std::string chunked_head =
    "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string repeated(const std::string& text, std::size_t bytes)
{
    std::string all;
    while (all.size() < bytes)
    {
        all += text;
    }
    return all;
}

} // namespace

TEST(http_request_reader, pipelined_requests_are_read_whatever_their_parts)
{
    const std::string bytes =
        "GET /a%20b?c=d HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n\r\n"
        "POST /c HTTP/1.1\r\nContent-Length: 3\r\n\r\nxyz" +
        chunked_head + "2;ext=1\r\nab\r\n1\r\nc\r\n0\r\nTrailer: t\r\n\r\n" +
        "DELETE /e HTTP/1.1\r\nConnection: close\r\n\r\n";
    for (std::size_t part = 1; part <= bytes.size(); ++part)
    {
        const read_result result = read_in_parts(bytes, part);
        ASSERT_FALSE(result.m_error) << part;
        ASSERT_EQ(result.m_requests.size(), 4u) << part;
        EXPECT_EQ(result.m_requests[0].m_path, "/a b");
        EXPECT_EQ(result.m_requests[0].header("x-a"), "1");
        EXPECT_EQ(result.m_requests[1].m_body, "xyz");
        EXPECT_EQ(result.m_requests[2].m_body, "abc");
        EXPECT_EQ(result.m_requests[2].header("trailer"), "");
        EXPECT_EQ(result.m_requests[3].m_method, "DELETE");
    }
}

// Guards against a limit that refuses a client within it.
TEST(http_request_reader, a_request_at_the_limits_is_read)
{
    const std::string start = "POST /a HTTP/1.1\r\n";
    const std::string length = "Content-Length: 2048\r\n\r\n";
    const std::string name = "X: ";
    const std::string value(small_limits.m_header_bytes - start.size() -
                                length.size() - name.size() - 2,
                            'v');
    const std::string bytes = start + name + value + "\r\n" + length +
                              std::string(small_limits.m_body_bytes, 'b');
    for (const std::size_t part : {1u, 7u, 1024u, 100'000u})
    {
        const read_result result = read_in_parts(bytes, part);
        EXPECT_EQ(result.m_requests.size(), 1u) << part;
    }
    const std::string one_byte_chunks =
        chunked_head + repeated("1\r\nx\r\n", 6 * small_limits.m_body_bytes) +
        "0\r\n\r\n";
    const read_result result = read_in_parts(one_byte_chunks, 100);
    ASSERT_EQ(result.m_requests.size(), 1u);
    EXPECT_EQ(result.m_requests[0].m_body.size(), small_limits.m_body_bytes);
}

// The limits of the operators' configuration.
TEST(http_request_reader, a_request_at_the_default_limits_is_read)
{
    constexpr std::size_t body = std::size_t{256} * 1024;
    const std::string bytes =
        chunked_head + repeated("1\r\nx\r\n", 6 * body) + "0\r\n\r\n";
    const read_result result = read_in_parts(bytes, 8192, http_read_limits());
    ASSERT_EQ(result.m_requests.size(), 1u);
    EXPECT_EQ(result.m_requests[0].m_body.size(), body);
}

// Guards against a peer that makes the reader retain all that it sends.
TEST(http_request_reader, what_has_no_end_is_refused_by_its_limit)
{
    constexpr std::size_t much = 1'000'000;
    const std::string field = "A-Name: " + std::string(100, 'v') + "\r\n";
    const std::string start = "POST /a HTTP/1.1\r\n";
    const struct
    {
        std::string m_bytes;
        http_read_error m_error;
    } cases[] = {
        {"GET /" + std::string(much, 'p'), http_read_error::header_too_large},
        {start + repeated(field, much), http_read_error::header_too_large},
        {start + repeated("a:\r\n", much), http_read_error::header_too_large},
        {start + "Content-Length: 2049\r\n\r\n",
         http_read_error::body_too_large},
        {chunked_head + "801\r\n", http_read_error::body_too_large},
        {chunked_head +
             repeated("100\r\n" + std::string(256, 'x') + "\r\n", much),
         http_read_error::body_too_large},
        {chunked_head + "1;a=" + std::string(much, 'e'),
         http_read_error::framing_too_large},
        {chunked_head +
             repeated("1;" + std::string(400, 'e') + "\r\nx\r\n", much),
         http_read_error::framing_too_large},
        {chunked_head + "0\r\n" + repeated(field, much),
         http_read_error::framing_too_large},
        {"GET\r\n\r\n", http_read_error::malformed},
    };
    constexpr std::size_t part = 512;
    for (const auto& each : cases)
    {
        const read_result result = read_in_parts(each.m_bytes, part);
        const std::string shown = each.m_bytes.substr(0, 80);
        ASSERT_TRUE(result.m_error) << shown;
        EXPECT_EQ(*result.m_error, each.m_error) << shown;
        EXPECT_TRUE(result.m_requests.empty()) << shown;
        EXPECT_LE(result.m_most_held_bytes, 64u * 1024) << shown;
    }
}

TEST(http_request_reader, an_announced_length_reserves_little_memory)
{
    const std::string bytes =
        "POST /a HTTP/1.1\r\nContent-Length: 262144\r\n\r\nx";
    const read_result result =
        read_in_parts(bytes, bytes.size(), http_read_limits());
    EXPECT_FALSE(result.m_error);
    EXPECT_LE(result.m_most_held_bytes, 16u * 1024);
}

} // namespace kingcuprudder

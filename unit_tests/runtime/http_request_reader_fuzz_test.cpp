#include <kingcuprudder/runtime/http_request_reader.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <random>
#include <string>
#include <vector>

namespace kingcuprudder
{

namespace
{

constexpr http_read_limits limits{512, 600, 200};
// What the reader may hold with these limits: twice each part as buffers grow,
// and an entry for each of the shortest header fields.
constexpr std::size_t most_held_bytes =
    2 * (512 + 600 + 200 + 2 * 8192) + (512 / 4 + 1) * 160;

unsigned number_from_environment(const char* name, unsigned otherwise)
{
    const char* text = std::getenv(name);
    return text == nullptr
               ? otherwise
               : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

/// Makes the bytes of a connection from the parts of HTTP messages.
class message_generator
{
public:
    explicit message_generator(unsigned seed) : m_random(seed) {}

    std::string connection()
    {
        std::string bytes;
        const unsigned requests = 1 + below(3);
        for (unsigned at = 0; at < requests; ++at)
        {
            bytes += request();
        }
        const unsigned mutations = below(4);
        for (unsigned at = 0; at < mutations && !bytes.empty(); ++at)
        {
            mutate(bytes);
        }
        return bytes;
    }

    unsigned below(unsigned bound)
    {
        return std::uniform_int_distribution<unsigned>(0, bound - 1)(m_random);
    }

private:
    std::string filler(unsigned most) { return std::string(below(most), 'f'); }

    std::string fields(unsigned most)
    {
        std::string text;
        const unsigned count = below(most);
        for (unsigned at = 0; at < count; ++at)
        {
            text += "N" + std::to_string(below(9)) + ": " + filler(60) + "\r\n";
        }
        return text;
    }

    std::string request()
    {
        static const char* const methods[] = {"GET", "POST", "DELETE", "X"};
        std::string text = std::string(methods[below(4)]) + " /" + filler(40) +
                           " HTTP/1." + std::to_string(below(2)) + "\r\n" +
                           fields(6);
        switch (below(3))
        {
        case 0:
            return text + "\r\n";
        case 1:
        {
            const std::string body = filler(700);
            return text + "Content-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body;
        }
        default:
            return text + "Transfer-Encoding: chunked\r\n\r\n" + chunks();
        }
    }

    std::string chunks()
    {
        static const char* const digits = "0123456789abcdef";
        std::string text;
        const unsigned count = below(8);
        for (unsigned at = 0; at < count; ++at)
        {
            const std::string body(1 + below(15), 'c');
            text += std::string(1, digits[body.size()]) +
                    (below(3) == 0 ? ";e=" + filler(220) : "") + "\r\n" + body +
                    "\r\n";
        }
        return text + "0\r\n" + fields(5) + "\r\n";
    }

    void mutate(std::string& bytes)
    {
        const unsigned at = below(static_cast<unsigned>(bytes.size()));
        switch (below(4))
        {
        case 0:
            bytes[at] = static_cast<char>(below(256));
            return;
        case 1:
            bytes.erase(at, 1 + below(4));
            return;
        case 2:
            bytes.insert(
                at, bytes.substr(below(static_cast<unsigned>(bytes.size())),
                                 below(200)));
            return;
        default:
            bytes.insert(at, below(2) == 0 ? "\r\n" : "ffffffffffffffffff");
            return;
        }
    }

    std::mt19937 m_random;
};

/// The requests of a connection and how its reading ended.
struct outcome
{
    std::vector<http_request> m_requests;
    bool m_failed = false;
};

outcome read(const std::string& bytes, message_generator& random, unsigned part)
{
    outcome result;
    http_request_reader reader(limits);
    std::size_t given = 0;
    while (given < bytes.size() && !result.m_failed)
    {
        const std::size_t size =
            std::min<std::size_t>(1 + random.below(part), bytes.size() - given);
        std::memcpy(reader.prepare(size).data(), bytes.data() + given, size);
        reader.commit(size);
        given += size;
        http_read_state state = http_read_state::header_complete;
        while (state == http_read_state::header_complete ||
               state == http_read_state::complete)
        {
            state = reader.read();
            EXPECT_LE(reader.held_bytes(), most_held_bytes);
            if (state == http_read_state::complete)
            {
                result.m_requests.push_back(reader.take_request());
                reader.begin_request(limits);
            }
        }
        result.m_failed = state == http_read_state::failed;
    }
    return result;
}

} // namespace

// Guards against bytes that end the process, that are read differently when
// they are split differently, or that the reader retains without a bound.
// KCR_FUZZ_FIRST_SEED and KCR_FUZZ_SEEDS play others.
TEST(http_request_reader_fuzz, parts_of_any_size_give_the_same_requests)
{
    const unsigned first = number_from_environment("KCR_FUZZ_FIRST_SEED", 1);
    const unsigned seeds = number_from_environment("KCR_FUZZ_SEEDS", 20'000);
    std::size_t requests = 0;
    for (unsigned seed = first; seed < first + seeds; ++seed)
    {
        message_generator random(seed);
        const std::string bytes = random.connection();
        const outcome whole = read(bytes, random, 1);
        for (const unsigned part : {2u, 30u, 8192u})
        {
            const outcome in_parts = read(bytes, random, part);
            ASSERT_EQ(in_parts.m_requests, whole.m_requests)
                << "seed " << seed << ", parts up to " << part << ":\n"
                << bytes;
            // A header without its end may be found malformed sooner when more
            // of it is there.
            ASSERT_TRUE(in_parts.m_failed || !whole.m_failed)
                << "seed " << seed << ", parts up to " << part << ":\n"
                << bytes;
        }
        requests += whole.m_requests.size();
    }
    EXPECT_GE(requests, seeds / 2);
}

} // namespace kingcuprudder

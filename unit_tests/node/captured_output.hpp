#ifndef UNIT_TESTS_NODE_CAPTURED_OUTPUT_HPP
#define UNIT_TESTS_NODE_CAPTURED_OUTPUT_HPP

#include <gtest/gtest.h>

#include <array>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace kingcuprudder::node
{

/// Redirects standard output to a pipe.
class captured_output
{
public:
    captured_output()
    {
        std::array<int, 2> ends{};
        EXPECT_EQ(pipe(ends.data()), 0);
        m_saved = dup(STDOUT_FILENO);
        dup2(ends[1], STDOUT_FILENO);
        close(ends[1]);
        m_reader = ends[0];
        fcntl(m_reader, F_SETFL, O_NONBLOCK);
    }

    std::string read_all()
    {
        std::string text;
        std::array<char, 65536> part{};
        ssize_t count = 0;
        while ((count = read(m_reader, part.data(), part.size())) > 0)
        {
            text.append(part.data(), static_cast<std::size_t>(count));
        }
        return text;
    }

    void restore()
    {
        dup2(m_saved, STDOUT_FILENO);
        close(m_saved);
    }

    ~captured_output() { close(m_reader); }

private:
    int m_saved = -1;
    int m_reader = -1;
};

} // namespace kingcuprudder::node

#endif

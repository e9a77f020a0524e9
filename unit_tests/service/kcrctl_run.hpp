#ifndef KINGCUPRUDDER_UNIT_TESTS_SERVICE_KCRCTL_RUN_HPP
#define KINGCUPRUDDER_UNIT_TESTS_SERVICE_KCRCTL_RUN_HPP

#include <gtest/gtest.h>
#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <string>

namespace kingcuprudder
{

/// The exit code and output of a command.
struct command_outcome
{
    int m_code = -1;
    std::string m_output; ///< Standard output and standard error.

    bool says(const std::string& text) const
    {
        return m_output.find(text) != std::string::npos;
    }
};

/// Runs a shell command; for programs of this repository only.
inline command_outcome run_command(const std::string& command)
{
    command_outcome seen;
    FILE* pipe = popen((command + " 2>&1").c_str(), "r");
    std::array<char, 4096> buffer{};
    std::size_t count = 0;
    while ((count = fread(buffer.data(), 1, buffer.size(), pipe)) > 0)
    {
        seen.m_output.append(buffer.data(), count);
    }
    const int status = pclose(pipe);
    seen.m_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return seen;
}

inline command_outcome run_kcrctl(const std::string& words)
{
    return run_command(std::string(KCR_BINARY_DIR) + "/bin/kcrctl " + words);
}

inline void expect_outcome(const command_outcome& seen, int code,
                           const std::string& text)
{
    EXPECT_EQ(seen.m_code, code) << seen.m_output;
    EXPECT_TRUE(seen.says(text))
        << "expected: " << text << "\nfound: " << seen.m_output;
}

} // namespace kingcuprudder

#endif

#ifndef UNIT_TESTS_CROWD_CROWD_FIXTURE_HPP
#define UNIT_TESTS_CROWD_CROWD_FIXTURE_HPP

#include "process_watch.hpp"
#include <kingcuprudder/base/time.hpp>

#include <gtest/gtest.h>
#include <soak/deployment.hpp>
#include <unit_tests/runtime/raw_connection.hpp>

#include <chrono>
#include <deque>
#include <filesystem>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace kingcuprudder
{

/// The instance that the processes are told to run on. The bounds of the tests
/// are its memory and its descriptors.
inline constexpr int instance_memory_mb = 48;
inline constexpr int instance_descriptors = 400;
/// A process at rest uses less than half of the memory of its instance.
inline constexpr std::size_t rest_memory_mb = instance_memory_mb / 2;
/// How long a crowd stays.
inline constexpr span crowd_time = span(3000);

inline std::string crowd_test_folder()
{
    const std::string folder =
        ::testing::TempDir() + "/crowd-" + std::to_string(getpid());
    std::filesystem::create_directories(folder);
    return folder;
}

inline void sleep_for(span time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time.count()));
}

/// Returns the first line of the response to a job's submission with this
/// number, or "".
inline std::string submit_job(const std::string& address, int number)
{
    const std::string body =
        R"({"spec":"9","steps":[{"count":1,"cpu":9,"memMb":1,"gpu":1}]})";
    std::string id = std::to_string(number);
    id.insert(0, 16 - id.size(), '0');
    const raw_connection caller(address);
    caller.send("POST /q/" + id +
                " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\n"
                "Content-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
    const std::string response = caller.read_until("\r\n\r\n");
    return response.substr(0, response.find('\r'));
}

/// Checks that the processes live and stay within the limits of their instance.
class instance_watch
{
public:
    explicit instance_watch(const soak::deployment& nodes) : m_nodes(nodes)
    {
        for (int each = 0; each < nodes.size(); ++each)
        {
            m_descriptors.emplace_back(nodes.process_id(each));
        }
    }

    void expect_within_limits() const
    {
        for (int each = 0; each < m_nodes.size(); ++each)
        {
            const std::size_t peak = peak_resident_mb(m_nodes.process_id(each));
            EXPECT_GT(peak, 0u) << "process " << each << " has ended";
            EXPECT_LE(peak, std::size_t{instance_memory_mb})
                << "MB at the peak, process " << each;
            EXPECT_LE(m_descriptors[each].peak(),
                      std::size_t{instance_descriptors})
                << "descriptors, process " << each;
        }
    }

    /// Waits a while until the memory is that of a process at rest.
    void expect_memory_released() const
    {
        constexpr int tries = 100;
        for (int each = 0; each < m_nodes.size(); ++each)
        {
            const pid_t process = m_nodes.process_id(each);
            for (int at = 0;
                 at < tries && resident_mb(process) > rest_memory_mb; ++at)
            {
                sleep_for(span(100));
            }
            EXPECT_LE(resident_mb(process), rest_memory_mb)
                << "MB after the crowd, process " << each;
        }
    }

    /// Prints what the processes have used at most and use now.
    void print() const
    {
        for (int each = 0; each < m_nodes.size(); ++each)
        {
            const pid_t process = m_nodes.process_id(each);
            std::cout << "process " << each << ": " << peak_resident_mb(process)
                      << " MB at the peak, " << resident_mb(process)
                      << " MB afterwards, " << m_descriptors[each].peak()
                      << " descriptors" << std::endl;
        }
    }

private:
    const soak::deployment& m_nodes;
    std::deque<descriptor_watch> m_descriptors;
};

} // namespace kingcuprudder

#endif

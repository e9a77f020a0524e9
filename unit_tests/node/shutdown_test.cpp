#include <gtest/gtest.h>
#include <soak/deployment.hpp>
#include <stand_ins/platform_stand_in.hpp>
#include <unit_tests/runtime/raw_connection.hpp>

#include <chrono>
#include <filesystem>
#include <string>
#include <thread>
#include <unistd.h>

namespace kingcuprudder::soak
{

namespace
{

/// The shutdown grace time of the processes of a deployment.
constexpr span grace = span::seconds(3);
/// A delay that is longer than any timeout of a call.
constexpr span silent = span::seconds(4);

std::string test_folder()
{
    const std::string folder =
        ::testing::TempDir() + "/shutdown-" + std::to_string(getpid());
    std::filesystem::create_directories(folder);
    return folder;
}

void sleep_for(span time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time.count()));
}

/// One process beside a store with faults.
class shutdown_test : public ::testing::Test
{
protected:
    void SetUp() override
    {
        m_nodes.start(0);
        for (int attempt = 0; attempt < 100 && !accepts_job(attempt); ++attempt)
        {
            sleep_for(span(100));
        }
    }

    static std::string submission(int number, const std::string& header)
    {
        const std::string body =
            R"({"spec":"9","steps":[{"count":1,"cpu":9,"memMb":1,"gpu":1}]})";
        std::string id = std::to_string(number);
        id.insert(0, 16 - id.size(), '0');
        return "POST /q/" + id +
               " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\n" +
               header + "Content-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }

    bool accepts_job(int number)
    {
        const raw_connection caller(m_nodes.caller_address(0));
        caller.send(submission(number, ""));
        return caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 200");
    }

    /// Delays the calls with this name, or all if it is empty.
    void slow_down(const std::string& name, span delay)
    {
        m_platform.set_delay_hook(
            [name, delay](const std::string& call)
            { return name.empty() || call == name ? delay : span(0); });
    }

    stand_ins::platform_stand_in m_platform{4};
    deployment m_nodes{KCR_BINARY_DIR "/bin/kcr_node", test_folder(),
                       m_platform.store_address(), 1};
};

} // namespace

// Guards against a process that waits for the store at its shutdown until it is
// killed with requests in progress.
TEST_F(shutdown_test, a_leader_exits_in_time_while_the_store_is_silent)
{
    sleep_for(span(1000));
    slow_down("", silent);
    sleep_for(span(300));
    m_nodes.terminate(0);
    EXPECT_TRUE(m_nodes.wait_for_exit(0, grace));
}

// The same while it reads the records of many jobs, page by page.
TEST_F(shutdown_test, a_leader_that_reads_its_records_exits_in_time)
{
    for (int number = 1000; number < 1100; ++number)
    {
        ASSERT_TRUE(accepts_job(number));
    }
    m_nodes.kill(0);
    slow_down("kv-range", span(1300));
    m_nodes.start(0);
    sleep_for(span(1500));
    m_nodes.terminate(0);
    EXPECT_TRUE(m_nodes.wait_for_exit(0, grace));
}

// Guards against a caller that waits longer than the process lives and sees its
// connection reset in place of a response.
TEST_F(shutdown_test, a_request_that_would_outlive_the_process_is_answered)
{
    slow_down("kv-txn", silent);
    const raw_connection caller(m_nodes.caller_address(0));
    ASSERT_TRUE(caller.send(submission(900, "X-Deadline-Ms: 20000\r\n")));
    sleep_for(span(200));
    m_nodes.terminate(0);
    const std::string answer = caller.read_until("}");
    EXPECT_NE(answer.find("HTTP/1.1 504"), std::string::npos) << answer;
    EXPECT_TRUE(m_nodes.wait_for_exit(0, grace));
}

} // namespace kingcuprudder::soak

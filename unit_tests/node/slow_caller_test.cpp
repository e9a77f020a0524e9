#include <gtest/gtest.h>
#include <soak/caller_connection.hpp>
#include <soak/deployment.hpp>
#include <stand_ins/platform_stand_in.hpp>

#include <chrono>
#include <filesystem>
#include <string>
#include <thread>
#include <unistd.h>

namespace kingcuprudder::soak
{

namespace
{

constexpr span response_timeout = span(4000);
/// The shutdown grace time of the process.
constexpr span grace = span::seconds(3);
const std::string header_end = "\r\n\r\n";

std::string test_folder()
{
    const std::string folder =
        ::testing::TempDir() + "/slow-caller-" + std::to_string(getpid());
    std::filesystem::create_directories(folder);
    return folder;
}

void sleep_for(span time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time.count()));
}

/// One process and callers that send their requests in parts.
class slow_caller_test : public ::testing::Test
{
protected:
    void SetUp() override
    {
        m_nodes.start(0);
        for (int attempt = 0; attempt < 100 && !accepts_job(); ++attempt)
        {
            sleep_for(span(100));
        }
    }

    bool accepts_job() const
    {
        caller_connection caller(m_nodes.caller_address(0));
        caller.send(job_request_text("POST", "0000000000000001", job_body(9)));
        const auto answer = caller.read_response(response_timeout);
        return answer && answer->m_status == 200;
    }

    stand_ins::platform_stand_in m_platform{4};
    deployment m_nodes{KCR_BINARY_DIR "/bin/kcr_node", test_folder(),
                       m_platform.store_address(), 1};
};

} // namespace

// Guards against a process without load that refuses, as overloaded, each
// request whose body takes longer to arrive than a request may wait for a
// thread: no process would ever accept it.
TEST_F(slow_caller_test, a_body_that_arrives_slowly_is_not_refused)
{
    caller_connection caller(m_nodes.caller_address(0));
    const std::string request =
        job_request_text("POST", "0000000000000002", job_body(9));
    const std::size_t header_size = request.find(header_end) + 4;
    ASSERT_TRUE(caller.send(request.substr(0, header_size)));
    sleep_for(span(700));
    ASSERT_TRUE(caller.send(request.substr(header_size)));
    const auto answer = caller.read_response(response_timeout);
    ASSERT_TRUE(answer) << caller.error();
    EXPECT_EQ(answer->m_status, 200) << answer->m_body;
}

// Guards against a reset connection for a caller whose request has arrived in
// part when the process exits. Nothing of it was begun, so it may be repeated.
TEST_F(slow_caller_test, a_request_that_has_arrived_in_part_is_refused_at_exit)
{
    caller_connection caller(m_nodes.caller_address(0));
    const std::string request =
        job_request_text("POST", "0000000000000003", job_body(9));
    m_nodes.terminate(0);
    ASSERT_TRUE(caller.send(request.substr(0, request.size() - 1)));
    const auto answer = caller.read_response(response_timeout);
    ASSERT_TRUE(answer) << caller.error();
    EXPECT_EQ(answer->m_status, 503);
    EXPECT_TRUE(answer->m_closes);
    EXPECT_TRUE(m_nodes.wait_for_exit(0, grace));
}

} // namespace kingcuprudder::soak

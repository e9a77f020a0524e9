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

constexpr span response_timeout = span(6000);
const std::string job = "0000000000000002";

std::string test_folder()
{
    const std::string folder =
        ::testing::TempDir() + "/standstill-" + std::to_string(getpid());
    std::filesystem::create_directories(folder);
    return folder;
}

void sleep_for(span time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time.count()));
}

/// Two processes, of which the first one can be stopped.
class standstill_test : public ::testing::Test
{
protected:
    void SetUp() override
    {
        for (int node = 0; node < m_nodes.size(); ++node)
        {
            m_nodes.start(node);
        }
        for (int node = 0; node < m_nodes.size(); ++node)
        {
            for (int attempt = 0; attempt < 100; ++attempt)
            {
                if (call(node, "POST", "000000000000000a") == 200)
                {
                    break;
                }
                sleep_for(span(100));
            }
        }
    }

    static std::string text(const std::string& method, const std::string& id)
    {
        return job_request_text(method, id,
                                method == "POST" ? job_body(9) : "");
    }

    /// Returns the status of the response, or 0.
    int call(int node, const std::string& method, const std::string& id) const
    {
        caller_connection caller(m_nodes.caller_address(node));
        caller.send(text(method, id));
        const auto answer = caller.read_response(response_timeout);
        return answer ? answer->m_status : 0;
    }

    stand_ins::platform_stand_in m_platform{4};
    deployment m_nodes{KCR_BINARY_DIR "/bin/kcr_node", test_folder(),
                       m_platform.store_address(), 2};
};

} // namespace

// Guards against a submission that lies unread at a process that stands still
// and is accepted later, however long ago its caller gave up. The callers of
// this test wait for 3 s.
TEST_F(standstill_test, a_request_that_lay_unread_past_its_deadline_is_refused)
{
    caller_connection open(m_nodes.caller_address(0));
    open.send(text("GET", "000000000000000a"));
    ASSERT_TRUE(open.read_response(response_timeout));
    m_nodes.pause(0);
    sleep_for(span(300));
    caller_connection fresh(m_nodes.caller_address(0));
    ASSERT_TRUE(open.send(text("POST", "0000000000000003")));
    ASSERT_TRUE(fresh.send(text("POST", job)));
    sleep_for(span(3500));
    m_nodes.resume(0);
    for (caller_connection* each : {&open, &fresh})
    {
        const auto answer = each->read_response(response_timeout);
        ASSERT_TRUE(answer) << each->error();
        EXPECT_EQ(answer->m_status, 503);
    }
    EXPECT_EQ(call(1, "GET", job), 410);
    EXPECT_EQ(call(0, "POST", job), 200) << "a new request is served";
}

// Guards against a job that starts after its cancellation was answered, as its
// submission lay unread, but not for so long that its deadline has passed.
TEST_F(standstill_test, a_job_that_was_cancelled_elsewhere_is_not_accepted)
{
    m_nodes.pause(0);
    sleep_for(span(300));
    {
        const caller_connection leaving(m_nodes.caller_address(0));
        ASSERT_TRUE(leaving.send(text("POST", job)));
    }
    EXPECT_EQ(call(1, "DELETE", job), 410);
    sleep_for(span(700));
    m_nodes.resume(0);
    sleep_for(span(1000));
    EXPECT_EQ(call(1, "GET", job), 410);
    EXPECT_EQ(call(0, "POST", job), 503);
}

} // namespace kingcuprudder::soak

#include <kingcuprudder/node/clocks.hpp>

#include <gtest/gtest.h>
#include <soak/caller_connection.hpp>
#include <soak/deployment.hpp>
#include <stand_ins/platform_stand_in.hpp>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <string>
#include <thread>
#include <unistd.h>

namespace kingcuprudder::soak
{

namespace
{

constexpr span running = span(12);
constexpr span stopped = span(88);
constexpr span response_timeout = span(15'000);
/// The time that callers wait unless they say otherwise, and some for the
/// periods in which the process is stopped.
constexpr span caller_time = span(3400);
constexpr span silent = span(5000);

std::string test_folder()
{
    const std::string folder =
        ::testing::TempDir() + "/slow-processor-" + std::to_string(getpid());
    std::filesystem::create_directories(folder);
    return folder;
}

void sleep_for(span time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time.count()));
}

/// Lets a process run for 12 ms of each 100 ms.
class processor_throttle
{
public:
    processor_throttle(deployment& nodes, int node)
        : m_thread(
              [this, &nodes, node]
              {
                  while (!m_stopping)
                  {
                      nodes.pause(node);
                      sleep_for(stopped);
                      nodes.resume(node);
                      sleep_for(running);
                  }
              })
    {
    }
    ~processor_throttle()
    {
        m_stopping = true;
        m_thread.join();
    }
    processor_throttle(const processor_throttle&) = delete;
    processor_throttle& operator=(const processor_throttle&) = delete;

private:
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

/// One process with a small share of a core beside a store that is silent.
class slow_processor_test : public ::testing::Test
{
protected:
    void SetUp() override
    {
        m_nodes.start(0);
        for (int attempt = 0; attempt < 100; ++attempt)
        {
            if (call("POST", "0000000000000001") == 200)
            {
                break;
            }
            sleep_for(span(100));
        }
        m_platform.set_delay_hook(
            [](const std::string& name)
            { return name == "kv-keep" ? span(0) : silent; });
    }
    void TearDown() override { m_platform.set_delay_hook(nullptr); }

    /// Returns the status of the response, or 0.
    int call(const std::string& method, const std::string& id) const
    {
        caller_connection caller(m_nodes.caller_address(0));
        const std::string body = method == "POST" ? job_body(9) : "";
        caller.send(job_request_text(method, id, body));
        const auto answer = caller.read_response(response_timeout);
        return answer ? answer->m_status : 0;
    }

    /// Expects a response before the caller gives up.
    void expect_response_in_time(const std::string& method)
    {
        const processor_throttle throttle(m_nodes, 0);
        const instant sent = node::boottime_now();
        EXPECT_GE(call(method, "0000000000000002"), 503);
        EXPECT_LT((node::boottime_now() - sent).count(), caller_time.count());
    }

    stand_ins::platform_stand_in m_platform{4};
    deployment m_nodes{KCR_BINARY_DIR "/bin/kcr_node", test_folder(),
                       m_platform.store_address(), 1};
};

} // namespace

// Guard against timeouts of the calls to the store that count only the time in
// which the process runs, so that callers are answered after they have left.
TEST_F(slow_processor_test, a_submission_is_answered_in_time)
{
    expect_response_in_time("POST");
}

TEST_F(slow_processor_test, a_status_call_is_answered_in_time)
{
    expect_response_in_time("GET");
}

} // namespace kingcuprudder::soak

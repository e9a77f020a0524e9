#include <gtest/gtest.h>
#include <soak/deployment.hpp>
#include <stand_ins/platform_stand_in.hpp>
#include <unit_tests/runtime/raw_connection.hpp>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace kingcuprudder::soak
{

namespace
{

constexpr int max_threads = 24;
constexpr int workers = 60;
constexpr int callers = 150;

int threads_of(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string word;
    while (status >> word)
    {
        if (word == "Threads:")
        {
            int threads = 0;
            status >> threads;
            return threads;
        }
    }
    return 0;
}

/// Returns whether the process answers a submission with status 200.
bool accepts_job(const std::string& address, int number)
{
    const raw_connection caller(address);
    const std::string body =
        R"({"spec":"10","steps":[{"count":60,"cpu":100,"memMb":1,"gpu":1}]})";
    std::string id = std::to_string(number);
    id.insert(0, 16 - id.size(), '0');
    caller.send("POST /q/" + id +
                " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k\r\n"
                "Content-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
    return caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 200");
}

} // namespace

// Guards against a thread for each worker or each connection: at hundreds of
// instances a machine has no room for them.
TEST(process_threads, their_number_depends_on_neither_workers_nor_callers)
{
    stand_ins::platform_stand_in platform(workers);
    platform.write_configuration(1, "k");
    const std::string folder = ::testing::TempDir() + "/threads";
    std::filesystem::create_directories(folder);
    deployment nodes(KCR_BINARY_DIR "/bin/kcr_node", folder,
                     platform.store_address(), 1);
    nodes.start(0);
    bool accepted = false;
    for (int at = 0; at < 100 && !accepted; ++at)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        accepted = accepts_job(nodes.caller_address(0), 1);
    }
    ASSERT_TRUE(accepted);
    std::vector<std::unique_ptr<raw_connection>> open;
    for (int at = 0; at < callers; ++at)
    {
        open.push_back(
            std::make_unique<raw_connection>(nodes.caller_address(0)));
        open.back()->send("GET /q/ HTTP/1.1\r\n");
    }
    EXPECT_TRUE(accepts_job(nodes.caller_address(0), 2));
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    EXPECT_FALSE(platform.minions().completion_counts().empty());
    EXPECT_LE(threads_of(nodes.process_id(0)), max_threads);
    EXPECT_EQ(platform.minions().violations(), std::vector<std::string>());
}

} // namespace kingcuprudder::soak

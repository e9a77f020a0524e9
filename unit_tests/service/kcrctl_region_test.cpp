#include "kcrctl_run.hpp"
#include "test_region.hpp"
#include <kingcuprudder/service/entry_process.hpp>

#include <demo/free_port.hpp>

#include <cstdio>
#include <fstream>
#include <future>
#include <httplib.h>

namespace kingcuprudder
{
namespace
{

/// A region with one scheduler and one entry process, and kcrctl configured for
/// it.
class kcrctl_region : public testing::Test
{
protected:
    kcrctl_region() : m_region(3, 1)
    {
        entry_options options;
        options.m_instance = instance_id("i1");
        options.m_address = "127.0.0.1:0";
        options.m_health_address = "127.0.0.1:0";
        options.m_instance_list = m_region.m_list.address();
        options.m_drain_time = span(0);
        m_entry = std::make_unique<entry_process>(
            options, m_region.m_store.address(), region_id("r"));
        EXPECT_TRUE(wait_until([&] { return !m_region.owner().empty(); }));
        EXPECT_TRUE(
            wait_until([&] { return kcrctl("jobs list a").m_code == 0; }));
    }

    ~kcrctl_region() override { m_entry->shut_down(); }

    scheduler_service& scheduler()
    {
        return *m_region.m_schedulers.begin()->second;
    }

    command_outcome kcrctl(const std::string& words)
    {
        return run_kcrctl(words + " --region r --entry " + m_entry->address() +
                          " --store " + m_region.m_store.address() +
                          " --scheduler " + scheduler().http_address() +
                          " --instance-list " + m_region.m_list.address());
    }

    test_region m_region;
    std::unique_ptr<entry_process> m_entry;
};

std::string metrics_at(const std::string& address)
{
    httplib::Client client("http://" + address);
    const auto answer = client.Get("/metrics");
    return answer ? answer->body : "";
}

// Guards against commands of kcrctl that do not match the interfaces of the
// processes.
TEST_F(kcrctl_region, each_command_works_against_real_processes)
{
    expect_outcome(kcrctl("jobs submit a j1 --class c --tasks 2 --run-time-s 5 "
                          "--payload '{\"run_ms\":20}' --wait-s 30"),
                   0, "outcome   succeeded (ran)");
    expect_outcome(kcrctl("jobs list a"), 0, "succeeded (ran)");
    expect_outcome(kcrctl("jobs show a j1 --json"), 0, "\"phase\": \"ended\"");
    expect_outcome(kcrctl("jobs show a j2"), 3, "unknown_job");
    expect_outcome(kcrctl("jobs submit a j3 --class c --tasks 2 "
                          "--payload '{\"run_ms\":600000}'"),
                   0, "a/j3");
    expect_outcome(kcrctl("jobs submit a j4 --class c --tasks 3 "
                          "--accelerators 8 --proximity region"),
                   0, "phase     queued");
    expect_outcome(kcrctl("jobs why a j4"), 0, "expected start");
    expect_outcome(kcrctl("jobs cancel a j4"), 0, "cancelled (not_run)");
    expect_outcome(kcrctl("jobs cancel a j3"), 0, "a/j3");
    expect_outcome(kcrctl("workers"), 0, "w2");
    expect_outcome(kcrctl("accounts"), 0, "a        0");
    expect_outcome(kcrctl("classes"), 0, "3600000");
    expect_outcome(kcrctl("dump"), 0, "owning yes");
    expect_outcome(kcrctl("dump " + m_entry->health_address()), 0,
                   "settings revision: ");
}

// Guards against a change of settings that does not reach the processes, and
// against metrics that are declared but never set.
TEST_F(kcrctl_region, a_change_reaches_the_metrics_of_the_processes)
{
    expect_outcome(kcrctl("settings set regions.r.accounts.a.priority 5"), 0,
                   "accepted");
    const std::string revision =
        " " + std::to_string(m_region.m_store.get("live/settings").m_revision) +
        "\n";
    const auto shows = [](const std::string& address, const std::string& line)
    { return metrics_at(address).find(line) != std::string::npos; };
    EXPECT_TRUE(wait_until(
        [&]
        {
            return shows(scheduler().http_address(),
                         "\nkcr_scheduler_settings_revision" + revision) &&
                   shows(m_entry->health_address(),
                         "\nkcr_entry_settings_revision" + revision);
        }));
    expect_outcome(kcrctl("jobs submit a j1 --class c --run-time-s 5 "
                          "--payload '{\"run_ms\":20}' --wait-s 30"),
                   0, "succeeded");
    const std::string numbers = metrics_at(scheduler().http_address());
    for (const char* line :
         {"kcr_scheduler_owner_bool 1", "kcr_scheduler_takeovers_total 1",
          "kcr_scheduler_placements_total 1",
          "kcr_scheduler_ended_jobs_total 1", "kcr_scheduler_listed_workers 3",
          "kcr_scheduler_free_accelerators 24",
          "kcr_scheduler_scattered_accelerators 0"})
    {
        EXPECT_NE(numbers.find(line), std::string::npos) << line << "\n"
                                                         << numbers;
    }
}

// Guards against a drain request that kills the process or has no effect.
TEST_F(kcrctl_region, drain_ends_a_process_gracefully)
{
    const std::string health = demo::free_loopback_address();
    const std::string path = testing::TempDir() + "kcrctl_drain_" +
                             health.substr(health.find(':') + 1) + ".json";
    std::ofstream(path) << R"({"instance":"i9","region":"r","zone":"z0",)"
                        << R"("stream_address":")"
                        << demo::free_loopback_address()
                        << R"(","http_address":")"
                        << demo::free_loopback_address()
                        << R"(","health_address":")" << health
                        << R"(","store_address":")"
                        << m_region.m_store.address()
                        << R"(","instance_list_address":")"
                        << m_region.m_list.address() << "\"}";
    auto ended = std::async(std::launch::async,
                            [path]
                            {
                                return run_command(
                                    std::string(KCR_BINARY_DIR) +
                                    "/bin/kcr_scheduler --settings " + path);
                            });
    httplib::Client client("http://" + health);
    ASSERT_TRUE(wait_until([&] { return bool(client.Get("/health")); }));
    expect_outcome(run_kcrctl("drain " + health + " --wait-s 30"), 0,
                   "takes no new work");
    expect_outcome(ended.get(), 0, "");
    std::remove(path.c_str());
}

} // namespace
} // namespace kingcuprudder

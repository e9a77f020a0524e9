#include <demo/http_json.hpp>
#include <demo/local_cluster.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <future>
#include <map>
#include <set>
#include <sstream>

// Faults of whole processes over loopback. Each test polls for the expected
// state with a generous timeout.

namespace kingcuprudder::demo
{
namespace
{

constexpr span event_timeout = span::seconds(60);
const std::string account = "pest-korhazak";

std::string settings_tree()
{
    std::ifstream file(KCR_SOURCE_DIR "/demo/settings/kovacsmuhely_demo.json");
    std::ostringstream text;
    text << file.rdbuf();
    nlohmann::json tree = nlohmann::json::parse(text.str());
    // A lost worker is declared dead after its task lease. A short lease
    // reduces the run time of the tests.
    tree["defaults"]["scheduler"]["min_task_lease_s"] = 10;
    return tree.dump();
}

class process_fault : public testing::Test
{
protected:
    process_fault() : m_cluster(options()) { m_cluster.start(); }

    static local_cluster_options options()
    {
        const auto* test =
            testing::UnitTest::GetInstance()->current_test_info();
        local_cluster_options options;
        options.m_binary_folder = KCR_BINARY_DIR "/bin";
        options.m_work_folder =
            std::string(KCR_BINARY_DIR "/fault_tests/") + test->name();
        options.m_settings_tree = settings_tree();
        options.m_region = "dunakanyar";
        options.m_zones = {"visegrad", "szentendre"};
        options.m_service = "foglalo";
        return options;
    }

    http_answer submit(const std::string& id, unsigned tasks, unsigned run_ms,
                       std::size_t entry = 0) const
    {
        const nlohmann::json payload = {{"run_ms", run_ms}};
        const nlohmann::json body = {
            {"account", account},
            {"id", id},
            {"class", "roster"},
            {"shape",
             {{"tasks", tasks},
              {"accelerators_per_task", 8},
              {"proximity", tasks > 4 ? "region" : "zone"}}},
            {"run_time_ms", run_ms},
            {"payload", payload.dump()}};
        return http_post(m_cluster.entry_address(entry), "/v1/jobs", body,
                         span::seconds(20));
    }

    nlohmann::json status(const std::string& id) const
    {
        const nlohmann::json job = json_of(http_get(
            m_cluster.entry_address(0), "/v1/jobs/" + account + "/" + id));
        return job.is_object() ? job : nlohmann::json::object();
    }

    bool reaches(const std::string& id, const std::string& phase) const
    {
        return wait_until([&]
                          { return status(id).value("phase", "") == phase; },
                          event_timeout);
    }

    bool another_owner_than(std::size_t owner) const
    {
        return wait_until(
            [&]
            {
                const std::size_t now = m_cluster.owner_index();
                return now != owner && now < scheduler_count();
            },
            event_timeout);
    }

    std::size_t scheduler_count() const
    {
        return m_cluster.schedulers().size();
    }

    /// Checks that exactly one attempt of the job succeeded, on all of its
    /// parts, and that no worker started an attempt twice.
    void expect_ran_once(const std::string& id, unsigned parts) const
    {
        std::map<unsigned, unsigned> succeeded;
        std::set<std::pair<std::string, unsigned>> started;
        const nlohmann::json histories = m_cluster.worker_history();
        for (const auto& [worker, events] : histories.items())
        {
            for (const auto& event : events)
            {
                if (event.at("attempt").at("job").at("id") != id)
                {
                    continue;
                }
                const auto attempt =
                    event.at("attempt").at("attempt").get<unsigned>();
                if (event.at("event") == "start")
                {
                    EXPECT_TRUE(started.emplace(worker, attempt).second)
                        << worker << " started attempt " << attempt << " of "
                        << id << " twice";
                }
                else if (event.at("state") == "succeeded")
                {
                    ++succeeded[attempt];
                }
            }
        }
        ASSERT_EQ(succeeded.size(), 1u) << id;
        EXPECT_EQ(succeeded.begin()->second, parts) << id;
        EXPECT_EQ(status(id).value("outcome", ""), "succeeded") << id;
    }

    local_cluster m_cluster;
};

// Guards against a takeover that restarts or loses the gang of a killed owner.
TEST_F(process_fault, killed_owner)
{
    ASSERT_EQ(submit("gang", 4, 8000).m_status / 100, 2);
    ASSERT_TRUE(reaches("gang", "running"));
    const std::size_t owner = m_cluster.owner_index();
    m_cluster.schedulers()[owner].m_process.send_signal(SIGKILL);
    ASSERT_TRUE(another_owner_than(owner));
    ASSERT_EQ(submit("after", 2, 500).m_status / 100, 2);
    ASSERT_TRUE(reaches("gang", "ended"));
    ASSERT_TRUE(reaches("after", "ended"));
    expect_ran_once("gang", 4);
    expect_ran_once("after", 2);
}

// Guards against an owner that acts on outdated state after it was suspended
// for longer than its lease.
TEST_F(process_fault, frozen_owner_resumes)
{
    ASSERT_EQ(submit("gang", 4, 8000).m_status / 100, 2);
    ASSERT_TRUE(reaches("gang", "running"));
    const std::size_t owner = m_cluster.owner_index();
    m_cluster.schedulers()[owner].m_process.send_signal(SIGSTOP);
    ASSERT_TRUE(another_owner_than(owner));
    ASSERT_EQ(submit("after", 4, 3000).m_status / 100, 2);
    ASSERT_TRUE(reaches("after", "running"));
    m_cluster.schedulers()[owner].m_process.send_signal(SIGCONT);
    ASSERT_TRUE(reaches("gang", "ended"));
    ASSERT_TRUE(reaches("after", "ended"));
    expect_ran_once("gang", 4);
    expect_ran_once("after", 4);
}

// Guards against new processes that lose accepted jobs or restart running ones.
TEST_F(process_fault, all_schedulers_die_at_once)
{
    ASSERT_EQ(submit("gang", 4, 8000).m_status / 100, 2);
    ASSERT_TRUE(reaches("gang", "running"));
    ASSERT_EQ(submit("waiting", 8, 500).m_status / 100, 2);
    for (member_process& each : m_cluster.schedulers())
    {
        each.m_process.send_signal(SIGKILL);
    }
    m_cluster.add_scheduler();
    m_cluster.add_scheduler();
    ASSERT_TRUE(reaches("gang", "ended"));
    ASSERT_TRUE(reaches("waiting", "ended"));
    expect_ran_once("gang", 4);
    expect_ran_once("waiting", 8);
}

// Guards against running work that is lost in a store outage, and against a job
// that exists although it was refused during the outage.
TEST_F(process_fault, store_down_for_longer_than_every_lease)
{
    ASSERT_EQ(submit("gang", 4, 6000).m_status / 100, 2);
    ASSERT_TRUE(reaches("gang", "running"));
    m_cluster.set_store_faults({{"outage", true}});
    const http_answer refused = submit("refused", 1, 500);
    EXPECT_EQ(refused.m_status, 503) << refused.m_body;
    const bool all_parts_ended = wait_until(
        [&]
        {
            unsigned ends = 0;
            for (const auto& events : m_cluster.worker_history())
            {
                for (const auto& event : events)
                {
                    ends += event.at("event") == "end" ? 1 : 0;
                }
            }
            return ends == 4;
        },
        event_timeout);
    ASSERT_TRUE(all_parts_ended);
    m_cluster.set_store_faults({{"outage", false}});
    ASSERT_TRUE(reaches("gang", "ended"));
    expect_ran_once("gang", 4);
    ASSERT_TRUE(
        wait_until([&] { return submit("later", 1, 500).m_status / 100 == 2; },
                   event_timeout));
    ASSERT_TRUE(reaches("later", "ended"));
    if (json_of(refused).value("verdict", "") == "not_run")
    {
        EXPECT_TRUE(status("refused").value("phase", "").empty())
            << "a job that was refused with not_run exists";
    }
}

// Guards against a gang that continues with a part of its workers, or is
// abandoned, when one of them dies.
TEST_F(process_fault, worker_dies_mid_gang)
{
    ASSERT_EQ(submit("gang", 4, 4000).m_status / 100, 2);
    ASSERT_TRUE(reaches("gang", "running"));
    const std::string victim = status("gang")["placement"][0]["worker"];
    for (member_process& each : m_cluster.workers())
    {
        if (each.m_name == victim)
        {
            each.m_process.send_signal(SIGKILL);
        }
    }
    ASSERT_TRUE(reaches("gang", "ended"));
    EXPECT_EQ(status("gang").value("outcome", ""), "succeeded");
    EXPECT_EQ(status("gang").value("attempt", 0), 2);
}

// Guards against a shutdown that interrupts requests in progress.
TEST_F(process_fault, entry_shuts_down_under_load)
{
    constexpr int callers = 16;
    for (member_process& minion : m_cluster.minions())
    {
        http_post(minion.m_http_address, "/admin/behaviour",
                  {{"service_time_ms", 700}});
    }
    std::vector<std::future<http_answer>> answers;
    for (int i = 0; i < callers; ++i)
    {
        answers.push_back(std::async(
            std::launch::async,
            [this, i]
            {
                const nlohmann::json body = {
                    {"account", account},      {"service", "foglalo"},
                    {"id", std::to_string(i)}, {"idempotent", i % 2 == 0},
                    {"timeout_ms", 10000},     {"body", "x"}};
                return http_post(m_cluster.entry_address(1), "/v1/requests",
                                 body, span::seconds(20));
            }));
    }
    const auto runs = [this]
    {
        std::size_t count = 0;
        for (const auto& history : m_cluster.minion_history())
        {
            count += history.at("runs").size();
        }
        return count;
    };
    ASSERT_TRUE(wait_until([&] { return runs() > 0; }, event_timeout));
    m_cluster.entries()[1].m_process.send_signal(SIGTERM);
    for (auto& each : answers)
    {
        const http_answer answer = each.get();
        EXPECT_EQ(answer.m_status, 200) << answer.m_body;
    }
    EXPECT_EQ(runs(), static_cast<std::size_t>(callers));
    EXPECT_TRUE(
        m_cluster.entries()[1].m_process.wait_for_exit(span::seconds(20)));
    EXPECT_EQ(m_cluster.entries()[1].m_process.exit_status(), 0);
}

// Guards against a process that does not apply a settings change.
TEST_F(process_fault, settings_reach_every_process_within_three_seconds)
{
    nlohmann::json tree = nlohmann::json::parse(settings_tree());
    tree["regions"]["dunakanyar"]["accounts"]["new-account"] = {
        {"priority", 1}};
    m_cluster.replace_settings_tree(tree.dump());
    const nlohmann::json body = {{"account", "new-account"},
                                 {"class", "roster"},
                                 {"shape", {{"tasks", 1}}},
                                 {"payload", "{\"run_ms\":10}"}};
    for (std::size_t entry = 0; entry < 2; ++entry)
    {
        nlohmann::json job = body;
        job["id"] = "job-" + std::to_string(entry);
        EXPECT_TRUE(wait_until(
            [&]
            {
                return http_post(m_cluster.entry_address(entry), "/v1/jobs",
                                 job)
                               .m_status /
                           100 ==
                       2;
            },
            span::seconds(3)));
    }
}

} // namespace
} // namespace kingcuprudder::demo

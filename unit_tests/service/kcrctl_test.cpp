#include "kcrctl_run.hpp"
#include <kingcuprudder/runtime/http_listener.hpp>

#include <gtest/gtest.h>
#include <stand_ins/fake_instance_list.hpp>
#include <stand_ins/fake_store.hpp>

#include <future>
#include <httplib.h>
#include <sstream>

namespace kingcuprudder
{
namespace
{

/// An unreachable address: nothing listens on port 1 of the loopback interface.
const std::string unreachable_address = "127.0.0.1:1";

// Guards against a command without help or one that is not listed.
TEST(kcrctl, each_command_has_help)
{
    const command_outcome overview = run_kcrctl("--help");
    ASSERT_EQ(overview.m_code, 0);
    std::istringstream lines(overview.m_output);
    std::string line;
    int commands = 0;
    while (std::getline(lines, line))
    {
        if (line.rfind("  ", 0) != 0)
        {
            continue;
        }
        const std::string name = line.substr(2, line.find("  ", 2) - 2);
        const command_outcome help = run_kcrctl(name + " --help");
        expect_outcome(help, 0, "--json");
        ++commands;
    }
    EXPECT_GE(commands, 18);
    expect_outcome(run_kcrctl("settings"), 0, "settings history");
}

// Guards against exit codes and messages that do not distinguish the causes of
// a failure.
TEST(kcrctl, a_wrong_command_line_is_refused)
{
    expect_outcome(run_kcrctl("job list"), 2, "did you mean 'jobs list'?");
    expect_outcome(run_kcrctl(""), 2, "a command is needed");
    expect_outcome(run_kcrctl("jobs show a"), 2, "see kcrctl jobs show --help");
    expect_outcome(run_kcrctl("jobs list a"), 2, "needs --entry");
    expect_outcome(run_kcrctl("jobs list a --entry host:80"), 2,
                   "entry: 'host' is not an IP address");
    expect_outcome(run_kcrctl("workers --config /no/file"), 2,
                   "/no/file: cannot be read");
}

TEST(kcrctl, a_process_that_is_down_is_named_with_its_address)
{
    expect_outcome(run_kcrctl("jobs list a --entry " + unreachable_address), 5,
                   "entry process at 127.0.0.1:1 cannot be reached");
    expect_outcome(run_kcrctl("settings get --store " + unreachable_address), 5,
                   "store at 127.0.0.1:1 did not answer");
    expect_outcome(run_kcrctl("workers --instance-list " + unreachable_address),
                   5, "instance list at 127.0.0.1:1 cannot be reached");
    expect_outcome(run_kcrctl("dump " + unreachable_address), 5,
                   "process at 127.0.0.1:1 cannot be reached");
    expect_outcome(run_kcrctl("drain " + unreachable_address), 5,
                   "process at 127.0.0.1:1 cannot be reached");
}

constexpr std::size_t listener_threads = 4;

// Guards against failing although another entry process is available, and
// against trying the next entry process after a refusal.
TEST(kcrctl, job_commands_go_on_to_the_next_entry_process)
{
    http_listener entry(
        "127.0.0.1:0", listener_threads,
        [](httplib::Server& server)
        {
            server.Get("/v1/jobs",
                       [](const auto&, httplib::Response& to) {
                           to.set_content(R"({"jobs":[]})", "application/json");
                       });
            server.Delete("/v1/jobs/a/j",
                          [](const auto&, httplib::Response& to)
                          {
                              to.status = 404;
                              to.set_content(R"({"code":"unknown_job",)"
                                             R"("message":"no job a/j",)"
                                             R"("verdict":"not_run"})",
                                             "application/json");
                          });
        });
    const std::string entries = " --entry " + unreachable_address + " --entry ";
    expect_outcome(run_kcrctl("jobs list a" + entries + entry.address()), 0,
                   "JOB");
    expect_outcome(run_kcrctl("jobs cancel a j" + entries + entry.address()), 3,
                   "unknown_job: no job a/j (verdict not_run)");
}

// Guards against reporting "not done" for a submission that may have arrived.
TEST(kcrctl, a_submission_without_answer_has_an_unknown_outcome)
{
    std::promise<void> done;
    const std::shared_future<void> end = done.get_future().share();
    http_listener entry("127.0.0.1:0", listener_threads,
                        [end](httplib::Server& server)
                        {
                            server.Post("/v1/jobs",
                                        [end](const auto&, httplib::Response&)
                                        { end.wait(); });
                        });
    const command_outcome seen =
        run_kcrctl("jobs submit a j --class c --timeout-ms "
                   "300 --entry " +
                   entry.address());
    done.set_value();
    expect_outcome(seen, 6,
                   "entry process at " + entry.address() + " did not answer");
}

constexpr const char* tree =
    R"({"regions":{"r":{"accounts":{"a":{"guarantees":[{"count":1,"shape":)"
    R"({"tasks":1,"accelerators_per_task":8,"proximity":"worker"}}]}}}}})";

/// A store with settings and an instance list with one worker.
class kcrctl_settings : public testing::Test
{
protected:
    kcrctl_settings()
    {
        m_list.add(R"([{"id":"w1","service":"workers","zone":"z","rack":"k",
            "state":"live","start_id":"1","address":"127.0.0.1:9","cores":64,
            "memory_mb":1024,"accelerators":8}])");
        m_store.put("live/settings", tree);
    }

    command_outcome settings(const std::string& words) const
    {
        return run_kcrctl("settings " + words + " --region r --store " +
                          m_store.address() + " --instance-list " +
                          m_list.address());
    }

    std::string stored() { return m_store.get("live/settings").m_value; }

    stand_ins::fake_store m_store;
    stand_ins::fake_instance_list m_list;
};

TEST_F(kcrctl_settings, a_change_shows_up_with_its_origin_and_in_the_history)
{
    const std::string path = "regions.r.accounts.a.priority";
    expect_outcome(settings("set " + path + " 7 --by eva"), 0,
                   path + ": absent -> 7\naccepted, revision ");
    expect_outcome(settings("get " + path), 0, "7");
    expect_outcome(settings("get accounts.a.priority --effective"), 0,
                   "accounts.a.priority  7      regions.r.accounts.a");
    expect_outcome(settings("history"), 0, "change 1 by eva at ");
    expect_outcome(settings("unset " + path), 0, path + ": 7 -> absent");
    expect_outcome(settings("check"), 0, "the guarantees fit on the workers");
}

// Guards against overwriting a change that is newer than the revision that the
// operator has read.
TEST_F(kcrctl_settings, a_change_of_an_older_revision_is_refused)
{
    const std::string path = "regions.r.accounts.a.priority";
    const auto seen = m_store.get("live/settings").m_revision;
    ASSERT_EQ(settings("set " + path + " 7 --by eva").m_code, 0);
    const command_outcome late =
        settings("set " + path + " 8 --revision " + std::to_string(seen));
    expect_outcome(late, 4, "nothing was written");
    EXPECT_TRUE(late.says("by eva")) << late.m_output;
    EXPECT_TRUE(late.says(path + ": absent -> 7")) << late.m_output;
    EXPECT_NE(stored().find("\"priority\": 7"), std::string::npos);
}

// Guards against settings that the processes would refuse or that promise
// what the workers cannot give.
TEST_F(kcrctl_settings, a_change_that_cannot_hold_is_refused)
{
    expect_outcome(settings("set regions.r.accounts.a.priority high"), 3,
                   "expected an integer, found the string \"high\"");
    expect_outcome(settings("set regions.r.accounts.b.priority 1"), 3,
                   "unknown account 'b'; did you mean 'a'?");
    const command_outcome too_much =
        settings("set regions.r.accounts.a.guarantees "
                 "'[{\"count\":2,\"shape\":{\"tasks\":1,"
                 "\"accelerators_per_task\":8}}]'");
    expect_outcome(too_much, 3, "a lacks");
    EXPECT_EQ(stored(), tree);
}

// Guards against a change that is written without the check of guarantees.
TEST_F(kcrctl_settings, without_the_instance_list_nothing_is_written)
{
    expect_outcome(run_kcrctl("settings set regions.r.accounts.a.priority 1 "
                              "--region r --store " +
                              m_store.address() + " --instance-list " +
                              unreachable_address),
                   5, "instance list at 127.0.0.1:1 cannot be reached");
    EXPECT_EQ(stored(), tree);
}

} // namespace
} // namespace kingcuprudder

#include "dispatcher_fixture.hpp"
#include <kingcuprudder/dispatch/run_end_evidence.hpp>

#include <set>
#include <stdexcept>
#include <string>

namespace kingcuprudder::dispatch
{

namespace
{

constexpr std::int64_t process = 100;

/// A task on one of two workers.
class run_end_evidence_test : public dispatcher_fixture
{
protected:
    run_end_evidence_test()
    {
        add_worker("w1");
        accept(job("job", 1, 8));
        m_run = start_all().at(0);
        add_worker("w2");
    }

    /// Returns the reason of the only release, and when it was shown.
    std::pair<std::string, std::string> release() const
    {
        const std::vector<log_line> lines = m_log.lines("run_over");
        EXPECT_EQ(lines.size(), 1u);
        return lines.empty() ? std::pair<std::string, std::string>()
                             : std::pair(lines[0].field("reason"),
                                         lines[0].field("evidence_age_ms"));
    }

    start_order m_run;
};

} // namespace

TEST_F(run_end_evidence_test, a_list_that_is_older_than_the_run_is_refused)
{
    EXPECT_THROW(
        run_end_evidence::unlisted(process, instant(1000), instant(1000)),
        std::logic_error);
}

TEST_F(run_end_evidence_test, a_lease_that_may_have_been_renewed_is_not_over)
{
    EXPECT_THROW(
        run_end_evidence::lease_over(process, instant(1000), instant(1000)),
        std::logic_error);
}

TEST_F(run_end_evidence_test, a_start_without_an_answer_was_not_refused)
{
    EXPECT_THROW(run_end_evidence::refused(order_outcome::may_have_arrived,
                                           process, m_now),
                 std::logic_error);
}

TEST_F(run_end_evidence_test, a_refused_start_releases_the_run)
{
    m_dispatcher.start_finished(m_run, order_outcome::refused_capacity, m_now);
    EXPECT_EQ(release(),
              std::pair(std::string("refused_room"), std::string("0")));
}

TEST_F(run_end_evidence_test, a_list_that_lacks_the_run_releases_it)
{
    confirm({m_run});
    pass(span(10));
    const instant requested = m_now;
    pass(span(30));
    worker_report answer;
    answer.m_incarnation = process;
    answer.m_fence = m_dispatcher.fence();
    m_dispatcher.renewal_answered("w1", answer, requested, m_now);
    EXPECT_EQ(release(),
              std::pair(std::string("not on the worker"), std::string("30")));
}

TEST_F(run_end_evidence_test, a_lease_that_is_over_releases_the_run)
{
    confirm({m_run});
    m_dispatcher.renewal_failed(
        "w1", {order_outcome::may_have_arrived, call_failure::timed_out},
        m_now);
    pass(span(7000));
    step();
    EXPECT_EQ(release(),
              std::pair(std::string("worker lease over"), std::string("600")));
}

TEST_F(run_end_evidence_test, an_answer_of_the_next_process_releases_the_run)
{
    confirm({m_run});
    pass(span(10));
    report("w1", {}, {}, process + 1);
    EXPECT_EQ(release(),
              std::pair(std::string("worker restarted"), std::string("0")));
}

TEST_F(run_end_evidence_test, another_process_at_the_address_releases_the_run)
{
    confirm({m_run});
    m_dispatcher.renewal_failed("w1", order_outcome::wrong_incarnation, m_now);
    EXPECT_EQ(release(),
              std::pair(std::string("worker replaced"), std::string("0")));
}

// Guards against lines whose own fields are overwritten in the log.
TEST_F(run_end_evidence_test, its_fields_hide_none_of_the_log)
{
    const std::set<std::string> of_the_log = {"time_ms", "process", "part",
                                              "event", "id"};
    const run_end_evidence shown = run_end_evidence::reported(process, m_now);
    for (const auto& [name, value] : shown.fields(m_now))
    {
        EXPECT_FALSE(of_the_log.contains(name)) << name;
    }
}

} // namespace kingcuprudder::dispatch

#include "dispatcher_fixture.hpp"
#include <kingcuprudder/dispatch/wait_reason.hpp>

namespace kingcuprudder::dispatch
{

namespace
{

constexpr int gang_size = 4;

/// A gang of one rack that could be started.
wait_facts startable()
{
    wait_facts facts;
    facts.m_needed = gang_size;
    facts.m_one_rack = true;
    facts.m_room = {gang_size, gang_size, gang_size, gang_size,
                    gang_size, gang_size, gang_size, gang_size};
    return facts;
}

} // namespace

TEST(wait_reason, a_run_that_has_not_ended_is_told_from_one_that_has_not_begun)
{
    const std::vector<std::pair<pending_run, wait_reason>> reasons = {
        {pending_run::not_ended, wait_reason::previous_run_not_ended},
        {pending_run::awaits_store, wait_reason::record_not_stored},
        {pending_run::awaits_capacity, wait_reason::stopped_run_holds_room},
        {pending_run::awaits_answer, wait_reason::start_not_confirmed}};
    for (const auto& [run, reason] : reasons)
    {
        wait_facts facts = startable();
        facts.m_room = {};
        facts.m_run = run;
        EXPECT_EQ(find_wait_reason(facts), reason);
    }
}

// Each condition leaves out one more worker than those before it.
TEST(wait_reason, the_first_condition_without_room_is_the_reason)
{
    using member = int room_by_condition::*;
    const std::vector<std::pair<member, wait_reason>> reasons = {
        {&room_by_condition::m_near_data, wait_reason::waits_for_data_rack},
        {&room_by_condition::m_most_in_rack, wait_reason::no_rack_has_room},
        {&room_by_condition::m_apart, wait_reason::interference},
        {&room_by_condition::m_quiet,
         wait_reason::suspected_waits_for_quiet_worker},
        {&room_by_condition::m_off_trial, wait_reason::workers_on_trial},
        {&room_by_condition::m_not_avoided, wait_reason::workers_avoided},
        {&room_by_condition::m_answering, wait_reason::workers_do_not_answer},
        {&room_by_condition::m_listed, wait_reason::no_room}};
    wait_facts facts = startable();
    EXPECT_EQ(find_wait_reason(facts), wait_reason::unknown);
    for (const auto& [condition, reason] : reasons)
    {
        facts.m_room.*condition = gang_size - 1;
        EXPECT_EQ(find_wait_reason(facts), reason) << to_string(reason);
    }
}

TEST(wait_reason, room_that_is_kept_for_urgent_jobs_is_named)
{
    wait_facts facts = startable();
    facts.m_leaves_urgent_headroom = false;
    EXPECT_EQ(find_wait_reason(facts), wait_reason::urgent_headroom);
}

TEST(wait_reason, a_gang_that_may_span_racks_does_not_wait_for_one)
{
    wait_facts facts = startable();
    facts.m_one_rack = false;
    facts.m_room.m_most_in_rack = 1;
    EXPECT_EQ(find_wait_reason(facts), wait_reason::unknown);
}

TEST(wait_reason, a_line_is_repeated_only_with_another_reason_or_after_a_while)
{
    job_idleness idle;
    const instant began = instant(1'000'000);
    idle.m_since = began;
    EXPECT_FALSE(idle.is_explanation_due(began + span(1000)));
    EXPECT_TRUE(idle.is_explanation_due(began + span(1001)));
    const instant logged = began + span(1100);
    idle.m_explained_at = logged;
    idle.m_logged_at = logged;
    idle.m_logged_reason = wait_reason::no_room;
    EXPECT_FALSE(idle.is_explanation_due(logged + span(999)));
    EXPECT_TRUE(idle.is_explanation_due(logged + span(1000)));
    EXPECT_FALSE(idle.is_line_due(wait_reason::no_room, logged + span(4999)));
    EXPECT_TRUE(idle.is_line_due(wait_reason::no_room, logged + span(5000)));
    EXPECT_TRUE(idle.is_line_due(wait_reason::workers_avoided, logged));
}

/// Jobs that have nothing running.
class idle_job_test : public dispatcher_fixture
{
protected:
    static constexpr span planning_interval = span(100);

    void plan_for(span time)
    {
        const instant until = m_now + time;
        while (m_now < until)
        {
            pass(planning_interval);
            step();
        }
    }

    log_line only_line() const
    {
        const std::vector<log_line> lines = m_log.lines("job_idle");
        EXPECT_EQ(lines.size(), 1u);
        return lines.empty() ? log_line() : lines.front();
    }
};

TEST_F(idle_job_test, a_run_that_never_ends_is_named_with_its_worker)
{
    add_worker("w1");
    add_worker("w2");
    accept(job("j", 1, 4));
    const auto starts = start_all();
    ASSERT_EQ(starts.size(), 1u);
    confirm(starts);
    plan_for(span(2000));
    EXPECT_TRUE(m_log.lines("job_idle").empty());
    const std::string lost = starts[0].m_worker;
    m_dispatcher.renewal_failed(lost, order_outcome::may_have_arrived, m_now);
    worker_description draining = worker(lost);
    draining.m_draining = true;
    m_dispatcher.worker_listed(draining, m_now);
    plan_for(span(1500));
    const log_line line = only_line();
    EXPECT_EQ(line.m_id, "j.0.0");
    EXPECT_EQ(line.field("reason"), "previous_run_not_ended");
    EXPECT_EQ(line.field("task"), "j.0.0.0");
    EXPECT_EQ(line.field("worker"), lost);
    EXPECT_EQ(line.field("phase"), "confirmed");
    EXPECT_EQ(line.field("draining"), "true");
    EXPECT_EQ(line.field("reachable"), "false");
    EXPECT_EQ(line.field("room_for_two"), "true");
    EXPECT_EQ(m_dispatcher.idle_jobs_beside_room(m_now), 0u);
    plan_for(span(2000));
    EXPECT_EQ(m_dispatcher.idle_jobs_beside_room(m_now), 1u);
}

TEST_F(idle_job_test, a_record_that_is_not_stored_is_named)
{
    add_worker("w1");
    accept(job("j", 1, 4));
    plan_for(span(1500));
    const log_line line = only_line();
    EXPECT_EQ(line.field("reason"), "record_not_stored");
    EXPECT_EQ(line.field("phase"), "assigned");
}

TEST_F(idle_job_test, a_full_pool_is_not_counted_as_room_for_two)
{
    add_worker("w1");
    accept(job("b", 1, 8));
    const auto busy = start_all();
    confirm(busy);
    accept(job("j", 1, 4));
    plan_for(span(4000));
    const log_line line = only_line();
    EXPECT_EQ(line.field("reason"), "no_room");
    EXPECT_EQ(line.field("pool_free_gpus"), "0");
    EXPECT_EQ(line.field("gpus_per_task"), "4");
    EXPECT_EQ(m_dispatcher.idle_jobs_beside_room(m_now), 0u);
}

TEST_F(idle_job_test, many_idle_jobs_are_explained_a_few_at_a_time)
{
    constexpr std::size_t jobs = 50;
    constexpr std::size_t lines_of_a_pass = 8;
    for (std::size_t index = 0; index < jobs; ++index)
    {
        accept(job("j" + std::to_string(index), 1, 4));
    }
    step();
    pass(span(1100));
    step();
    EXPECT_EQ(m_log.lines("job_idle").size(), lines_of_a_pass);
    plan_for(span(1000));
    EXPECT_EQ(m_log.lines("job_idle").size(), jobs);
}

TEST_F(idle_job_test, a_step_that_is_not_due_is_not_counted_as_waiting)
{
    add_worker("w1");
    job_submission timed = job("t", 1, 4);
    timed.m_first_due = m_now + span(60'000);
    accept(timed);
    plan_for(span(5000));
    EXPECT_TRUE(m_log.lines("job_idle").empty());
    EXPECT_EQ(m_dispatcher.idle_jobs_beside_room(m_now), 0u);
}

} // namespace kingcuprudder::dispatch

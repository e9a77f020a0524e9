#include "dispatcher_fixture.hpp"

namespace kingcuprudder::dispatch
{

// Tasks on a hanging worker stalled until it recovered, and new tasks were
// placed there (etw-label-grown scale-1, 45 workers for 8 s).
TEST_F(dispatcher_fixture, a_stalled_run_is_moved)
{
    add_worker("w1");
    accept(job("j", 1, 1));
    const auto starts = start_all();
    confirm(starts);
    add_worker("w2");
    dispatch_effects effects;
    for (int reports = 0; reports < 8 && effects.m_stops.empty(); ++reports)
    {
        pass(span(1500));
        report("w1", {running(starts[0])});
        effects = step();
    }
    ASSERT_EQ(effects.m_stops.size(), 1u);
    report("w1", {}, {ended(1, starts[0], run_outcome::stopped)});
    const auto again = start_all();
    ASSERT_EQ(again.size(), 1u);
    EXPECT_EQ(again[0].m_worker, "w2");
}

TEST_F(dispatcher_fixture, a_run_with_progress_is_not_stopped)
{
    add_worker("w1");
    accept(job("j", 1, 1));
    const auto starts = start_all();
    confirm(starts);
    report_shares(starts[0], {20, 40, 60});
    EXPECT_TRUE(step().m_stops.empty());
}

// A declared time that was far too short made normal runs appear slow, and they
// were restarted repeatedly (kovacs-foglalo quiet-1, score 0.769).
TEST_F(dispatcher_fixture, a_run_that_was_declared_too_short_is_not_stopped)
{
    add_worker("w1");
    job_submission optimistic = job("j", 1, 1);
    optimistic.m_steps[0].m_estimate = span(1200);
    accept(optimistic);
    const auto starts = start_all();
    confirm(starts);
    report_shares(starts[0], {14, 28, 42, 56, 70});
    EXPECT_TRUE(step().m_stops.empty());
}

// The first reported percentage of a run that resumes from a checkpoint, or
// that an earlier scheduler started, is not progress since its start.
TEST_F(dispatcher_fixture, a_run_that_was_half_done_when_first_reported_is_kept)
{
    add_worker("w1");
    accept(job("j", 1, 1));
    const auto starts = start_all();
    confirm(starts);
    report_shares(starts[0], {60, 68, 76, 84, 92});
    EXPECT_TRUE(step().m_stops.empty());
}

// For a run that is nearly done, a restart takes longer than waiting.
TEST_F(dispatcher_fixture, a_run_that_is_nearly_done_is_left_to_end)
{
    add_worker("w1");
    accept(job("j", 1, 1));
    const auto starts = start_all();
    confirm(starts);
    report_shares(starts[0], {30, 60, 90, 95, 95, 95, 95});
    EXPECT_TRUE(step().m_stops.empty());
}

} // namespace kingcuprudder::dispatch

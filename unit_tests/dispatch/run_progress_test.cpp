#include "dispatcher_fixture.hpp"

namespace kingcuprudder::dispatch
{

/// Runs that are sound, however long they take.
class long_run_fixture : public dispatcher_fixture
{
protected:
    /// Completes so many jobs of the queue that take one second that it
    /// predicts as much for others.
    void complete_short_jobs()
    {
        constexpr int enough = 16;
        add_worker("short");
        for (int index = 1; index <= enough; ++index)
        {
            job_submission brief = job("short" + std::to_string(index), 1, 1);
            brief.m_steps[0].m_estimate = span(index % 2 == 0 ? 500 : 2500);
            accept(brief);
            const std::vector<start_order> starts = start_all();
            confirm(starts);
            pass(span(1000));
            report("short", {},
                   {ended(index, starts.at(0), run_outcome::done)});
            store();
        }
    }

    /// Starts the waiting task and reports its progress until it is done or is
    /// being stopped. Returns whether it was done.
    bool work(std::int64_t duration_ms)
    {
        const std::vector<start_order> starts = start_all();
        EXPECT_EQ(starts.size(), 1u);
        confirm(starts);
        const instant began = m_now;
        while (m_now - began < span(duration_ms))
        {
            pass(span(1500));
            running_report going = running(starts.at(0));
            going.m_percent =
                static_cast<int>((m_now - began).count() * 100 / duration_ms);
            report(starts[0].m_worker, {going});
            const dispatch_effects effects = step();
            store();
            if (!effects.m_stops.empty())
            {
                report(
                    starts[0].m_worker, {},
                    {ended(++m_completion, starts[0], run_outcome::stopped)});
                store();
                pass(span(3100));
                return false;
            }
        }
        return true;
    }

    std::int64_t m_completion = 100;
};

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

// Guards against long jobs in a queue of short ones that are never completed.
TEST_F(long_run_fixture, a_long_run_with_a_right_estimate_is_not_stopped)
{
    constexpr std::int64_t duration_ms = 600'000;
    complete_short_jobs();
    job_submission patient = job("long", 1, 1);
    patient.m_steps[0].m_estimate = span(duration_ms);
    accept(patient);
    EXPECT_TRUE(work(duration_ms));
}

// Guards against runs that are stopped as too slow without end.
TEST_F(long_run_fixture, a_run_of_any_length_is_completed_after_a_few_stops)
{
    constexpr int stops_allowed = 4;
    add_worker("w1");
    for (const std::int64_t estimate_ms : {0, 1, 500, 10'000})
    {
        for (const std::int64_t duration_ms : {60'000, 900'000, 3'600'000})
        {
            const std::string id = "j" + std::to_string(estimate_ms) + "-" +
                                   std::to_string(duration_ms);
            job_submission optimistic = job(id, 1, 8);
            optimistic.m_steps[0].m_estimate = span(estimate_ms);
            accept(optimistic);
            int stops = 0;
            while (stops <= stops_allowed && !work(duration_ms))
            {
                ++stops;
            }
            EXPECT_LE(stops, stops_allowed) << id;
            m_dispatcher.cancel_job(id, m_now);
            step();
            report("w1", {});
            store();
        }
    }
}

// Guards against sound runs that a new leader stops, as the first whole percent
// that it sees may be complete right after its first report.
TEST_F(dispatcher_fixture, one_percent_does_not_show_the_rate_of_a_run)
{
    add_worker("w1");
    job_submission saving = job("j", 1, 1);
    saving.m_steps[0].m_estimate = span(1'000'000);
    saving.m_steps[0].m_writes_checkpoints = true;
    accept(saving);
    const std::vector<start_order> starts = start_all();
    confirm(starts);
    report_shares(starts[0], {40, 41, 41, 41, 41, 41, 41, 41, 42, 42, 42, 42});
    EXPECT_TRUE(step().m_stops.empty());
}

// Guards against stalled runs that are kept as their task was moved before.
TEST_F(dispatcher_fixture, a_run_that_stalls_again_is_moved_again)
{
    add_worker("w1");
    add_worker("w2");
    accept(job("j", 1, 1));
    for (std::int64_t number = 1; number <= 2; ++number)
    {
        const std::vector<start_order> starts = start_all();
        ASSERT_EQ(starts.size(), 1u);
        confirm(starts);
        report_shares(starts[0], {0, 20, 20, 20, 20, 20, 20});
        ASSERT_EQ(step().m_stops.size(), 1u) << "stop " << number;
        report(starts[0].m_worker, {},
               {ended(number, starts[0], run_outcome::stopped)});
    }
}

} // namespace kingcuprudder::dispatch

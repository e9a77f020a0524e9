#include "dispatcher_fixture.hpp"
#include <kingcuprudder/dispatch/drain_move.hpp>

namespace kingcuprudder::dispatch
{

namespace
{

constexpr span drain_time(2000);

class drain_move : public dispatcher_fixture
{
protected:
    static job_submission long_job(const std::string& id, int tasks, int gpus)
    {
        job_submission made = job(id, tasks, gpus);
        made.m_steps[0].m_estimate = span(30'000);
        made.m_steps[0].m_writes_checkpoints = true;
        return made;
    }

    void drain(const std::string& id)
    {
        worker_description draining = worker(id);
        draining.m_draining = true;
        draining.m_drain_remaining = drain_time;
        m_dispatcher.worker_listed(draining, m_now);
    }

    /// Starts the job's tasks and reports them as at work.
    std::vector<start_order> run(const job_submission& submission)
    {
        accept(submission);
        const std::vector<start_order> started = start_all();
        confirm(started);
        report_all(started, 10);
        return started;
    }

    void report_all(const std::vector<start_order>& runs, int percent)
    {
        std::map<std::string, std::vector<running_report>> by_worker;
        for (const start_order& each : runs)
        {
            running_report row = running(each);
            row.m_percent = percent;
            by_worker[each.m_worker].push_back(row);
        }
        for (const auto& [id, rows] : by_worker)
        {
            report(id, rows);
        }
    }
};

} // namespace

// Guards against work that is lost with a worker although it was announced.
TEST_F(drain_move, a_run_that_outlasts_its_worker_continues_elsewhere)
{
    add_worker("w1");
    const auto held = run(long_job("j", 1, 8));
    add_worker("w2");
    drain("w1");
    ASSERT_EQ(step().m_stops.size(), 1u);
    completion_report stopped = ended(1, held[0], run_outcome::stopped);
    stopped.m_checkpoint = "kept";
    report("w1", {}, {stopped});
    const auto again = start_all();
    ASSERT_EQ(again.size(), 1u);
    EXPECT_EQ(again[0].m_worker, "w2");
    EXPECT_EQ(again[0].m_checkpoint, "kept");
}

// Guards against a job that waits for a lease as the leader changes while its
// worker leaves.
TEST_F(drain_move, a_new_leader_moves_the_runs_of_a_worker_that_drains)
{
    job_progress progress;
    progress.m_state = job_state::running;
    progress.m_tasks = {{{task_progress()}}};
    task_progress& task = progress.m_tasks[0][0][0];
    task.m_last_run = 1;
    task.m_worker = "w1";
    task.m_worker_incarnation = 100;
    task.m_worker_address = worker("w1").m_address;
    drain("w1");
    add_worker("w2");
    m_dispatcher.add_job(long_job("j", 1, 8), progress, 1, m_now, m_now);
    const start_order recorded{"w1", {{"j", 0, 0, 0}, 1}, "", "", 0, m_now};
    report("w1", {running(recorded)});
    ASSERT_EQ(step().m_stops.size(), 1u);
    report("w1", {}, {ended(1, recorded, run_outcome::stopped)});
    EXPECT_EQ(start_all().size(), 1u);
}

TEST_F(drain_move, a_gang_moves_as_a_whole)
{
    add_worker("w1");
    add_worker("w2");
    job_submission gang = long_job("g", 2, 8);
    gang.m_steps[0].m_gang = true;
    const auto members = run(gang);
    ASSERT_EQ(members.size(), 2u);
    add_worker("w3");
    drain("w1");
    EXPECT_EQ(step().m_stops.size(), 2u);
}

TEST_F(drain_move, a_gang_of_one_rack_stays_if_no_rack_has_room)
{
    add_worker("w1");
    add_worker("w2");
    job_submission gang = long_job("g", 2, 8);
    gang.m_steps[0].m_gang = true;
    gang.m_steps[0].m_same_rack = true;
    run(gang);
    worker_description other = worker("w3");
    other.m_rack = "rack-2";
    m_dispatcher.worker_listed(other, m_now);
    report("w3", {});
    drain("w1");
    EXPECT_TRUE(step().m_stops.empty());
}

TEST_F(drain_move, a_run_that_ends_in_time_stays)
{
    add_worker("w1");
    const auto held = run(long_job("j", 1, 8));
    add_worker("w2");
    pass(span(9000));
    report_all(held, 90);
    drain("w1");
    EXPECT_TRUE(step().m_stops.empty());
}

TEST_F(drain_move, a_run_stays_if_there_is_no_room_elsewhere)
{
    add_worker("w1");
    run(long_job("j", 1, 8));
    drain("w1");
    EXPECT_TRUE(step().m_stops.empty());
}

TEST_F(drain_move, no_more_runs_are_moved_than_there_is_room_for)
{
    add_worker("w1");
    run(long_job("a", 1, 4));
    run(long_job("b", 1, 4));
    add_worker("w2", 4);
    drain("w1");
    EXPECT_EQ(step().m_stops.size(), 1u);
    EXPECT_TRUE(step().m_stops.empty());
}

TEST_F(drain_move, a_persistent_task_moves_at_once)
{
    add_worker("w1");
    job_submission lasting = job("p", 1, 8);
    lasting.m_steps[0].m_persistent = true;
    const auto held = run(lasting);
    report_all(held, 100);
    add_worker("w2");
    drain("w1");
    EXPECT_EQ(step().m_stops.size(), 1u);
}

// Guards against work that is taken off a sound worker by an old entry of the
// process before, read late.
TEST_F(drain_move, the_drain_of_an_earlier_process_moves_nothing)
{
    add_worker("w2");
    m_dispatcher.worker_listed(worker("w1"), m_now);
    report("w1", {}, {}, 200);
    accept(long_job("blocker", 1, 8));
    const auto first = start_all();
    ASSERT_EQ(first.size(), 1u);
    ASSERT_EQ(first[0].m_worker, "w2");
    confirm(first);
    report("w2", {running(first[0])});
    worker_description present = worker("w1");
    present.m_incarnation = 200;
    m_dispatcher.worker_listed(present, m_now);
    report("w1", {}, {}, 200);
    job_submission lasting = job("p", 1, 8);
    lasting.m_steps[0].m_persistent = true;
    lasting.m_steps[0].m_max_unavailable = 1;
    accept(lasting);
    const auto held = start_all();
    ASSERT_EQ(held.size(), 1u);
    ASSERT_EQ(held[0].m_worker, "w1");
    confirm(held);
    running_report row = running(held[0]);
    row.m_percent = 100;
    report("w1", {row}, {}, 200);
    add_worker("w3");
    drain("w1"); // The entry of process 100.
    EXPECT_TRUE(step().m_stops.empty());
}

// Guards against a run that stays until its worker has left, as its entry was
// read long after it was written.
TEST_F(drain_move, the_announced_time_counts_from_the_writing_of_the_entry)
{
    add_worker("w1");
    worker_description entry = worker("w1");
    entry.m_draining = true;
    entry.m_drain_remaining = drain_time;
    entry.m_clock = m_now.count();
    pass(span(1500));
    m_dispatcher.worker_listed(entry, m_now);
    EXPECT_EQ(m_dispatcher.workers().at("w1").drain_left(m_now), span(500));
}

// Guards against a gang that ends with its worker though its members' own
// workers have room for it again.
TEST_F(drain_move, a_gang_with_one_member_a_worker_moves)
{
    add_worker("w1");
    add_worker("w2");
    job_submission gang = long_job("g", 2, 8);
    gang.m_steps[0].m_gang = true;
    gang.m_steps[0].m_max_per_worker = 1;
    ASSERT_EQ(run(gang).size(), 2u);
    add_worker("w3");
    drain("w1");
    EXPECT_EQ(step().m_stops.size(), 2u);
}

// Guards against more moved runs than the capacity kept for urgent jobs leaves
// room for.
TEST_F(drain_move, moved_runs_leave_the_room_for_urgent_jobs)
{
    add_worker("w1", 16);
    const auto held = run(long_job("a", 1, 8));
    const auto more = run(long_job("b", 1, 8));
    ASSERT_EQ(more.at(0).m_worker, "w1");
    add_worker("w0", 24);
    std::vector<start_order> urgent;
    for (int each = 0; each < 24; ++each)
    {
        accept(job("u" + std::to_string(each), 1, 1, "urgent"));
    }
    urgent = start_all();
    ASSERT_EQ(urgent.size(), 24u);
    confirm(urgent);
    for (int each = 0; each < 200; ++each)
    {
        pass(span(100));
        step();
    }
    std::vector<completion_report> ends;
    for (std::size_t each = 0; each < urgent.size(); ++each)
    {
        ends.push_back(ended(static_cast<std::int64_t>(each) + 1, urgent[each],
                             run_outcome::done));
    }
    report("w0", {}, ends);
    add_worker("w2", 16);
    drain("w1");
    EXPECT_EQ(step().m_stops.size(), 1u);
}

TEST(should_move, a_run_without_checkpoints_may_use_a_late_exit)
{
    draining_run run;
    run.m_predicted = span(10'000);
    run.m_percent = 65;
    run.m_drain_left = drain_time;
    EXPECT_EQ(remaining_time(run), span(3500));
    EXPECT_FALSE(should_move(run));
    run.m_writes_checkpoints = true;
    EXPECT_TRUE(should_move(run));
}

TEST(should_move, the_runs_own_speed_goes_before_the_prediction)
{
    draining_run run;
    run.m_predicted = span(2000);
    run.m_at_work = span(20'000);
    run.m_percent = 50;
    EXPECT_EQ(remaining_time(run), span(20'000));
}

} // namespace kingcuprudder::dispatch

#include "dispatcher_fixture.hpp"
#include <kingcuprudder/codec/dispatch_codec.hpp>

namespace kingcuprudder::dispatch
{

namespace
{

/// Records that are written for jobs whose runs fail.
class record_size : public dispatcher_fixture
{
protected:
    /// Lets the next run of the only task fail. Returns the size of the record
    /// that is stored then, in bytes.
    std::size_t fail_next_run()
    {
        pass(max_restart_delay);
        const std::vector<start_order> starts = start_all();
        EXPECT_EQ(starts.size(), 1u);
        confirm(starts);
        report(starts.at(0).m_worker, {running(starts[0])});
        report(starts[0].m_worker, {},
               {ended(++m_ends, starts[0], run_outcome::failed)});
        return encode_progress(store().at(0).m_progress).size();
    }

    static job_submission lasting_job()
    {
        job_submission made = job("j", 1, 1);
        made.m_steps[0].m_persistent = true;
        return made;
    }

    /// A persistent task that fails again and again waits up to this long.
    static constexpr span max_restart_delay = span(4000);

    std::int64_t m_ends = 0;
};

/// Returns the progress of as many running tasks as a job may have, whose
/// workers' names, checkpoints and counts are long.
job_progress progress_of_largest_job()
{
    constexpr int workers = 1000;
    job_progress progress;
    progress.m_state = job_state::running;
    progress.m_account = "account";
    auto& tasks = progress.m_tasks.emplace_back().emplace_back();
    for (int index = 0; index < max_tasks_per_job; ++index)
    {
        const std::string worker = std::to_string(index % workers);
        task_progress& task = tasks.emplace_back();
        task.m_last_run = 12'345;
        task.m_worker = "worker-of-a-long-name-" + worker;
        task.m_worker_incarnation = 1'796'654'397'280 + index % workers;
        task.m_worker_address = "10.100.100.100:6" + worker;
        task.m_failed_runs = {12'343, 12'344};
        task.m_checkpoint = "00000bb87a21d94b";
        task.m_crashes = {10, 10, 10};
        task.m_workers_ended = 10;
        task.m_lost_run = 12'344;
    }
    return progress;
}

} // namespace

// Guards against a job whose record the store refuses while all its tasks run.
TEST(record_size_of_largest_job, fits_into_one_value_of_the_store)
{
    constexpr std::size_t max_value_bytes = 1'048'576;
    const job_progress progress = progress_of_largest_job();
    EXPECT_GT(encode_progress(progress).size(), max_value_bytes);
    const std::string compact = encode_progress_compactly(progress);
    EXPECT_LT(compact.size(), max_value_bytes);
    EXPECT_EQ(decode_progress(compact), progress);
}

// Guards against a job whose progress is lost with its worker's name.
TEST(record_size_of_largest_job, a_damaged_compact_record_is_refused)
{
    const std::string begin = R"({"account":"a","state":"running","tasks":)";
    for (const char* rest : {R"([[[[1,0,[],""]]]],"workers":[])",
                             R"([[[[1,1,[],""]]]],"workers":[["w",1,""]])",
                             R"([[[[1,-1,[],""]]]],"workers":[["w",1,""]])",
                             R"([[[[1,0,[],""]]]],"workers":7)",
                             R"([[[[1,0,[],""]]]],"workers":[["w",1]])",
                             R"([[[[1,"w",[],""]]]],"workers":[["w",1,""]])"})
    {
        EXPECT_FALSE(decode_progress(begin + rest + "}")) << rest;
    }
    EXPECT_TRUE(decode_progress(
        begin + R"([[[[1,0,[],""],0,1]]],"workers":[["w",1,""]]})"));
}

// Guards against the record of a lasting job that grows with each failed run
// until the store refuses it.
TEST_F(record_size, failed_runs_of_a_lasting_task_add_nothing_to_its_record)
{
    add_worker("w1");
    accept(lasting_job());
    fail_next_run();
    const std::size_t before = fail_next_run();
    for (int run = 0; run < 200; ++run)
    {
        fail_next_run();
    }
    constexpr std::size_t digits_of_run_number = 2;
    EXPECT_LE(fail_next_run(), before + digits_of_run_number);
}

// Guards against a record that an earlier version let grow and that stays so.
TEST_F(record_size,
       recorded_failures_of_a_lasting_task_are_left_out_after_a_load)
{
    add_worker("w1");
    job_progress progress;
    progress.m_state = job_state::running;
    progress.m_account = "account";
    task_progress task;
    task.m_last_run = 1000;
    task.m_failed_runs.assign(1000, 1000);
    progress.m_tasks = {{{task}}};
    const auto loaded = decode_progress(encode_progress(progress));
    ASSERT_TRUE(loaded);
    m_dispatcher.add_job(lasting_job(), loaded, 1, m_now, m_now);
    constexpr std::size_t small_record = 200;
    EXPECT_LT(fail_next_run(), small_record);
}

// Guards against an attempt that counts twice, as its end is reported again to
// the next leader.
TEST_F(record_size, a_failed_run_that_is_reported_again_is_one_attempt)
{
    add_worker("w1");
    accept(job("j", 1, 1));
    const std::vector<start_order> starts = start_all();
    confirm(starts);
    const completion_report end = ended(1, starts.at(0), run_outcome::failed);
    report("w1", {}, {end});
    const job_progress stored = store().at(0).m_progress;

    dispatcher next(dispatch_limits(), m_log.recorder());
    next.configure(m_configuration);
    next.begin_term(m_now, 2);
    next.worker_listed(worker("w1"), m_now);
    next.add_job(job("j", 1, 1), decode_progress(encode_progress(stored)), 2,
                 m_now, m_now);
    worker_report repeated;
    repeated.m_incarnation = 100;
    repeated.m_fence = 2;
    repeated.m_ended = {end};
    next.renewal_answered("w1", repeated, m_now, m_now);
    EXPECT_EQ(next.jobs().at("j").m_state, job_state::running);
    repeated.m_ended = {{2, "j.0.0.0", 2, run_outcome::failed, ""}};
    next.renewal_answered("w1", repeated, m_now, m_now);
    EXPECT_EQ(next.jobs().at("j").m_state, job_state::failed);
}

} // namespace kingcuprudder::dispatch

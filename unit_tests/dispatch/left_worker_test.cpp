#include "dispatcher_fixture.hpp"

#include <functional>
#include <string>

namespace kingcuprudder::dispatch
{

namespace
{

const call_result refused{order_outcome::not_sent,
                          call_failure::connection_refused};
const call_result closed{order_outcome::not_sent,
                         call_failure::connection_closed};
const call_result timed_out{order_outcome::may_have_arrived,
                            call_failure::timed_out};
constexpr span drain_time = span(2000);
constexpr span latency = span(10);

/// A task that takes all of a worker, beside an idle worker.
class left_worker_test : public dispatcher_fixture
{
protected:
    left_worker_test()
    {
        add_worker("w1");
        accept(job("job", 1, 8));
        m_run = start_all().at(0);
        confirm({m_run});
        add_worker("w2");
        pass(latency);
        report("w1", {running(m_run)});
    }

    /// Returns the entry of the worker as it drains, written now.
    worker_description draining_entry(span left = drain_time) const
    {
        worker_description entry = worker("w1");
        entry.m_draining = true;
        entry.m_drain_remaining = left;
        entry.m_clock = m_now.count();
        return entry;
    }

    void list(const worker_description& entry)
    {
        m_dispatcher.worker_listed(entry, m_now);
    }

    /// The worker drains for as long as it has announced.
    void drain()
    {
        list(draining_entry());
        pass(drain_time / 2);
        list(draining_entry(drain_time / 2));
        pass(drain_time / 2);
    }

    void remove_entry() { m_dispatcher.worker_removed("w1", m_now); }

    /// A call is sent after some time and ends like this.
    void call(const call_result& result)
    {
        pass(latency);
        const instant sent = m_now;
        pass(latency);
        m_dispatcher.renewal_failed("w1", result, m_now, sent);
    }

    void leave()
    {
        drain();
        remove_entry();
        call(refused);
    }

    bool is_held() const
    {
        return !m_dispatcher.workers().at("w1").m_tasks.empty();
    }

    start_order m_run;
};

} // namespace

TEST_F(left_worker_test, its_task_starts_elsewhere_without_a_wait_for_the_lease)
{
    leave();
    EXPECT_FALSE(is_held());
    const std::vector<start_order> next = start_all();
    ASSERT_EQ(next.size(), 1u);
    EXPECT_EQ(next[0].m_worker, "w2");
    const std::vector<log_line> over = m_log.lines("run_over");
    ASSERT_EQ(over.size(), 1u);
    EXPECT_EQ(over[0].field("reason"), "worker left");
}

TEST_F(left_worker_test, its_loss_is_attributed_to_no_task)
{
    leave();
    EXPECT_TRUE(m_log.lines("crash_attributed").empty());
    EXPECT_TRUE(m_log.lines("worker_unreliable").empty());
}

TEST_F(left_worker_test, an_unanswered_start_may_not_begin_in_its_next_process)
{
    accept(job("other", 1, 8));
    const start_order other = start_all().at(0);
    ASSERT_EQ(other.m_worker, "w2");
    m_dispatcher.start_finished(other, timed_out, m_now);
    worker_description entry = worker("w2");
    entry.m_draining = true;
    entry.m_clock = m_now.count();
    list(entry);
    m_dispatcher.worker_removed("w2", m_now);
    pass(latency);
    m_dispatcher.renewal_failed("w2", refused, m_now, m_now);
    ASSERT_TRUE(m_dispatcher.workers().at("w2").m_tasks.empty());
    EXPECT_GT(m_dispatcher.required_fence(), other.m_fence);
}

TEST_F(left_worker_test, only_a_refused_connection_counts)
{
    drain();
    remove_entry();
    for (const call_result& result :
         {timed_out, closed,
          call_result(order_outcome::not_sent, call_failure::unreachable),
          call_result(order_outcome::not_sent, call_failure::given_up)})
    {
        call(result);
        EXPECT_TRUE(is_held()) << to_string(result);
    }
    call(refused);
    EXPECT_FALSE(is_held());
}

// Guards against a refusal of a time at which the worker may have been cut off.
TEST_F(left_worker_test, a_call_from_before_the_removal_does_not_count)
{
    drain();
    const instant sent = m_now;
    remove_entry();
    pass(latency);
    m_dispatcher.renewal_failed("w1", refused, m_now, sent);
    EXPECT_TRUE(is_held());
    m_dispatcher.renewal_failed("w1", refused, m_now);
    EXPECT_TRUE(is_held());
}

TEST_F(left_worker_test, a_listed_worker_keeps_its_lease)
{
    drain();
    call(refused);
    call(refused);
    EXPECT_TRUE(is_held());
}

TEST_F(left_worker_test, a_removed_worker_that_did_not_drain_keeps_its_lease)
{
    worker_description entry = worker("w1");
    entry.m_clock = m_now.count();
    list(entry);
    remove_entry();
    call(refused);
    EXPECT_TRUE(is_held());
}

// Guards against another program's entry that hides the worker's own one.
TEST_F(left_worker_test, an_unreadable_entry_is_no_removal)
{
    drain();
    m_dispatcher.worker_unlisted("w1", m_now);
    call(refused);
    EXPECT_TRUE(is_held());
    remove_entry();
    call(refused);
    EXPECT_TRUE(is_held());
}

// Guards against a second run beside a worker that is cut off while it drains.
TEST_F(left_worker_test, an_entry_that_expired_is_no_departure)
{
    drain();
    pass(dispatch_limits().m_heartbeat_interval * 3);
    remove_entry();
    call(refused);
    EXPECT_TRUE(is_held());
}

// Guards against an entry that was read late and seems to be recent.
TEST_F(left_worker_test, the_age_of_an_entry_counts_from_its_own_clock)
{
    drain();
    const worker_description last = draining_entry(span(0));
    pass(dispatch_limits().m_heartbeat_interval * 3);
    list(last);
    remove_entry();
    call(refused);
    EXPECT_TRUE(is_held());
}

TEST_F(left_worker_test, an_entry_without_a_clock_shows_no_departure)
{
    worker_description entry = draining_entry(span(0));
    entry.m_clock = 0;
    list(entry);
    remove_entry();
    call(refused);
    EXPECT_TRUE(is_held());
}

TEST_F(left_worker_test, a_removal_before_the_announced_time_is_no_departure)
{
    list(draining_entry());
    pass(drain_time / 2);
    remove_entry();
    call(refused);
    EXPECT_TRUE(is_held());
}

TEST_F(left_worker_test, the_entry_of_another_process_shows_no_departure)
{
    for (const std::int64_t incarnation : {0, 99, 101})
    {
        worker_description entry = draining_entry(span(0));
        entry.m_incarnation = incarnation;
        list(entry);
        remove_entry();
        call(refused);
        EXPECT_TRUE(is_held()) << incarnation;
    }
}

TEST_F(left_worker_test, an_entry_with_another_address_shows_no_departure)
{
    worker_description entry = draining_entry(span(0));
    entry.m_address = "elsewhere";
    list(entry);
    remove_entry();
    call(refused);
    EXPECT_TRUE(is_held());
}

// Guards against an older reading of the list that is applied last, and against
// an entry that is back since the worker lives.
TEST_F(left_worker_test, a_worker_that_is_listed_again_keeps_its_lease)
{
    drain();
    const worker_description last = draining_entry(span(0));
    remove_entry();
    list(last);
    call(refused);
    EXPECT_TRUE(is_held());
}

TEST_F(left_worker_test, a_worker_that_answers_after_its_removal_is_kept)
{
    drain();
    remove_entry();
    pass(latency);
    report("w1", {running(m_run)});
    call(refused);
    EXPECT_TRUE(is_held());
}

TEST_F(left_worker_test, the_next_process_keeps_its_runs)
{
    drain();
    remove_entry();
    pass(latency);
    report("w1", {running(m_run)}, {}, 200);
    call(refused);
    EXPECT_TRUE(is_held());
}

// Guards against a leader that trusts the list about a worker of which it knows
// no clock.
TEST_F(left_worker_test, a_new_leader_that_had_no_answer_waits_for_the_lease)
{
    const job_submission submission = job("job", 1, 8);
    const job_progress recorded = store().back().m_progress;
    dispatcher next(dispatch_limits(), m_log.recorder());
    next.configure(m_configuration);
    next.begin_term(m_now, 2);
    next.add_job(submission, recorded, m_revision, m_now, m_now);
    next.worker_listed(draining_entry(span(0)), m_now);
    next.worker_removed("w1", m_now);
    next.renewal_failed("w1", refused, m_now + latency, m_now + latency);
    EXPECT_FALSE(next.workers().at("w1").m_tasks.empty());
}

// Guards against sound tasks that are blamed, and at last given up, because
// their worker left while the leader changed.
TEST_F(left_worker_test, a_new_leader_that_never_saw_it_listed_blames_no_task)
{
    const job_submission submission = job("job", 1, 8);
    const job_progress recorded = store().back().m_progress;
    dispatcher next(dispatch_limits(), m_log.recorder());
    next.configure(m_configuration);
    next.begin_term(m_now, 2);
    next.add_job(submission, recorded, m_revision, m_now, m_now);
    next.renewal_failed("w1", refused, m_now + latency, m_now + latency);
    pass(span(10'000));
    next.plan(m_now, m_now);
    EXPECT_EQ(m_log.lines("worker_lease_over").size(), 1u);
    EXPECT_TRUE(m_log.lines("crash_attributed").empty());
}

// Guards against sound tasks that are blamed because their worker drained, left
// and came back under its id while the leader changed.
TEST_F(left_worker_test, a_new_leader_blames_no_task_for_a_worker_that_is_back)
{
    const job_submission submission = job("job", 1, 8);
    drain();
    remove_entry();
    const job_progress recorded = store().back().m_progress;
    dispatcher next(dispatch_limits(), m_log.recorder());
    next.configure(m_configuration);
    next.begin_term(m_now, 2);
    worker_description back = worker("w1");
    back.m_incarnation = 200;
    next.worker_listed(back, m_now);
    next.add_job(submission, recorded, m_revision, m_now, m_now);
    pass(latency);
    worker_report answer;
    answer.m_clock = m_now.count();
    answer.m_incarnation = 200;
    answer.m_fence = 2;
    next.renewal_answered("w1", answer, m_now, m_now);
    next.plan(m_now, m_now);
    EXPECT_TRUE(m_log.lines("crash_attributed").empty());
}

// Guards against sound tasks that are blamed by an entry of their worker's next
// process, which never answers.
TEST_F(left_worker_test, the_entry_of_the_next_process_blames_no_task)
{
    const job_submission submission = job("job", 1, 8);
    drain();
    remove_entry();
    const job_progress recorded = store().back().m_progress;
    dispatcher next(dispatch_limits(), m_log.recorder());
    next.configure(m_configuration);
    next.begin_term(m_now, 2);
    next.add_job(submission, recorded, m_revision, m_now, m_now);
    worker_description back = worker("w1");
    back.m_incarnation = 200;
    next.worker_listed(back, m_now);
    next.renewal_failed("w1", refused, m_now + latency, m_now + latency);
    pass(span(10'000));
    next.plan(m_now, m_now);
    EXPECT_TRUE(m_log.lines("crash_attributed").empty());
}

// Guards against sound tasks that are blamed because the entry of their
// worker's next process hides that it drained.
TEST_F(left_worker_test, a_worker_that_drained_and_is_back_at_once_blames_none)
{
    drain();
    worker_description back = worker("w1");
    back.m_incarnation = 200;
    list(back);
    pass(latency);
    report("w1", {}, {}, 200);
    m_dispatcher.plan(m_now, m_now);
    EXPECT_TRUE(m_log.lines("crash_attributed").empty());
    EXPECT_TRUE(m_log.lines("worker_unreliable").empty());
}

} // namespace kingcuprudder::dispatch

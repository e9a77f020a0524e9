#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/node/worker_session.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>
#include <vector>

namespace kingcuprudder::node
{

namespace
{

constexpr std::int64_t shown_clock = 5000;
constexpr std::int64_t fence = 7;
const dispatch::call_result given_up{dispatch::order_outcome::not_sent,
                                     dispatch::call_failure::given_up};

/// What one worker received and how it answers.
struct recorded_calls
{
    std::mutex m_mutex;
    std::vector<std::string> m_orders;
    std::vector<std::int64_t> m_start_lease_ends;
    std::vector<std::int64_t> m_start_fences;
    /// Calls with a lower fencing token are refused.
    std::atomic<std::int64_t> m_lowest_fence = 0;
    std::vector<renewal_call> m_renewals;
    std::vector<instant> m_renewal_times;
    std::vector<renewal_answer> m_renewal_answers;
    span m_start_delay = span(0);
    span m_stop_delay = span(0);
    int m_in_flight = 0;
    int m_most_in_flight = 0;
    dispatch::call_result m_start_result = dispatch::order_outcome::accepted;

    std::size_t renewals()
    {
        std::lock_guard lock(m_mutex);
        return m_renewals.size();
    }
    std::vector<std::string> orders()
    {
        std::lock_guard lock(m_mutex);
        return m_orders;
    }
};

/// Answers renewals from a list, the last one again and again, and accepts all
/// orders.
class recording_calls final : public worker_calls
{
public:
    recording_calls(event_loop& loop, recorded_calls& record)
        : m_loop(loop), m_record(record)
    {
    }

    void start(const dispatch::start_order& order, std::int64_t used_fence,
               std::int64_t lease_end, span, order_done done) override
    {
        note("start " + order.m_run.m_task.str());
        {
            std::lock_guard lock(m_record.m_mutex);
            m_record.m_start_lease_ends.push_back(lease_end);
            m_record.m_start_fences.push_back(used_fence);
        }
        answer_after(m_record.m_start_delay,
                     [this, done, used_fence, result = m_record.m_start_result]
                     {
                         done({refuses(used_fence)
                                   ? dispatch::order_outcome::refused_fence
                                   : result,
                               shown_clock});
                     });
    }

    void stop(const dispatch::stop_order& order, std::int64_t, span,
              order_done done) override
    {
        note("stop " + order.m_run.m_task.str());
        answer_after(m_record.m_stop_delay,
                     [done] {
                         done({dispatch::order_outcome::accepted, shown_clock});
                     });
    }

    void renew(const renewal_call& call, span, renewal_done done) override
    {
        std::lock_guard lock(m_record.m_mutex);
        const std::size_t at = std::min(m_record.m_renewals.size(),
                                        m_record.m_renewal_answers.size() - 1);
        m_record.m_renewals.push_back(call);
        m_record.m_renewal_times.push_back(boottime_now());
        m_timer = m_loop.run_after(
            span(20),
            [this, done, used_fence = call.m_fence,
             answer = m_record.m_renewal_answers[at]]
            {
                done(refuses(used_fence)
                         ? renewal_answer(dispatch::call_result(
                               dispatch::order_outcome::refused_fence))
                         : answer);
            });
    }

    void cancel() override { note("cancel"); }

private:
    bool refuses(std::int64_t used_fence) const
    {
        return used_fence < m_record.m_lowest_fence;
    }
    void note(const std::string& text)
    {
        std::lock_guard lock(m_record.m_mutex);
        m_record.m_orders.push_back(text);
    }
    void answer_after(span delay, const event_loop::callback& answer)
    {
        ++m_record.m_in_flight;
        m_record.m_most_in_flight =
            std::max(m_record.m_most_in_flight, m_record.m_in_flight);
        m_answers.push_back(m_loop.run_after(delay,
                                             [this, answer]
                                             {
                                                 --m_record.m_in_flight;
                                                 answer();
                                             }));
    }

    event_loop& m_loop;
    recorded_calls& m_record;
    event_loop::timer m_timer;
    std::vector<event_loop::timer> m_answers;
};

class worker_session_test : public ::testing::Test
{
protected:
    ~worker_session_test() override { m_loop.stop(); }

    std::shared_ptr<worker_session> session(span worker_lease = span(6000))
    {
        worker_session::hooks hooks;
        hooks.m_lease_sent = [this](const std::string&, instant sent)
        {
            m_last_lease_sent = sent;
            ++m_leases_granted;
        };
        hooks.m_renewal_answered = [this](const std::string&,
                                          const dispatch::worker_report& answer,
                                          instant)
        {
            if (m_on_answer)
            {
                m_on_answer(answer);
            }
            ++m_answered;
        };
        hooks.m_renewal_failed = [this](const std::string&,
                                        const dispatch::call_result& got,
                                        instant sent)
        {
            std::lock_guard lock(m_record.m_mutex);
            m_failures.push_back(got);
            m_failures_sent.push_back(sent);
            ++m_failed;
        };
        hooks.m_start_finished = [this](const dispatch::start_order&,
                                        const dispatch::call_result& got)
        { note(got); };
        hooks.m_stop_finished =
            [this](const dispatch::stop_order&, dispatch::order_outcome got)
        { note(got); };
        return std::make_shared<worker_session>(
            m_loop, "127.0.0.1:1",
            std::make_unique<recording_calls>(m_loop, m_record), m_term,
            worker_lease, *m_slots, hooks);
    }

    void note(const dispatch::call_result& outcome)
    {
        std::lock_guard lock(m_record.m_mutex);
        m_outcomes.push_back(outcome);
    }

    std::size_t finished()
    {
        std::lock_guard lock(m_record.m_mutex);
        return m_outcomes.size();
    }

    static dispatch::renewal_request request()
    {
        dispatch::renewal_request made;
        made.m_worker = "w";
        made.m_incarnation = 1;
        made.m_needed = true;
        return made;
    }

    static dispatch::renewal_request draining_request()
    {
        dispatch::renewal_request made = request();
        made.m_draining = true;
        return made;
    }

    static dispatch::stop_order stop(int index)
    {
        return {"w", start(index).m_run};
    }

    /// Sends the stops of so many runs. Returns how long their answers take.
    span time_to_stop(worker_session& tested, int runs)
    {
        const instant began = boottime_now();
        for (int index = 0; index < runs; ++index)
        {
            tested.send(stop(index));
        }
        EXPECT_TRUE(eventually(
            [&] { return finished() == static_cast<std::size_t>(runs); }));
        return boottime_now() - began;
    }

    static dispatch::start_order start(int index)
    {
        return {"w",   {{"5c0e7a21d94b36f8", 0, 0, index}, 1},
                "",    "",
                fence, boottime_now()};
    }

    template <class Condition>
    static bool eventually(const Condition& holds)
    {
        for (int at = 0; at < 300; ++at)
        {
            if (holds())
            {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }

    /// Without slots, orders are sent in turn.
    std::unique_ptr<order_slots> m_slots = std::make_unique<order_slots>(0);
    event_loop m_loop{[](const std::string&) {}};
    std::shared_ptr<term> m_term = std::make_shared<term>(
        fence, boottime_now() + span(60'000), record_write());
    recorded_calls m_record;
    /// Called on the loop's thread with each answer to a renewal.
    std::function<void(const dispatch::worker_report&)> m_on_answer;
    std::vector<dispatch::call_result> m_outcomes;
    std::vector<dispatch::call_result> m_failures;
    std::vector<instant> m_failures_sent;
    std::atomic<int> m_leases_granted = 0;
    instant m_last_lease_sent;
    std::atomic<int> m_answered = 0;
    std::atomic<int> m_failed = 0;
};

dispatch::worker_report report()
{
    dispatch::worker_report made;
    made.m_clock = shown_clock;
    made.m_incarnation = 1;
    return made;
}

} // namespace

TEST_F(worker_session_test, orders_are_sent_in_turn_while_the_lease_is_renewed)
{
    m_record.m_renewal_answers = {report()};
    const auto tested = session();
    tested->update(request());
    ASSERT_TRUE(eventually([&] { return m_answered > 0; }));
    tested->send(start(0));
    tested->send(start(1));
    tested->send(dispatch::stop_order{"w", start(0).m_run});
    ASSERT_TRUE(eventually([&] { return finished() == 3; }));
    EXPECT_EQ(m_record.orders(),
              (std::vector<std::string>{"start 5c0e7a21d94b36f8.0.0.0",
                                        "start 5c0e7a21d94b36f8.0.0.1",
                                        "stop 5c0e7a21d94b36f8.0.0.0"}));
    EXPECT_TRUE(eventually([&] { return m_answered > 3; }));
    m_loop.stop();
}

// Guards against cancelled tasks that run on while other stops are answered.
TEST_F(worker_session_test, slow_stops_do_not_wait_for_one_another)
{
    m_record.m_renewal_answers = {report()};
    m_record.m_stop_delay = span(40);
    m_slots = std::make_unique<order_slots>(100);
    const auto tested = session();
    tested->update(request());
    ASSERT_TRUE(eventually([&] { return m_answered > 0; }));
    EXPECT_LT(time_to_stop(*tested, 64), span(64 * 40 / 2));
    m_loop.stop();
}

// Guards against a worker whose unanswered start holds up its other orders.
TEST_F(worker_session_test, an_unanswered_start_holds_up_no_other_task)
{
    m_record.m_renewal_answers = {report()};
    m_record.m_start_delay = span(2000);
    m_slots = std::make_unique<order_slots>(100);
    const auto tested = session();
    tested->update(request());
    ASSERT_TRUE(eventually([&] { return m_answered > 0; }));
    tested->send(start(100));
    EXPECT_LT(time_to_stop(*tested, 1), span(1000));
    m_loop.stop();
}

// Guards against a stop that overtakes the start of the same task.
TEST_F(worker_session_test, orders_to_one_task_are_sent_in_turn)
{
    m_record.m_renewal_answers = {report()};
    m_record.m_start_delay = span(150);
    m_slots = std::make_unique<order_slots>(100);
    const auto tested = session();
    tested->update(request());
    ASSERT_TRUE(eventually([&] { return m_answered > 0; }));
    tested->send(start(0));
    ASSERT_TRUE(eventually([&] { return m_record.orders().size() == 1; }));
    tested->send(stop(0));
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
    EXPECT_EQ(m_record.orders().size(), 1u);
    ASSERT_TRUE(eventually([&] { return finished() == 2; }));
    m_loop.stop();
    EXPECT_EQ(m_record.m_most_in_flight, 1);
}

// Guards against connections that are opened although each answer comes soon.
TEST_F(worker_session_test, orders_that_are_answered_soon_are_sent_in_turn)
{
    m_record.m_renewal_answers = {report()};
    m_slots = std::make_unique<order_slots>(100);
    const auto tested = session();
    tested->update(request());
    ASSERT_TRUE(eventually([&] { return m_answered > 0; }));
    time_to_stop(*tested, 30);
    m_loop.stop();
    EXPECT_LE(m_record.m_most_in_flight, 4);
}

// Guards against more connections than a process has descriptors for.
TEST_F(worker_session_test, orders_in_flight_stay_within_the_slots)
{
    m_record.m_renewal_answers = {report()};
    m_record.m_stop_delay = span(30);
    m_slots = std::make_unique<order_slots>(3);
    const auto tested = session();
    tested->update(request());
    ASSERT_TRUE(eventually([&] { return m_answered > 0; }));
    time_to_stop(*tested, 24);
    m_loop.stop();
    EXPECT_LE(m_record.m_most_in_flight, 4);
    EXPECT_GE(m_record.m_most_in_flight, 2);
}

// Guards against two leaders that both send orders around a hand-over.
TEST_F(worker_session_test, nothing_is_sent_after_the_term_has_ended)
{
    m_record.m_renewal_answers = {report()};
    const auto tested = session();
    tested->update(request());
    ASSERT_TRUE(eventually([&] { return m_answered > 0; }));
    m_term->end();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    const std::size_t renewals = m_record.renewals();
    tested->send(start(0));
    ASSERT_TRUE(eventually([&] { return finished() == 1; }));
    EXPECT_EQ(m_outcomes[0],
              dispatch::call_result(dispatch::order_outcome::not_sent,
                                    dispatch::call_failure::given_up));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    EXPECT_EQ(m_record.renewals(), renewals);
    EXPECT_TRUE(m_record.orders().empty());
    m_loop.stop();
}

// Guards against a worker that is only slow to answer and whose lease would be
// extended by each attempt, so that its tasks could never be assigned anew.
TEST_F(worker_session_test, a_repeated_renewal_extends_no_lease)
{
    m_record.m_renewal_answers = {report(),
                                  dispatch::order_outcome::may_have_arrived};
    const auto tested = session();
    tested->update(request());
    ASSERT_TRUE(eventually([&] { return m_record.renewals() >= 4; }));
    m_loop.stop();
    EXPECT_GE(m_failed, 2);
    EXPECT_EQ(m_leases_granted, 1);
    const std::vector<renewal_call>& calls = m_record.m_renewals;
    ASSERT_TRUE(calls[1].m_lease_end_clock);
    for (std::size_t at = 2; at < calls.size(); ++at)
    {
        EXPECT_EQ(calls[at].m_lease_end_clock, std::nullopt);
        EXPECT_EQ(calls[at].m_wait, span(0));
    }
}

// Guards against a lease that lapses while the renewal that extends it waits
// for a completion and gets no answer again.
TEST_F(worker_session_test, the_lease_is_extended_at_once_after_a_lost_renewal)
{
    m_record.m_renewal_answers = {
        report(), dispatch::order_outcome::may_have_arrived, report()};
    const auto tested = session();
    tested->update(request());
    ASSERT_TRUE(eventually([&] { return m_record.renewals() >= 5; }));
    m_loop.stop();
    const std::vector<renewal_call>& calls = m_record.m_renewals;
    EXPECT_EQ(calls[2].m_lease_end_clock, std::nullopt);
    EXPECT_TRUE(calls[3].m_lease_end_clock);
    EXPECT_EQ(calls[3].m_wait, span(0));
    EXPECT_GT(calls[4].m_wait, span(0));
}

// Guards against a refusal that seems to be newer than the worker's removal
// from the list.
TEST_F(worker_session_test, a_failed_renewal_is_reported_with_its_sending_time)
{
    m_record.m_renewal_answers = {
        report(),
        dispatch::call_result(dispatch::order_outcome::not_sent,
                              dispatch::call_failure::connection_refused)};
    const auto tested = session();
    tested->update(request());
    ASSERT_TRUE(eventually([&] { return m_failed >= 1; }));
    m_loop.stop();
    ASSERT_FALSE(m_failures_sent.empty());
    EXPECT_EQ(m_failures_sent[0], m_last_lease_sent);
}

// Guards against a log that cannot tell a crashed worker from one that is slow,
// cut off or replaced.
TEST_F(worker_session_test, failed_calls_are_reported_with_their_reason)
{
    const std::vector<dispatch::call_result> reasons = {
        {dispatch::order_outcome::may_have_arrived,
         dispatch::call_failure::connection_closed},
        {dispatch::order_outcome::not_sent,
         dispatch::call_failure::connection_refused},
        {dispatch::order_outcome::may_have_arrived,
         dispatch::call_failure::timed_out},
        dispatch::order_outcome::wrong_incarnation};
    m_record.m_renewal_answers.assign(reasons.begin(), reasons.end());
    m_record.m_renewal_answers.insert(m_record.m_renewal_answers.begin(),
                                      report());
    m_record.m_start_result = reasons[0];
    const auto tested = session();
    tested->update(request());
    tested->send(start(0));
    ASSERT_TRUE(eventually([&] { return m_failed >= 4 && finished() == 1; }));
    m_loop.stop();
    m_failures.resize(reasons.size());
    EXPECT_EQ(m_failures, reasons);
    EXPECT_EQ(m_outcomes[0], reasons[0]);
}

// Guards against a cancelled task that starts when its turn comes late.
TEST_F(worker_session_test, a_start_that_waits_is_not_sent_once_it_is_stopped)
{
    m_record.m_renewal_answers = {report()};
    const auto tested = session();
    tested->update(request());
    ASSERT_TRUE(eventually([&] { return m_answered > 0; }));
    m_loop.post(
        [&]
        {
            tested->send(start(0));
            tested->send(start(1));
            tested->send(dispatch::stop_order{"w", start(1).m_run});
        });
    const auto has = [&](const std::string& order)
    {
        const std::vector<std::string> orders = m_record.orders();
        return std::find(orders.begin(), orders.end(), order) != orders.end();
    };
    ASSERT_TRUE(eventually([&] { return has("stop 5c0e7a21d94b36f8.0.0.1"); }));
    m_loop.stop();
    EXPECT_FALSE(has("start 5c0e7a21d94b36f8.0.0.1"));
}

// Guards against a start that waits until its run was released and is then sent
// with the token that makes the worker refuse it.
TEST_F(worker_session_test, a_start_is_sent_with_its_own_token_or_not_at_all)
{
    m_record.m_renewal_answers = {report()};
    m_record.m_start_delay = span(100);
    const auto tested = session();
    tested->update(request());
    ASSERT_TRUE(eventually([&] { return m_answered > 0; }));
    tested->send(start(0));
    tested->send(start(1));
    ASSERT_TRUE(eventually([&] { return m_record.orders().size() == 1; }));
    m_term->raise_fence(fence + 1);
    ASSERT_TRUE(eventually([&] { return finished() == 2; }));
    m_loop.stop();
    EXPECT_EQ(m_record.m_start_fences, std::vector<std::int64_t>{fence});
    EXPECT_EQ(m_outcomes[1], dispatch::order_outcome::refused_own_fence);
}

TEST_F(worker_session_test, a_withdrawn_start_is_not_sent)
{
    m_record.m_renewal_answers = {report()};
    const auto tested = session();
    tested->update(request());
    ASSERT_TRUE(eventually([&] { return m_answered > 0; }));
    m_loop.post(
        [&]
        {
            tested->send(start(0));
            tested->send(start(1));
            tested->withdraw(start(1).m_run);
            tested->send(start(2));
        });
    ASSERT_TRUE(eventually([&] { return finished() == 2; }));
    m_loop.stop();
    EXPECT_EQ(m_record.orders(),
              (std::vector<std::string>{"start 5c0e7a21d94b36f8.0.0.0",
                                        "start 5c0e7a21d94b36f8.0.0.2"}));
}

TEST_F(worker_session_test,
       a_start_that_waits_is_refused_once_its_worker_drains)
{
    m_record.m_renewal_answers = {report()};
    m_record.m_start_delay = span(300);
    const auto tested = session();
    tested->update(request());
    ASSERT_TRUE(eventually([&] { return m_answered > 0; }));
    tested->send(start(0));
    tested->send(start(1));
    tested->send(start(2));
    ASSERT_TRUE(eventually([&] { return m_record.orders().size() == 1; }));
    tested->update(draining_request());
    ASSERT_TRUE(eventually([&] { return finished() == 3; }));
    m_loop.stop();
    EXPECT_EQ(m_record.orders(),
              std::vector<std::string>{"start 5c0e7a21d94b36f8.0.0.0"});
    EXPECT_EQ(m_outcomes,
              (std::vector<dispatch::call_result>{
                  given_up, given_up, dispatch::order_outcome::accepted}));
}

TEST_F(worker_session_test,
       a_start_that_comes_late_to_a_draining_worker_is_refused)
{
    m_record.m_renewal_answers = {report()};
    const auto tested = session();
    tested->update(draining_request());
    ASSERT_TRUE(eventually([&] { return m_answered > 0; }));
    tested->send(start(0));
    ASSERT_TRUE(eventually([&] { return finished() == 1; }));
    m_loop.stop();
    EXPECT_TRUE(m_record.orders().empty());
    EXPECT_EQ(m_outcomes, std::vector<dispatch::call_result>{given_up});
}

TEST_F(worker_session_test, a_draining_worker_is_still_sent_its_stops)
{
    m_record.m_renewal_answers = {report()};
    m_record.m_start_delay = span(100);
    const auto tested = session();
    tested->update(request());
    ASSERT_TRUE(eventually([&] { return m_answered > 0; }));
    tested->send(start(0));
    tested->send(dispatch::stop_order{"w", start(3).m_run});
    ASSERT_TRUE(eventually([&] { return m_record.orders().size() == 1; }));
    tested->update(draining_request());
    ASSERT_TRUE(eventually([&] { return finished() == 2; }));
    m_loop.stop();
    EXPECT_EQ(m_record.orders(),
              (std::vector<std::string>{"start 5c0e7a21d94b36f8.0.0.0",
                                        "stop 5c0e7a21d94b36f8.0.0.3"}));
}

TEST_F(worker_session_test,
       a_refusal_of_a_token_that_was_raised_since_does_not_end_the_term)
{
    m_record.m_renewal_answers = {report()};
    m_record.m_start_delay = span(100);
    const auto tested = session();
    tested->update(request());
    ASSERT_TRUE(eventually([&] { return m_answered > 0; }));
    tested->send(start(0));
    ASSERT_TRUE(eventually([&] { return m_record.orders().size() == 1; }));
    m_term->raise_fence(fence + 1);
    m_record.m_lowest_fence = fence + 1;
    const int answered = m_answered;
    ASSERT_TRUE(eventually([&] { return finished() == 1; }));
    EXPECT_TRUE(eventually([&] { return m_answered > answered + 1; }));
    m_loop.stop();
    EXPECT_TRUE(m_term->is_valid());
    EXPECT_EQ(m_failed, 0);
    EXPECT_EQ(m_outcomes[0], dispatch::order_outcome::refused_own_fence);
}

// Guards against a next process that waits for work while a renewal with the
// earlier token waits for a completion.
TEST_F(worker_session_test, a_next_process_is_shown_the_raised_token_at_once)
{
    dispatch::worker_report restarted = report();
    restarted.m_incarnation = 2;
    m_record.m_renewal_answers = {report(), restarted};
    const auto tested = session();
    m_on_answer = [&](const dispatch::worker_report& answer)
    {
        if (answer.m_incarnation == 2 && m_term->fence() == fence)
        {
            m_term->raise_fence(fence + 1);
            dispatch::renewal_request asked = request();
            asked.m_incarnation = 2;
            asked.m_min_fence = fence + 1;
            tested->update(asked);
        }
    };
    tested->update(request());
    ASSERT_TRUE(eventually([&] { return m_record.renewals() > 3; }));
    m_loop.stop();
    const std::vector<renewal_call>& calls = m_record.m_renewals;
    EXPECT_EQ(calls[2].m_fence, fence + 1);
    EXPECT_EQ(calls[2].m_wait, span(0));
    EXPECT_GT(calls[3].m_wait, span(0));
}

// Guards against a lease that is too long as it was computed from what another
// program or an earlier process of the worker had written.
TEST_F(worker_session_test, a_lease_is_computed_from_the_workers_answers_only)
{
    m_record.m_renewal_answers = {report()};
    const auto tested = session();
    tested->update(request());
    tested->send(start(0));
    ASSERT_TRUE(eventually(
        [&] { return m_record.renewals() >= 3 && finished() == 1; }));
    m_loop.stop();
    const std::vector<renewal_call>& calls = m_record.m_renewals;
    EXPECT_EQ(calls[0].m_lease_end_clock, std::nullopt);
    // At most as much later than the reading as this test took.
    const std::int64_t latest = shown_clock + 6000 + 3000;
    EXPECT_GE(calls[1].m_lease_end_clock, shown_clock + 6000);
    EXPECT_LE(calls[1].m_lease_end_clock, latest);
    EXPECT_LE(m_record.m_start_lease_ends.at(0), latest);
    EXPECT_EQ(m_outcomes[0], dispatch::order_outcome::accepted);
}

// Guards against a worker on which no task ever starts as its clock is unknown.
TEST_F(worker_session_test, a_worker_that_needs_no_lease_is_asked_for_its_clock)
{
    m_record.m_renewal_answers = {dispatch::order_outcome::may_have_arrived,
                                  report()};
    const auto tested = session();
    dispatch::renewal_request idle = request();
    idle.m_needed = false;
    tested->update(idle);
    ASSERT_TRUE(eventually([&] { return m_answered == 1; }));
    tested->send(start(0));
    ASSERT_TRUE(eventually([&] { return finished() == 1; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    m_loop.stop();
    EXPECT_EQ(m_outcomes[0], dispatch::order_outcome::accepted);
    ASSERT_EQ(m_record.m_renewals.size(), 2u);
    EXPECT_EQ(m_record.m_renewals[0].m_lease_end_clock, std::nullopt);
    EXPECT_EQ(m_record.m_renewals[1].m_lease_end_clock, std::nullopt);
    EXPECT_EQ(m_leases_granted, 1); // That of the start.
}

// Guards against a task that waits for a worker that does not answer.
TEST_F(worker_session_test, a_start_is_given_up_if_the_clock_cannot_be_read)
{
    m_record.m_renewal_answers = {dispatch::order_outcome::may_have_arrived};
    const auto tested = session();
    tested->update(request());
    tested->send(start(0));
    ASSERT_TRUE(eventually([&] { return finished() == 1; }));
    m_loop.stop();
    EXPECT_EQ(m_outcomes[0],
              dispatch::call_result(dispatch::order_outcome::not_sent,
                                    dispatch::call_failure::given_up));
    EXPECT_TRUE(m_record.orders().empty());
}

// Guards against a worker that tells no clock and is asked in a busy loop.
TEST_F(worker_session_test, a_worker_without_a_clock_is_asked_at_intervals)
{
    dispatch::worker_report without_clock = report();
    without_clock.m_clock = 0;
    m_record.m_renewal_answers = {without_clock};
    const auto tested = session();
    tested->update(request());
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    m_loop.stop();
    EXPECT_LE(m_record.renewals(), 2u);
    EXPECT_EQ(m_leases_granted, 0);
}

TEST_F(worker_session_test, a_refused_fencing_token_ends_the_term)
{
    m_record.m_renewal_answers = {dispatch::order_outcome::refused_fence};
    const auto tested = session();
    tested->update(request());
    EXPECT_TRUE(eventually([&] { return m_term->ended(); }));
    m_loop.stop();
}

// Guards against reports that are acknowledged before they are stored, and
// against a busy loop of renewals that repeat the same reports.
TEST_F(worker_session_test, a_renewal_waits_for_its_acknowledgement)
{
    dispatch::worker_report with_end = report();
    with_end.m_ended.push_back(
        {4, "5c0e7a21d94b36f8.0.0.0", 1, dispatch::run_outcome::done, ""});
    m_record.m_renewal_answers = {with_end, report()};
    const auto tested = session();
    dispatch::renewal_request asked = request();
    tested->update(asked);
    ASSERT_TRUE(eventually([&] { return m_answered == 1; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    EXPECT_EQ(m_record.renewals(), 1u);
    asked.m_acknowledged = 4;
    tested->update(asked);
    ASSERT_TRUE(eventually([&] { return m_record.renewals() >= 2; }));
    m_loop.stop();
    EXPECT_EQ(m_record.m_renewals[1].m_acknowledged, 4);
}

TEST_F(worker_session_test, a_closed_session_sends_nothing)
{
    m_record.m_renewal_answers = {report()};
    const auto tested = session();
    tested->update(request());
    ASSERT_TRUE(eventually([&] { return m_answered > 0; }));
    tested->close();
    ASSERT_TRUE(eventually([&] { return !m_record.orders().empty(); }));
    const std::size_t renewals = m_record.renewals();
    tested->send(start(0));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    EXPECT_EQ(m_record.orders(), std::vector<std::string>{"cancel"});
    EXPECT_LE(m_record.renewals(), renewals + 1);
    m_loop.stop();
}

// Guards against a task that neither runs nor is started again.
TEST_F(worker_session_test, a_closed_session_reports_its_waiting_orders)
{
    m_record.m_renewal_answers = {report()};
    const auto tested = session();
    tested->update(request());
    ASSERT_TRUE(eventually([&] { return m_answered > 0; }));
    m_loop.post(
        [&]
        {
            tested->send(start(0));
            tested->send(start(1));
            tested->close();
            tested->send(start(2));
        });
    ASSERT_TRUE(eventually([&] { return finished() == 3; }));
    m_loop.stop();
    const dispatch::call_result given_up = {dispatch::order_outcome::not_sent,
                                            dispatch::call_failure::given_up};
    EXPECT_EQ(std::count(m_outcomes.begin(), m_outcomes.end(), given_up), 2);
}

// Guards against ends of a restarted worker that are forgotten unread, as its
// earlier process had counted further.
TEST_F(worker_session_test, a_renewal_after_a_silence_acknowledges_nothing)
{
    dispatch::worker_report with_end = report();
    with_end.m_ended.push_back(
        {4, "5c0e7a21d94b36f8.0.0.0", 1, dispatch::run_outcome::done, ""});
    m_record.m_renewal_answers = {with_end,
                                  dispatch::order_outcome::may_have_arrived,
                                  with_end, report()};
    const auto tested = session();
    dispatch::renewal_request asked = request();
    asked.m_acknowledged = 4;
    tested->update(asked);
    ASSERT_TRUE(eventually([&] { return m_record.renewals() >= 4; }));
    m_loop.stop();
    const std::vector<renewal_call>& calls = m_record.m_renewals;
    EXPECT_EQ(calls[0].m_acknowledged, 0);
    EXPECT_EQ(calls[1].m_acknowledged, 4);
    EXPECT_EQ(calls[2].m_acknowledged, 0);
    EXPECT_EQ(calls[3].m_acknowledged, 4);
}

// Guards against the same if the worker was not called meanwhile.
TEST_F(worker_session_test, a_renewal_after_an_idle_time_acknowledges_nothing)
{
    m_record.m_renewal_answers = {report()};
    const auto tested = session();
    dispatch::renewal_request asked = request();
    asked.m_needed = false;
    tested->update(asked);
    ASSERT_TRUE(eventually([&] { return m_answered == 1; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    asked.m_acknowledged = 4;
    tested->update(asked);
    ASSERT_TRUE(eventually([&] { return m_answered == 3; }));
    m_loop.stop();
    EXPECT_EQ(m_record.m_renewals[1].m_acknowledged, 0);
    EXPECT_EQ(m_record.m_renewals[1].m_wait, span(0));
    EXPECT_EQ(m_record.m_renewals[2].m_acknowledged, 4);
}

// Guards against starts that wait as the clock in an answer was forgotten when
// the dispatcher named the incarnation that this answer had shown.
TEST_F(worker_session_test, the_clock_of_a_new_incarnation_is_kept)
{
    m_record.m_renewal_answers = {report()};
    const auto tested = session();
    dispatch::renewal_request asked = request();
    asked.m_incarnation = 0;
    asked.m_needed = false;
    tested->update(asked);
    ASSERT_TRUE(eventually([&] { return m_answered == 1; }));
    asked.m_incarnation = 1;
    tested->update(asked);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    m_loop.stop();
    EXPECT_EQ(m_record.renewals(), 1u);
}

TEST_F(worker_session_test, a_start_that_waited_does_not_outlast_its_lease)
{
    m_record.m_renewal_answers = {report()};
    m_record.m_start_delay = span(700);
    const auto tested = session(span(1000));
    tested->update(request());
    ASSERT_TRUE(eventually([&] { return m_answered > 0; }));
    tested->send(start(0));
    tested->send(start(1));
    ASSERT_TRUE(eventually([&] { return finished() == 2; }));
    m_loop.stop();
    const std::vector<std::string> sent = m_record.orders();
    EXPECT_EQ(
        std::count(sent.begin(), sent.end(), "start 5c0e7a21d94b36f8.0.0.1"),
        0);
    EXPECT_LE(m_record.m_start_lease_ends.at(0), shown_clock + 1000 + 20);
}

// Guards against a lease that outlasts what the dispatcher assumes, as the
// order reached the session late.
TEST_F(worker_session_test, a_lease_is_counted_from_when_the_start_was_made)
{
    const instant began = boottime_now();
    m_record.m_renewal_answers = {report()};
    const auto tested = session(span(1000));
    tested->update(request());
    ASSERT_TRUE(eventually([&] { return m_answered > 0; }));
    dispatch::start_order made_earlier = start(0);
    made_earlier.m_made_at = boottime_now() - span(400);
    tested->send(made_earlier);
    ASSERT_TRUE(eventually([&] { return finished() == 1; }));
    m_loop.stop();
    ASSERT_EQ(m_record.m_start_lease_ends.size(), 1u);
    EXPECT_LE(m_record.m_start_lease_ends[0],
              shown_clock + 1000 + (made_earlier.m_made_at - began).count());
}

// The answer of the process before is received after that of the next one.
TEST_F(worker_session_test,
       the_clock_of_the_process_before_is_not_used_for_the_next_one)
{
    dispatch::worker_report next = report();
    next.m_incarnation = 2;
    next.m_clock = 50;
    m_record.m_renewal_answers = {report(), next};
    m_record.m_start_delay = span(70); // Received after the next process's.
    const auto tested = session();
    tested->update(request());
    ASSERT_TRUE(eventually([&] { return m_answered == 1; }));
    tested->send(start(0));
    ASSERT_TRUE(eventually([&] { return m_record.renewals() >= 3; }));
    m_loop.stop();
    ASSERT_EQ(finished(), 1u);
    EXPECT_LT(*m_record.m_renewals[2].m_lease_end_clock,
              next.m_clock + 6000 + 500);
}

// The worker restarts under its id while its answers are lost. The calls reach
// the next process, whose clock began anew, and it shortens each lease to the
// maximum. No call is late.
TEST_F(worker_session_test, repeated_renewals_extend_no_lease_of_a_next_process)
{
    constexpr span max_hold(6000);
    constexpr span lease_end_margin(400); // As dispatcher::lease_end().
    dispatch::worker_report first = report();
    first.m_clock = 482'000;
    m_record.m_renewal_answers = {
        first, dispatch::call_result(dispatch::order_outcome::may_have_arrived,
                                     dispatch::call_failure::timed_out)};
    const auto tested = session();
    tested->update(request());
    const instant next_process_began = boottime_now();
    ASSERT_TRUE(eventually([&] { return m_record.renewals() == 6; }));
    m_loop.stop();
    instant held_until;
    for (std::size_t at = 1; at < m_record.m_renewals.size(); ++at)
    {
        const instant arrived = m_record.m_renewal_times[at];
        if (m_record.m_renewals[at].m_lease_end_clock)
        {
            const span asked =
                span(*m_record.m_renewals[at].m_lease_end_clock) -
                (arrived - next_process_began);
            held_until =
                std::max(held_until, arrived + std::min(asked, max_hold));
        }
    }
    EXPECT_LE(held_until, m_last_lease_sent + max_hold + lease_end_margin)
        << (held_until - m_last_lease_sent).count() << " ms after the renewal "
        << "from which the dispatcher counts the lease";
}

// The worker restarted unnoticed while it was idle, so its clock began anew and
// it shortens the start's lease to the maximum, counted from the arrival.
TEST_F(worker_session_test,
       the_lease_that_a_waiting_start_grants_a_next_process_is_counted)
{
    constexpr span max_hold(6000);
    constexpr span lease_end_margin(400); // As dispatcher::lease_end().
    dispatch::worker_report first = report();
    first.m_clock = 482'000;
    m_record.m_renewal_answers = {first};
    const auto tested = session();
    dispatch::renewal_request asked = request();
    asked.m_needed = false;
    tested->update(asked);
    ASSERT_TRUE(eventually([&] { return m_answered == 1; }));
    const instant next_process_began = boottime_now();
    dispatch::start_order waited = start(0);
    waited.m_made_at = boottime_now() - span(3000);
    const int granted_before = m_leases_granted;
    tested->send(waited);
    ASSERT_TRUE(eventually([&] { return finished() == 1; }));
    m_loop.stop();
    ASSERT_EQ(m_record.m_start_lease_ends.size(), 1u);
    const instant arrived = next_process_began;
    const instant held_until =
        arrived + std::min(span(m_record.m_start_lease_ends[0]), max_hold);
    const instant counted_from = m_leases_granted > granted_before
                                     ? m_last_lease_sent
                                     : waited.m_made_at;
    EXPECT_LE(held_until, counted_from + max_hold + lease_end_margin)
        << (held_until - counted_from).count() << " ms after made_at";
}

} // namespace kingcuprudder::node

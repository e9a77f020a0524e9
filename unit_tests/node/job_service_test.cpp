#include "captured_output.hpp"
#include "forwarding_store.hpp"
#include "node_fixture.hpp"
#include <kingcuprudder/codec/dispatch_codec.hpp>
#include <kingcuprudder/node/job_service.hpp>
#include <kingcuprudder/node/record_keys.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <thread>
#include <utility>
#include <vector>

namespace kingcuprudder::node
{

namespace
{

using stand_ins::memory_store;

/// A store whose lists are answered after a delay, like those of a process that
/// is paused before it reads the answer.
class slow_store final : public forwarding_store
{
public:
    using forwarding_store::forwarding_store;

    static constexpr span delay = span(600);

    store_result<record_page> list_page(const std::string& prefix,
                                        const std::string& after,
                                        span timeout) override
    {
        auto listed = forwarding_store::list_page(prefix, after, timeout);
        std::this_thread::sleep_for(std::chrono::milliseconds(delay.count()));
        return listed;
    }
};

/// A store whose calls for callers fail. Watches and lists go on.
class failing_store final : public forwarding_store
{
public:
    using forwarding_store::forwarding_store;

    store_result<std::optional<record>> read(const std::string& key,
                                             span timeout) override
    {
        ++m_reads;
        const std::int64_t latency = m_latency_ms;
        if (m_silent_reads > 0 || timeout.count() < latency)
        {
            m_silent_reads = std::max(0, m_silent_reads.load() - 1);
            std::this_thread::sleep_for(
                std::chrono::milliseconds(timeout.count()));
            return store_failure::unknown;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(latency));
        if (m_refuses_reads)
        {
            return store_failure::not_done;
        }
        return forwarding_store::read(key, timeout);
    }
    store_result<commit_answer> commit(const store_transaction& transaction,
                                       span timeout) override
    {
        ++m_commits;
        if (m_before_commit)
        {
            m_before_commit();
        }
        return forwarding_store::commit(transaction, timeout);
    }

    std::atomic<int> m_reads = 0;
    /// The next so many reads get no answer within their timeout.
    std::atomic<int> m_silent_reads = 0;
    std::atomic<bool> m_refuses_reads = false;
    std::atomic<int> m_commits = 0;
    /// Called before each commit, for example to change a record.
    std::function<void()> m_before_commit;
    /// How long the store takes to answer a read.
    std::atomic<std::int64_t> m_latency_ms = 0;
};

/// A store that refuses every commit for its content.
class refusing_store final : public forwarding_store
{
public:
    using forwarding_store::forwarding_store;

    store_result<commit_answer> commit(const store_transaction&, span) override
    {
        ++m_commits;
        return store_failure::refused;
    }

    std::atomic<int> m_commits = 0;
};

/// A store that answers no commit, and carries out the last one when asked to.
class late_commit_store final : public forwarding_store
{
public:
    using forwarding_store::forwarding_store;

    store_result<commit_answer> commit(const store_transaction& transaction,
                                       span) override
    {
        m_last = transaction;
        return store_failure::unknown;
    }

    store_result<commit_answer> carry_out()
    {
        return forwarding_store::commit(m_last, span(100));
    }

private:
    store_transaction m_last;
};

class job_service_test : public node_fixture
{
protected:
    static constexpr span patience = span(3000);

    job_service_test()
        : m_configuration(m_store, m_records, m_log),
          m_jobs(m_store, m_configuration, m_log)
    {
    }

    static caller_request request(const std::string& key = "key")
    {
        return {"host", "/queue/5c0e7a21d94b36f8", key,
                boottime_now() + span(400)};
    }

    static dispatch::job_submission job()
    {
        dispatch::job_submission made;
        made.m_id = "5c0e7a21d94b36f8";
        made.m_steps = {dispatch::job_step{1, {}, span(10)}};
        return made;
    }

    /// A request of a caller that waits as long as most do.
    static caller_request patient_request()
    {
        caller_request made = request();
        made.m_deadline = boottime_now() + patience;
        return made;
    }

    /// Makes the next call of this kind fail without effect.
    void refuse_once(const std::string& kind)
    {
        m_store.set_fault_hook(
            [kind, refused = false](const std::string& call) mutable
            {
                if (refused || call != kind)
                {
                    return memory_store::fault::none;
                }
                refused = true;
                return memory_store::fault::refuse;
            });
    }

    /// Overwrites the job's progress with bytes that are not a record.
    void damage_progress()
    {
        store_transaction transaction;
        transaction.m_writes = {{record_keys::progress(job().m_id), "\x01", 0}};
        m_writer.commit(transaction, span(100));
    }

    std::size_t stored_jobs()
    {
        return std::get<0>(
                   m_store.list(record_keys::submission_prefix, span(1)))
            .m_records.size();
    }

    configuration_view m_configuration;
    job_service m_jobs;
};

} // namespace

TEST_F(job_service_test, an_accepted_job_is_stored_and_shown)
{
    EXPECT_EQ(m_jobs.submit(request(), job()), std::nullopt);
    EXPECT_EQ(stored_jobs(), 1u);
    EXPECT_EQ(m_jobs.state(request(), job().m_id),
              service_result<dispatch::job_state>(dispatch::job_state::queued));
}

// Guards against a job whose record the store never takes, and whose caller
// gets no certain answer however often it submits it.
TEST_F(job_service_test, a_job_whose_record_is_too_large_is_refused_unstored)
{
    failing_store store(m_store);
    job_service jobs(store, m_configuration, m_log);
    dispatch::job_submission large = job();
    large.m_steps.resize(5000, large.m_steps[0]);
    EXPECT_EQ(jobs.submit(patient_request(), large), refusal::too_large);
    EXPECT_EQ(store.m_commits, 0);
    EXPECT_EQ(stored_jobs(), 0u);
}

// Guards against a caller that waits until its deadline for a write that the
// store has refused for its content.
TEST_F(job_service_test, a_write_that_the_store_refuses_is_not_repeated)
{
    refusing_store store(m_store);
    job_service jobs(store, m_configuration, m_log);
    EXPECT_EQ(jobs.submit(patient_request(), job()), refusal::invalid);
    EXPECT_EQ(jobs.cancel(patient_request(), job().m_id), refusal::invalid);
    EXPECT_EQ(store.m_commits, 2);
}

// A caller submits the same id again after a lost answer, to any process.
TEST_F(job_service_test, the_same_id_remains_one_job)
{
    EXPECT_EQ(m_jobs.submit(request(), job()), std::nullopt);
    EXPECT_EQ(m_jobs.submit(request(), job()), std::nullopt);
    EXPECT_EQ(stored_jobs(), 1u);
}

// A refusal guarantees that the job never runs.
TEST_F(job_service_test, a_refused_job_is_not_stored)
{
    m_store.set_fault_hook(
        [](const std::string& call)
        {
            return call == "commit" ? memory_store::fault::refuse
                                    : memory_store::fault::none;
        });
    EXPECT_EQ(m_jobs.submit(request(), job()), refusal::unavailable);
    EXPECT_EQ(stored_jobs(), 0u);
}

// The store commits the write and its answer is lost. The job must not be
// reported as refused.
TEST_F(job_service_test, a_lost_answer_does_not_fail_a_submission)
{
    bool first = true;
    m_store.set_fault_hook(
        [&first](const std::string& call)
        {
            const bool lose = call == "commit" && first;
            first = first && !lose;
            return lose ? memory_store::fault::lose_answer
                        : memory_store::fault::none;
        });
    EXPECT_EQ(m_jobs.submit(request(), job()), std::nullopt);
    EXPECT_EQ(stored_jobs(), 1u);
}

// The lost commit may still take effect, so a later refusal proves nothing.
TEST_F(job_service_test, an_unknown_outcome_is_never_a_refusal)
{
    int commits = 0;
    m_store.set_fault_hook(
        [&commits](const std::string& call)
        {
            if (call != "commit")
            {
                return memory_store::fault::none;
            }
            return commits++ == 0 ? memory_store::fault::lose_call
                                  : memory_store::fault::refuse;
        });
    EXPECT_EQ(m_jobs.submit(request(), job()), refusal::unknown);
}

TEST_F(job_service_test, an_unknown_key_is_refused)
{
    EXPECT_EQ(m_jobs.submit(request("other"), job()), refusal::unknown_key);
}

// The key is checked against the configuration that the store holds at the time
// of the write, even if the cached one is outdated.
TEST_F(job_service_test, a_key_that_was_just_deleted_is_refused)
{
    ASSERT_EQ(m_jobs.submit(request(), job()), std::nullopt);
    m_store.set_fault_hook(
        [](const std::string& call)
        {
            return call == "watch" ? memory_store::fault::refuse
                                   : memory_store::fault::none;
        });
    write_configuration("2 host /queue/ newkey");
    dispatch::job_submission second = job();
    second.m_id = "0000000000000001";
    EXPECT_EQ(m_jobs.submit(request(), second), refusal::unknown_key);
    EXPECT_EQ(stored_jobs(), 1u);
}

// Without the store a process cannot check which keys are still valid.
TEST_F(job_service_test,
       a_process_without_a_connection_to_the_store_stops_serving_keys)
{
    ASSERT_EQ(m_jobs.submit(request(), job()), std::nullopt);
    m_store.set_fault_hook([](const std::string&)
                           { return memory_store::fault::refuse; });
    std::this_thread::sleep_for(std::chrono::milliseconds(3300));
    EXPECT_EQ(m_jobs.state(request(), job().m_id),
              service_result<dispatch::job_state>(refusal::unavailable));
}

TEST_F(job_service_test, an_unknown_job_is_reported_as_unknown)
{
    EXPECT_EQ(m_jobs.state(request(), "0000000000000009"),
              service_result<dispatch::job_state>(refusal::unknown_job));
    EXPECT_EQ(m_jobs.cancel(request(), "0000000000000009"),
              refusal::unknown_job);
}

// Guards against an accepted job that is reported as absent (410).
TEST_F(job_service_test, a_job_whose_record_cannot_be_read_is_not_unknown)
{
    ASSERT_EQ(m_jobs.submit(request(), job()), std::nullopt);
    damage_progress();
    EXPECT_EQ(m_jobs.state(request(), job().m_id),
              service_result<dispatch::job_state>(refusal::unreadable));
    EXPECT_EQ(m_jobs.cancel(request(), job().m_id), refusal::unreadable);
}

TEST_F(job_service_test, a_cancellation_is_stored_before_it_is_acknowledged)
{
    ASSERT_EQ(m_jobs.submit(request(), job()), std::nullopt);
    EXPECT_EQ(m_jobs.cancel(request(), job().m_id), std::nullopt);
    EXPECT_EQ(m_jobs.cancel(request(), job().m_id), std::nullopt);
    EXPECT_TRUE(std::get<0>(
        m_store.read(record_keys::cancellation(job().m_id), span(1))));
}

// Guards against a job that starts after its cancellation was answered, as its
// submission lay unread at a process that stood still; so do the tests up to
// the next comment.
TEST_F(job_service_test, a_submission_after_its_cancellation_is_refused)
{
    ASSERT_EQ(m_jobs.cancel(request(), job().m_id), refusal::unknown_job);
    EXPECT_EQ(m_jobs.submit(request(), job()), refusal::cancelled);
    EXPECT_EQ(m_jobs.submit(request(), job()), refusal::cancelled);
    EXPECT_EQ(stored_jobs(), 0u);
    EXPECT_EQ(m_jobs.state(request(), job().m_id),
              service_result<dispatch::job_state>(refusal::unknown_job));
    EXPECT_EQ(m_jobs.cancel(request(), job().m_id), refusal::unknown_job);
}

TEST_F(job_service_test, a_submission_that_is_cancelled_before_its_commit_fails)
{
    failing_store store(m_store);
    job_service jobs(store, m_configuration, m_log);
    store.m_before_commit = [this]
    { EXPECT_EQ(m_jobs.cancel(request(), job().m_id), refusal::unknown_job); };
    EXPECT_EQ(jobs.submit(patient_request(), job()), refusal::cancelled);
    EXPECT_EQ(stored_jobs(), 0u);
}

TEST_F(job_service_test,
       a_commit_that_takes_effect_late_is_refused_by_the_store)
{
    late_commit_store store(m_store);
    job_service jobs(store, m_configuration, m_log);
    ASSERT_TRUE(m_configuration.confirmed(span(0), span(500)));
    EXPECT_EQ(jobs.submit(request(), job()), refusal::unknown);
    ASSERT_EQ(m_jobs.cancel(request(), job().m_id), refusal::unknown_job);
    const auto late = store.carry_out();
    EXPECT_TRUE(std::holds_alternative<store_conflict>(std::get<0>(late)));
    EXPECT_EQ(stored_jobs(), 0u);
}

// Guards against a job that is accepted while it is cancelled, and whose caller
// is told that it does not exist.
TEST_F(job_service_test, a_job_that_is_accepted_meanwhile_is_cancelled)
{
    failing_store store(m_store);
    job_service jobs(store, m_configuration, m_log);
    store.m_before_commit = [this, first = true]() mutable
    {
        if (std::exchange(first, false))
        {
            EXPECT_EQ(m_jobs.submit(request(), job()), std::nullopt);
        }
    };
    EXPECT_EQ(jobs.cancel(patient_request(), job().m_id), std::nullopt);
    EXPECT_EQ(store.m_commits, 2);
    EXPECT_TRUE(std::get<0>(
        m_store.read(record_keys::cancellation(job().m_id), span(1))));
}

// A copy of an accepted submission that comes after the cancellation is the
// same job, and a copy after a lost answer is not refused.
TEST_F(job_service_test, a_copy_of_a_cancelled_job_remains_this_job)
{
    ASSERT_EQ(m_jobs.submit(request(), job()), std::nullopt);
    ASSERT_EQ(m_jobs.cancel(request(), job().m_id), std::nullopt);
    EXPECT_EQ(m_jobs.submit(request(), job()), std::nullopt);
    EXPECT_EQ(stored_jobs(), 1u);
}

// Guards against a submission that is stored for a caller that has given up, as
// the process stood still between the check of its deadline and the commit.
TEST_F(job_service_test, nothing_is_stored_after_the_deadline)
{
    failing_store store(m_store);
    job_service jobs(store, m_configuration, m_log);
    ASSERT_TRUE(m_configuration.confirmed(span(0), span(500)));
    caller_request late = request();
    late.m_deadline = boottime_now() - span(1);
    EXPECT_EQ(jobs.submit(late, job()), refusal::unavailable);
    EXPECT_EQ(store.m_commits, 0);
}

// Guards against cancellations of unknown ids that cost the store more than one
// read and one write each.
TEST_F(job_service_test, a_cancellation_of_an_unknown_id_is_one_read_and_write)
{
    constexpr int cancellations = 20;
    failing_store store(m_store);
    job_service jobs(store, m_configuration, m_log);
    ASSERT_TRUE(m_configuration.confirmed(span(0), span(500)));
    for (int index = 0; index < cancellations; ++index)
    {
        EXPECT_EQ(jobs.cancel(request(),
                              "00000000000000" + std::to_string(index + 10)),
                  refusal::unknown_job);
    }
    EXPECT_EQ(store.m_commits, cancellations);
    EXPECT_EQ(store.m_reads, cancellations);
}

// Guards against a caller without an answer after one refused call to the store
// that a second call would have mended; so do the tests up to the next comment.
TEST_F(job_service_test, a_refused_read_does_not_fail_a_status_call)
{
    ASSERT_EQ(m_jobs.submit(request(), job()), std::nullopt);
    refuse_once("read");
    EXPECT_EQ(m_jobs.state(patient_request(), job().m_id),
              service_result<dispatch::job_state>(dispatch::job_state::queued));
}

TEST_F(job_service_test, a_refused_read_does_not_fail_a_cancellation)
{
    ASSERT_EQ(m_jobs.submit(request(), job()), std::nullopt);
    refuse_once("read");
    EXPECT_EQ(m_jobs.cancel(patient_request(), job().m_id), std::nullopt);
}

TEST_F(job_service_test, a_refused_commit_does_not_fail_a_cancellation)
{
    ASSERT_EQ(m_jobs.submit(request(), job()), std::nullopt);
    refuse_once("commit");
    EXPECT_EQ(m_jobs.cancel(patient_request(), job().m_id), std::nullopt);
}

TEST_F(job_service_test, a_refused_commit_does_not_fail_a_submission)
{
    refuse_once("commit");
    EXPECT_EQ(m_jobs.submit(patient_request(), job()), std::nullopt);
    EXPECT_EQ(stored_jobs(), 1u);
}

TEST_F(job_service_test, a_refused_read_does_not_fail_the_count)
{
    refuse_once("read");
    EXPECT_EQ(m_jobs.waiting_job_count(patient_request()),
              service_result<int>(0));
}

TEST_F(job_service_test, a_refused_read_does_not_fail_the_check_of_a_key)
{
    m_store.set_fault_hook(
        [refused = false](const std::string& call) mutable
        {
            const bool refuse = call != "read" || !refused;
            refused = refused || call == "read";
            return refuse ? memory_store::fault::refuse
                          : memory_store::fault::none;
        });
    configuration_view unread(m_store, m_records, m_log);
    job_service jobs(m_store, unread, m_log);
    EXPECT_EQ(jobs.authorize(patient_request()).index(), 0u);
}

// Guards against a status call that waits on one broken connection.
TEST_F(job_service_test, an_unanswered_read_does_not_fail_a_status_call)
{
    failing_store store(m_store);
    job_service jobs(store, m_configuration, m_log);
    ASSERT_EQ(jobs.submit(request(), job()), std::nullopt);
    store.m_silent_reads = 1;
    EXPECT_EQ(jobs.state(patient_request(), job().m_id),
              service_result<dispatch::job_state>(dispatch::job_state::queued));
}

// Guards against a slow store whose answers are all given up.
TEST_F(job_service_test, a_store_that_answers_after_a_second_gives_the_status)
{
    failing_store store(m_store);
    job_service jobs(store, m_configuration, m_log);
    ASSERT_EQ(jobs.submit(request(), job()), std::nullopt);
    store.m_latency_ms = 1000;
    EXPECT_EQ(jobs.state(patient_request(), job().m_id),
              service_result<dispatch::job_state>(dispatch::job_state::queued));
}

// Guards against answers that come too late without a line that tells whether
// the configuration, the record or the wait for a thread took the time.
TEST_F(job_service_test, a_late_status_is_logged_with_what_it_waited_for)
{
    failing_store store(m_store);
    job_service jobs(store, m_configuration, m_log);
    ASSERT_EQ(jobs.submit(request(), job()), std::nullopt);
    store.m_latency_ms = 600;
    captured_output output;
    EXPECT_EQ(jobs.state(patient_request(), job().m_id).index(), 0u);
    m_log.flush();
    const std::string text = output.read_all();
    output.restore();
    EXPECT_NE(text.find("\"event\":\"status_given_late\""), std::string::npos);
    for (const char* field : {"confirmation_ms", "read_ms", "expected_read_ms",
                              "waited_ms", "took_ms", "left_ms"})
    {
        EXPECT_NE(text.find("\"" + std::string(field) + "\":"),
                  std::string::npos)
            << field;
    }
}

// Guards against status calls that each give up a slow answer and ask again.
TEST_F(job_service_test, a_slow_store_is_read_once_for_a_status_call)
{
    failing_store store(m_store);
    job_service jobs(store, m_configuration, m_log);
    ASSERT_EQ(jobs.submit(request(), job()), std::nullopt);
    store.m_latency_ms = 600;
    ASSERT_EQ(jobs.state(patient_request(), job().m_id).index(), 0u);
    store.m_reads = 0;
    EXPECT_EQ(jobs.state(patient_request(), job().m_id),
              service_result<dispatch::job_state>(dispatch::job_state::queued));
    EXPECT_EQ(store.m_reads, 1);
}

// Guards against reads that are given up too soon although the confirmation of
// the configuration has shown how long the store takes.
TEST_F(job_service_test, a_slow_confirmation_teaches_the_time_of_reads)
{
    failing_store store(m_store);
    configuration_view configuration(store, m_records, m_log);
    job_service jobs(store, configuration, m_log);
    ASSERT_EQ(m_jobs.submit(request(), job()), std::nullopt);
    ASSERT_TRUE(eventually([&] { return configuration.current() != nullptr; }));
    store.m_latency_ms = 600;
    m_store.set_fault_hook(
        [](const std::string& call)
        {
            return call == "watch" || call == "list"
                       ? memory_store::fault::refuse
                       : memory_store::fault::none;
        });
    std::this_thread::sleep_for(std::chrono::milliseconds(3500));
    ASSERT_EQ(jobs.authorize(patient_request()).index(), 0u);
    store.m_reads = 0;
    EXPECT_EQ(jobs.state(patient_request(), job().m_id).index(), 0u);
    EXPECT_EQ(store.m_reads, 1);
}

// Guards against a caller that is held until its deadline, too late to ask
// another instance.
TEST_F(job_service_test, a_silent_store_is_reported_while_time_is_left)
{
    failing_store store(m_store);
    job_service jobs(store, m_configuration, m_log);
    ASSERT_TRUE(m_configuration.confirmed(span(0), span(500)));
    store.m_silent_reads = 100;
    const instant began = boottime_now();
    EXPECT_EQ(jobs.state(patient_request(), job().m_id),
              service_result<dispatch::job_state>(refusal::unavailable));
    EXPECT_LT(boottime_now() - began, patience * 2 / 3);
}

// Guards against retries that flood a store that refuses everyone, and that
// hold all threads.
TEST_F(job_service_test, retries_of_many_callers_are_bounded)
{
    constexpr int callers = 9;
    failing_store store(m_store);
    job_service jobs(store, m_configuration, m_log);
    ASSERT_TRUE(m_configuration.confirmed(span(0), span(500)));
    store.m_refuses_reads = true;
    const instant began = boottime_now();
    std::atomic<int> soon = 0;
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int index = 0; index < callers; ++index)
    {
        threads.emplace_back(
            [&]
            {
                EXPECT_EQ(
                    jobs.state(patient_request(), job().m_id),
                    service_result<dispatch::job_state>(refusal::unavailable));
                if (boottime_now() - began < span(500))
                {
                    ++soon;
                }
            });
    }
    for (std::thread& each : threads)
    {
        each.join();
    }
    EXPECT_LT(boottime_now() - began, patience / 2);
    EXPECT_GE(soon, callers / 2);
    EXPECT_GT(store.m_reads, callers);
    EXPECT_LE(store.m_reads, 4 * callers);
}

// Guards against a caller whose commits all conflict with the configuration and
// are repeated without a pause; so do the tests up to the next comment.
TEST_F(job_service_test, an_unreadable_configuration_does_not_flood_the_store)
{
    constexpr int most_commits = 5;
    ASSERT_TRUE(m_configuration.confirmed(span(0), span(500)));
    write_configuration("unreadable");
    std::atomic<int> commits = 0;
    m_store.set_fault_hook(
        [&commits](const std::string& call)
        {
            commits += call == "commit" ? 1 : 0;
            return memory_store::fault::none;
        });
    EXPECT_EQ(m_jobs.submit(patient_request(), job()), refusal::unavailable);
    m_store.set_fault_hook(nullptr);
    EXPECT_LE(commits, most_commits);
}

TEST_F(job_service_test, a_missing_configuration_does_not_flood_the_store)
{
    failing_store store(m_store);
    job_service jobs(store, m_configuration, m_log);
    ASSERT_TRUE(m_configuration.confirmed(span(0), span(500)));
    store_transaction removal;
    removal.m_removals = {m_configuration.key()};
    m_writer.commit(removal, span(100));
    EXPECT_EQ(jobs.submit(patient_request(), job()), refusal::unavailable);
    EXPECT_EQ(store.m_commits, 1);
    EXPECT_EQ(stored_jobs(), 0u);
}

TEST_F(job_service_test, a_configuration_that_keeps_changing_does_not_flood)
{
    constexpr int most_commits = 10;
    failing_store store(m_store);
    job_service jobs(store, m_configuration, m_log);
    ASSERT_TRUE(m_configuration.confirmed(span(0), span(500)));
    store.m_before_commit = [this, version = 1]() mutable
    { write_configuration(std::to_string(++version) + " host /queue/ key"); };
    EXPECT_EQ(jobs.submit(patient_request(), job()), refusal::unavailable);
    EXPECT_LE(store.m_commits, most_commits);
    EXPECT_GT(store.m_commits, 2);
    EXPECT_EQ(stored_jobs(), 0u);
}

// A change of the configuration costs a caller no pause. The quickest of some
// submissions counts, as a busy machine delays single ones.
TEST_F(job_service_test, a_configuration_that_changes_once_delays_nobody)
{
    constexpr span shortest_pause = span(30);
    constexpr int submissions = 5;
    failing_store store(m_store);
    job_service jobs(store, m_configuration, m_log);
    ASSERT_TRUE(m_configuration.confirmed(span(0), span(500)));
    store.m_before_commit = [this, commits = 0]() mutable
    {
        if (++commits % 2 == 1)
        {
            write_configuration(std::to_string(commits + 1) +
                                " host /queue/ key");
        }
    };
    span quickest = patience;
    for (int index = 0; index < submissions; ++index)
    {
        dispatch::job_submission next = job();
        next.m_id = "000000000000000" + std::to_string(index);
        const instant began = boottime_now();
        EXPECT_EQ(jobs.submit(patient_request(), next), std::nullopt);
        quickest = std::min(quickest, boottime_now() - began);
    }
    EXPECT_LT(quickest, shortest_pause);
    EXPECT_EQ(store.m_commits, 2 * submissions);
}

// The outcome of an earlier commit of the same request stays unknown.
TEST_F(job_service_test, an_unreadable_configuration_hides_no_unknown_outcome)
{
    failing_store store(m_store);
    job_service jobs(store, m_configuration, m_log);
    ASSERT_TRUE(m_configuration.confirmed(span(0), span(500)));
    m_store.set_fault_hook(
        [first = true](const std::string& call) mutable
        {
            const bool lose = call == "commit" && first;
            first = first && !lose;
            return lose ? memory_store::fault::lose_call
                        : memory_store::fault::none;
        });
    store.m_before_commit = [this, commits = 0]() mutable
    {
        if (++commits == 2)
        {
            write_configuration("unreadable");
        }
    };
    EXPECT_EQ(jobs.submit(patient_request(), job()), refusal::unknown);
    EXPECT_EQ(store.m_commits, 2);
}

// While no scheduler publishes the count, it is computed from the records.
TEST_F(job_service_test, waiting_jobs_are_counted_without_a_scheduler)
{
    ASSERT_EQ(m_jobs.submit(request(), job()), std::nullopt);
    caller_request list = request();
    list.m_path = "/queue/";
    EXPECT_EQ(m_jobs.waiting_job_count(list), service_result<int>(1));
}

TEST_F(job_service_test, a_configuration_never_goes_back)
{
    ASSERT_TRUE(m_configuration.confirmed(span(0), span(500)));
    write_configuration("7 host /queue/ key");
    ASSERT_TRUE(eventually(
        [&]
        { return m_configuration.current()->m_configuration.m_version == 7; }));
    m_configuration.adopt({"configuration", "3 host /queue/ key", 1},
                          boottime_now());
    EXPECT_EQ(m_configuration.current()->m_configuration.m_version, 7);
}

// Guards against a process that is paused while an answer of the store waits to
// be read, and then takes the answer for new: a key that was deleted meanwhile
// would be accepted.
TEST_F(job_service_test, a_configuration_that_is_read_late_is_confirmed_anew)
{
    slow_store slow(m_store);
    const configuration_view late(slow, m_records, m_log);
    ASSERT_TRUE(eventually([&] { return late.current() != nullptr; }));
    EXPECT_GE(boottime_now() - late.confirmed_at(), slow_store::delay);
}

} // namespace kingcuprudder::node

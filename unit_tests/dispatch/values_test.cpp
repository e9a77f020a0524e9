#include <kingcuprudder/codec/dispatch_codec.hpp>
#include <kingcuprudder/dispatch/duration_model.hpp>
#include <kingcuprudder/dispatch/job_table.hpp>
#include <kingcuprudder/dispatch/service_configuration.hpp>
#include <kingcuprudder/dispatch/task_ref.hpp>

#include <gtest/gtest.h>

#include <cmath>

namespace kingcuprudder::dispatch
{

namespace
{

bool take_all(const std::string&, bool)
{
    return true;
}

} // namespace

TEST(task_ref, its_text_can_be_read_back)
{
    const task_ref ref{"5c0e7a21d94b36f8", 2, 1, 17};
    EXPECT_EQ(ref.str(), "5c0e7a21d94b36f8.2.1.17");
    EXPECT_EQ(task_ref::parse(ref.str()), ref);
}

TEST(task_ref, other_text_is_refused)
{
    for (const char* text :
         {"", "a", "a.1", "a.1.2", ".1.2.3", "a.1.2.x", "a.1.2.-3", "a.1.2."})
    {
        EXPECT_FALSE(task_ref::parse(text)) << text;
    }
}

TEST(service_configuration, the_longest_prefix_selects_the_queue)
{
    service_configuration configuration;
    configuration.m_queues = {{"short", "host", "/a/", {}, false},
                              {"long", "host", "/a/b/", {}, false},
                              {"other", "elsewhere", "/a/b/c/", {}, false}};
    EXPECT_EQ(configuration.find_queue("host", "/a/b/c/1")->m_name, "long");
    EXPECT_EQ(configuration.find_queue("host", "/a/1")->m_name, "short");
    EXPECT_EQ(configuration.find_queue("host", "/b/1"), nullptr);
}

TEST(dispatch_codec, a_submission_can_be_read_back)
{
    job_submission job;
    job.m_id = "5c0e7a21d94b36f8";
    job.m_account = "account";
    job.m_queue = "queue";
    job.m_policy = {"pool", 1, 3, 1.5, span(250), true};
    job.m_spec = "text with \"quotes\"";
    job_step step;
    step.m_count = 4;
    step.m_demand = {500, 256, 1};
    step.m_depends_on = {0};
    step.m_gang = true;
    step.m_same_rack = true;
    step.m_data_rack = "r1-3";
    job.m_steps = {job_step{1, {1, 2, 3}, span(4)}, step};
    job.m_repeats = 2;
    job.m_first_due = instant(1000);
    job.m_interval = span(50);
    job.m_accepted_at = instant(900);
    EXPECT_EQ(decode_submission(encode_submission(job)), job);
}

// Guards against a retention that begins anew, as the time of the end is lost.
TEST(dispatch_codec, the_time_of_the_end_can_be_read_back)
{
    job_progress progress;
    progress.m_state = job_state::completed;
    progress.m_account = "account";
    const instant ended_at(1'700'000'000'000);
    const std::string text = encode_ended_progress(progress, ended_at);
    EXPECT_EQ(decode_end_time(text), ended_at);
    EXPECT_EQ(decode_progress(text), progress);
    EXPECT_FALSE(decode_end_time(encode_progress(progress)));
    for (const char* unreadable : {"", "7", "[]", R"({"ended_at_ms":"x"})"})
    {
        EXPECT_FALSE(decode_end_time(unreadable)) << unreadable;
    }
}

// Guards against a cancelled id whose retention is not known, and against the
// cancellation of a job that is taken for one without a job.
TEST(dispatch_codec, the_time_of_a_cancellation_without_a_job_can_be_read_back)
{
    const instant cancelled_at(1'700'000'000'000);
    EXPECT_EQ(
        decode_absence_time(encode_cancellation_of_absent_job(cancelled_at)),
        cancelled_at);
    EXPECT_FALSE(decode_absence_time(encode_cancellation()));
}

TEST(dispatch_codec, progress_can_be_read_back)
{
    job_progress progress;
    progress.m_state = job_state::running;
    progress.m_account = "account";
    progress.m_tasks = {
        {{task_progress(), task_progress{false, 3, "w", 100, {1, 2}, "mark"}}}};
    EXPECT_EQ(decode_progress(encode_progress(progress)), progress);
}

TEST(dispatch_codec, the_address_of_a_tasks_worker_can_be_read_back)
{
    task_progress plain{false, 3, "w", 100, {}, ""};
    plain.m_worker_address = "10.0.0.1:1";
    task_progress suspected = plain;
    suspected.m_crashes = {1, 2, 3};
    job_progress progress;
    progress.m_state = job_state::running;
    progress.m_tasks = {{{plain, suspected}}};
    EXPECT_EQ(decode_progress(encode_progress(progress)), progress);
}

TEST(dispatch_codec, damaged_records_are_refused)
{
    for (const char* text : {"", "{", "[]", "{\"state\":\"lost\"}", "7"})
    {
        EXPECT_FALSE(decode_progress(text)) << text;
        EXPECT_FALSE(decode_submission(text)) << text;
        EXPECT_FALSE(decode_summary(text)) << text;
    }
}

// Guards against a job that is taken for new, and run again, because a part of
// its progress is missing or has another type.
TEST(dispatch_codec, progress_without_readable_tasks_is_refused)
{
    const std::string begin = R"({"account":"a","state":"running")";
    for (const char* tasks :
         {"", R"(,"tasks":null)", R"(,"tasks":7)", R"(,"tasks":{})",
          R"(,"tasks":[7])", R"(,"tasks":[[7]])", R"(,"tasks":[[[7]]])",
          R"(,"tasks":[[[-1]]])", R"(,"tasks":[[["1"]]])"})
    {
        EXPECT_FALSE(decode_progress(begin + tasks + "}")) << tasks;
    }
    EXPECT_TRUE(decode_progress(begin + R"(,"tasks":[[[1,0]]]})"));
}

// The store rejects a transaction that exceeds its maximum number of entries.
TEST(job_table, the_writes_stay_within_the_entries_of_a_transaction)
{
    job_table table;
    for (int index = 0; index < 20; ++index)
    {
        job_submission job;
        job.m_id = "job" + std::to_string(index);
        job.m_steps = {job_step{1, {}, span(1)}};
        table.mark_changed(table.add(job, std::nullopt, 1, instant()));
    }
    EXPECT_EQ(table.take_writes(31, take_all).size(), 15u);
    EXPECT_EQ(table.take_writes(31, take_all).size(), 5u);
    EXPECT_FALSE(table.has_writes());
}

// Under full load a record waited 26 s because jobs that changed repeatedly
// were stored first when their ids sorted before its own.
TEST(job_table, a_record_is_not_overtaken_by_jobs_that_change_again)
{
    job_table table;
    for (const char* id : {"c", "a", "b"})
    {
        job_submission job;
        job.m_id = id;
        job.m_steps = {job_step{1, {}, span(1)}};
        table.mark_changed(table.add(job, std::nullopt, 1, instant()));
    }
    const auto take_one = [&table]
    { return table.take_writes(2, take_all).at(0).m_job; };
    EXPECT_EQ(take_one(), "c");
    table.mark_changed(*table.find("c"));
    EXPECT_EQ(take_one(), "a");
    table.write_failed("a");
    EXPECT_EQ(take_one(), "b");
    EXPECT_EQ(take_one(), "c");
    EXPECT_EQ(take_one(), "a");
    EXPECT_FALSE(table.has_writes());
}

// Declared times with errors of up to 90% made jobs appear late or early.
TEST(duration_model, a_poor_declaration_is_outweighed_by_history)
{
    duration_model model;
    for (int index = 0; index < 100; ++index)
    {
        const double off = index % 2 == 0 ? 0.2 : 1.8;
        model.observe("queue", span(static_cast<std::int64_t>(8000 * off)),
                      span(7500 + index * 10));
    }
    EXPECT_NEAR(static_cast<double>(model.predict("queue", span(800)).count()),
                8000, 1000);
}

TEST(duration_model, a_good_declaration_is_kept)
{
    duration_model model;
    for (int index = 1; index < 100; ++index)
    {
        model.observe("queue", span(index * 100), span(index * 101));
    }
    EXPECT_NEAR(static_cast<double>(model.predict("queue", span(800)).count()),
                800, 60);
    EXPECT_EQ(model.predict("other", span(800)), span(800));
}

} // namespace kingcuprudder::dispatch

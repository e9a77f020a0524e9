#include <kingcuprudder/node/record_batches.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace kingcuprudder::node
{

namespace
{

using names = std::vector<std::string>;

const instant start = instant(1'000'000);
/// Longer than any pause of a record.
constexpr span long_time = span::seconds(60);

/// A queue of records that are written in batches of up to 15.
class record_batches_test : public ::testing::Test
{
protected:
    /// Adds records of the queue to the next batch, in order, and returns those
    /// that it has.
    names next_batch(instant now, bool ended = false)
    {
        constexpr std::size_t most = 15;
        names batch;
        m_batches.begin(now);
        for (const std::string& job : m_waiting)
        {
            if (batch.size() < most && m_batches.add(job, ended))
            {
                batch.push_back(job);
            }
        }
        return batch;
    }

    /// Makes records "0", "1", ... wait.
    void queue_records(int count)
    {
        for (int number = 0; number < count; ++number)
        {
            m_waiting.push_back(std::to_string(number));
        }
    }

    void take_from_queue(const names& batch)
    {
        for (const std::string& job : batch)
        {
            std::erase(m_waiting, job);
        }
    }

    /// Writes batches to a store that refuses those with this record until it
    /// is set aside. Returns the number of transactions.
    int write_until_set_aside(const std::string& bad)
    {
        constexpr int too_many = 100;
        for (int sent = 1; sent < too_many; ++sent)
        {
            const names batch = next_batch(start);
            take_from_queue(batch);
            if (std::find(batch.begin(), batch.end(), bad) == batch.end())
            {
                m_batches.stored();
                continue;
            }
            m_waiting.insert(m_waiting.end(), batch.begin(), batch.end());
            if (!m_batches.refused(start).empty())
            {
                return sent;
            }
        }
        return too_many;
    }

    record_batches m_batches;
    names m_waiting;
};

} // namespace

// Guards against one record that the store never takes and that holds up the
// records of all other jobs.
TEST_F(record_batches_test, a_refused_record_is_found_and_the_others_go_on)
{
    for (const char* bad : {"0", "7", "14"})
    {
        m_batches = record_batches();
        m_waiting.clear();
        queue_records(15);
        constexpr int halvings = 4;
        EXPECT_LE(write_until_set_aside(bad), 1 + 2 * halvings) << bad;
        for (names left = next_batch(start); !left.empty();
             left = next_batch(start))
        {
            m_batches.stored();
            take_from_queue(left);
        }
        EXPECT_EQ(m_waiting, names{bad});
    }
}

TEST_F(record_batches_test, a_record_alone_is_set_aside_with_growing_pauses)
{
    queue_records(1);
    instant now = start;
    span before;
    for (int failures = 1; failures <= 20; ++failures)
    {
        ASSERT_EQ(next_batch(now), m_waiting);
        const auto aside = m_batches.refused(now);
        ASSERT_EQ(aside.size(), 1u);
        EXPECT_EQ(aside[0].m_job, "0");
        EXPECT_EQ(aside[0].m_failures, failures);
        EXPECT_GE(aside[0].m_pause, before);
        EXPECT_LE(aside[0].m_pause, span::seconds(10));
        EXPECT_TRUE(next_batch(now + aside[0].m_pause - span(1)).empty());
        now = now + aside[0].m_pause;
        before = aside[0].m_pause;
    }
}

// Guards against a refused record that brings others under suspicion again.
TEST_F(record_batches_test, a_record_that_is_set_aside_is_written_alone)
{
    queue_records(1);
    next_batch(start);
    m_batches.refused(start);
    m_waiting = {"1", "0", "2"};
    EXPECT_EQ(next_batch(start + long_time), (names{"1", "2"}));
    m_waiting = {"0", "1", "2"};
    EXPECT_EQ(next_batch(start + long_time), (names{"0"}));
    m_batches.stored();
    EXPECT_EQ(next_batch(start + long_time), (names{"0", "1", "2"}));
}

// Guards against a caller who waits for the end of a job whose earlier record
// was refused.
TEST_F(record_batches_test, the_record_of_a_job_that_has_ended_does_not_wait)
{
    queue_records(1);
    next_batch(start);
    m_batches.refused(start);
    EXPECT_TRUE(next_batch(start).empty());
    EXPECT_EQ(next_batch(start, true), (names{"0"}));
    m_batches.refused(start);
    EXPECT_TRUE(next_batch(start, true).empty());
}

// Guards against one record whose conflicts repeat and that holds up all
// others.
TEST_F(record_batches_test, a_record_with_repeated_conflicts_is_set_aside)
{
    queue_records(3);
    EXPECT_EQ(next_batch(start).size(), 3u);
    EXPECT_TRUE(m_batches.conflicted({"1"}, start).empty());
    EXPECT_EQ(next_batch(start).size(), 3u);
    EXPECT_TRUE(m_batches.conflicted({"1"}, start).empty());
    EXPECT_EQ(next_batch(start), (names{"0", "2"}));
    m_batches.stored();
    m_waiting = {"1"};
    EXPECT_EQ(next_batch(start), (names{"1"}));
    ASSERT_EQ(m_batches.conflicted({"1"}, start).size(), 1u);
    EXPECT_TRUE(next_batch(start).empty());
}

// A lost answer leads to one conflict, which shows the new revision.
TEST_F(record_batches_test, a_single_conflict_sets_nothing_aside)
{
    queue_records(3);
    for (int round = 0; round < 10; ++round)
    {
        EXPECT_EQ(next_batch(start).size(), 3u);
        EXPECT_TRUE(m_batches.conflicted({"1"}, start).empty());
        EXPECT_EQ(next_batch(start).size(), 3u);
        m_batches.stored();
    }
}

// Guards against a conflict that names no record and repeats for ever.
TEST_F(record_batches_test, a_conflict_without_a_record_counts_as_a_refusal)
{
    queue_records(2);
    next_batch(start);
    EXPECT_TRUE(m_batches.conflicted({}, start).empty());
    EXPECT_EQ(next_batch(start), (names{"0"}));
    EXPECT_EQ(m_batches.conflicted({}, start).size(), 1u);
    EXPECT_EQ(next_batch(start), (names{"1"}));
}

// Guards against records that are written one by one after an outage.
TEST_F(record_batches_test, an_outage_leaves_the_batches_whole)
{
    queue_records(15);
    for (int failures = 0; failures < 100; ++failures)
    {
        EXPECT_EQ(next_batch(start).size(), 15u);
        m_batches.failed();
    }
}

TEST_F(record_batches_test, a_record_that_cannot_be_sent_is_set_aside_at_once)
{
    queue_records(3);
    EXPECT_EQ(next_batch(start).size(), 3u);
    const set_aside_record aside = m_batches.refuse("1", start);
    EXPECT_EQ(aside.m_job, "1");
    EXPECT_EQ(aside.m_failures, 1);
    m_batches.stored();
    EXPECT_EQ(next_batch(start), (names{"0", "2"}));
}

} // namespace kingcuprudder::node

#include "dispatcher_fixture.hpp"

namespace kingcuprudder::dispatch
{

namespace
{

/// A store that does not take the record of the job "bad".
class refused_record : public dispatcher_fixture
{
protected:
    static constexpr std::size_t enough = 1000;

    /// Stores all records that the store takes, and returns whether there was
    /// another one.
    bool store_others()
    {
        bool refused = false;
        for (const job_write& write : m_dispatcher.take_writes(enough))
        {
            if (write.m_job == "bad")
            {
                m_dispatcher.write_refused("bad", m_now);
                refused = true;
                continue;
            }
            m_dispatcher.write_stored(write.m_job, write.m_version,
                                      ++m_revision);
        }
        return refused;
    }

    /// Plans, stores what the store takes, and returns the jobs that start.
    std::vector<std::string> started_jobs()
    {
        std::vector<std::string> jobs;
        for (int round = 0; round < 3; ++round)
        {
            for (const start_order& order : step().m_starts)
            {
                jobs.push_back(order.m_run.m_task.m_job);
                confirm({order});
            }
            store_others();
        }
        return jobs;
    }
};

} // namespace

// Guards against capacity that is reserved for starts whose record the store
// never takes.
TEST_F(refused_record, a_job_without_a_stored_record_holds_no_capacity)
{
    add_worker("w1");
    accept(job("bad", 1, 8));
    step();
    ASSERT_TRUE(store_others());
    accept(job("good", 1, 8));
    EXPECT_EQ(started_jobs(), std::vector<std::string>{"good"});
}

TEST_F(refused_record, a_job_goes_on_when_its_record_is_stored)
{
    add_worker("w1");
    accept(job("bad", 1, 8));
    step();
    ASSERT_TRUE(store_others());
    EXPECT_TRUE(started_jobs().empty());
    store();
    EXPECT_EQ(start_all().size(), 1u);
}

// Guards against a worker that reports no further ends, as it repeats those
// that follow one that cannot be stored.
TEST_F(refused_record, its_ends_do_not_hold_up_later_ends_of_a_worker)
{
    add_worker("w1");
    accept(job("bad", 1, 1));
    const std::vector<start_order> starts = start_all();
    confirm(starts);
    report("w1", {running(starts.at(0))});
    store();
    report("w1", {}, {ended(1, starts[0], run_outcome::failed)});
    ASSERT_TRUE(store_others());
    report("w1", {}, {{200, "other.0.0.0", 1, run_outcome::done, ""}});
    EXPECT_EQ(acknowledged("w1"), 0);
    report("w1", {}, {{300, "other.0.0.1", 1, run_outcome::done, ""}});
    EXPECT_EQ(acknowledged("w1"), 300);
}

// A completion that is not stored yet must not be discarded by the worker.
TEST_F(refused_record, ends_that_are_being_stored_are_not_acknowledged)
{
    add_worker("w1");
    accept(job("good", 1, 1));
    const std::vector<start_order> starts = start_all();
    confirm(starts);
    report("w1", {}, {ended(1, starts.at(0), run_outcome::done)});
    report("w1", {}, {{300, "other.0.0.0", 1, run_outcome::done, ""}});
    EXPECT_EQ(acknowledged("w1"), 0);
    store();
    EXPECT_EQ(acknowledged("w1"), 300);
}

} // namespace kingcuprudder::dispatch

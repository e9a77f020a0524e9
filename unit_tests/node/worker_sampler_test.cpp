#include <gtest/gtest.h>
#include <soak/worker_sampler.hpp>

namespace kingcuprudder::soak
{

namespace
{

constexpr instant now(100'000);
constexpr dispatch::resources capacity{8000, 8000, 8};

/// A snapshot of one worker with these tasks.
stand_ins::minions_snapshot
snapshot_with(const std::vector<std::string>& running)
{
    stand_ins::minion_snapshot minion;
    minion.m_id = "w";
    minion.m_pool = "pool";
    minion.m_labels = {"a"};
    minion.m_capacity = capacity;
    minion.m_running = running;
    stand_ins::minions_snapshot snapshot;
    snapshot.m_minions = {minion};
    return snapshot;
}

/// Each task occupies one GPU, those of job "wide" two.
worker_sampler make_sampler()
{
    return worker_sampler(
        [](const std::string& task) {
            return dispatch::resources{1000, 100,
                                       task.starts_with("wide.") ? 2 : 1};
        });
}

using present = std::vector<present_task>;

} // namespace

TEST(worker_sampler, the_demand_of_each_task_is_taken_off_the_capacity)
{
    worker_sampler sampler = make_sampler();
    const deployment_sample sample =
        sampler.sample(snapshot_with({"j.0.0.0", "wide.0.0.0"}), now);
    worker_sample expected;
    expected.m_id = "w";
    expected.m_pool = "pool";
    expected.m_labels = {"a"};
    expected.m_capacity = capacity;
    expected.m_free = {6000, 7800, 5};
    EXPECT_EQ(sample.m_workers, std::vector{expected});
    EXPECT_EQ(sample.m_present,
              (present{{"w", "j.0.0.0"}, {"w", "wide.0.0.0"}}));
    EXPECT_EQ(sample.m_at, now);
}

TEST(worker_sampler, a_draining_worker_is_marked)
{
    stand_ins::minions_snapshot snapshot = snapshot_with({});
    snapshot.m_minions[0].m_draining = true;
    EXPECT_TRUE(make_sampler().sample(snapshot, now).m_workers[0].m_draining);
}

TEST(worker_sampler, a_task_that_ended_since_the_last_sample_is_present)
{
    worker_sampler sampler = make_sampler();
    sampler.sample(snapshot_with({"j.0.0.0"}), now);
    EXPECT_EQ(sampler.sample(snapshot_with({}), now).m_present,
              (present{{"", "j.0.0.0"}}));
    EXPECT_EQ(sampler.sample(snapshot_with({}), now).m_present, present{});
}

TEST(worker_sampler, a_run_between_two_samples_is_present)
{
    worker_sampler sampler = make_sampler();
    stand_ins::minions_snapshot snapshot = snapshot_with({"j.0.0.1"});
    snapshot.m_events = {{"j.0.0.0", 1, now, std::nullopt},
                         {"j.0.0.0", 1, now, dispatch::run_outcome::done},
                         {"j.0.0.1", 1, now, std::nullopt}};
    EXPECT_EQ(sampler.sample(snapshot, now).m_present,
              (present{{"w", "j.0.0.1"}, {"", "j.0.0.0"}}));
}

} // namespace kingcuprudder::soak

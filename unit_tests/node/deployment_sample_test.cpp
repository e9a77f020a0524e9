#include <gtest/gtest.h>
#include <soak/deployment_sample.hpp>

namespace kingcuprudder::soak
{

namespace
{

worker_sample make_worker(const std::string& id)
{
    worker_sample worker;
    worker.m_id = id;
    worker.m_pool = "pool";
    worker.m_labels = {"a", "r-0"};
    worker.m_capacity = {8000, 8000, 8};
    worker.m_free = {8000, 8000, 2};
    return worker;
}

waiting_task make_task()
{
    waiting_task task;
    task.m_job = "j";
    task.m_name = "j.0.0.0";
    task.m_pool = "pool";
    task.m_demand = {1000, 1000, 1};
    return task;
}

deployment_sample sample_of(const worker_sample& worker)
{
    deployment_sample sample;
    sample.m_workers = {worker};
    return sample;
}

} // namespace

TEST(deployment_sample, each_resource_limits_the_room)
{
    worker_sample worker = make_worker("w");
    EXPECT_TRUE(fits_twice(make_task(), sample_of(worker)));
    worker.m_free = {1999, 8000, 8};
    EXPECT_FALSE(fits_twice(make_task(), sample_of(worker)));
    worker.m_free = {8000, 1999, 8};
    EXPECT_FALSE(fits_twice(make_task(), sample_of(worker)));
    worker.m_free = {8000, 8000, 1};
    EXPECT_FALSE(fits_twice(make_task(), sample_of(worker)));
    worker.m_free = {2000, 2000, 2};
    EXPECT_TRUE(fits_twice(make_task(), sample_of(worker)));
}

TEST(deployment_sample, free_parts_of_two_workers_are_no_room_for_a_task)
{
    waiting_task task = make_task();
    task.m_demand.m_gpus = 2;
    deployment_sample sample = sample_of(make_worker("w"));
    sample.m_workers.push_back(make_worker("v"));
    EXPECT_TRUE(fits_twice(task, sample));
    sample.m_workers[0].m_free.m_gpus = 1;
    sample.m_workers[1].m_free.m_gpus = 3;
    EXPECT_FALSE(fits_twice(task, sample));
}

TEST(deployment_sample, only_workers_that_may_run_the_task_have_room)
{
    worker_sample worker = make_worker("w");
    waiting_task task = make_task();
    task.m_required_label = "a";
    EXPECT_TRUE(fits_twice(task, sample_of(worker)));
    task.m_required_label = "b";
    EXPECT_FALSE(fits_twice(task, sample_of(worker)));
    task.m_required_label = "";
    worker.m_pool = "other";
    EXPECT_FALSE(fits_twice(task, sample_of(worker)));
    worker = make_worker("w");
    worker.m_draining = true;
    EXPECT_FALSE(fits_twice(task, sample_of(worker)));
}

TEST(deployment_sample, the_limit_of_a_step_on_a_worker_limits_the_room)
{
    waiting_task task = make_task();
    task.m_max_per_worker = 1;
    deployment_sample sample = sample_of(make_worker("w"));
    EXPECT_FALSE(fits_twice(task, sample));
    sample.m_workers.push_back(make_worker("v"));
    EXPECT_TRUE(fits_twice(task, sample));
    sample.m_present = {{"w", "j.0.1.0"}, {"w", "j.1.0.0"}, {"x", "j.0.0.3"}};
    EXPECT_TRUE(fits_twice(task, sample));
    sample.m_present = {{"w", "j.0.0.3"}};
    EXPECT_FALSE(fits_twice(task, sample));
}

TEST(deployment_sample, half_in_use_of_any_resource_is_not_under_half)
{
    worker_sample worker = make_worker("w");
    worker.m_free = {4001, 4001, 5};
    EXPECT_TRUE(is_under_half_used("pool", sample_of(worker)));
    worker.m_free = {4000, 4001, 5};
    EXPECT_FALSE(is_under_half_used("pool", sample_of(worker)));
    worker.m_free = {4001, 4000, 5};
    EXPECT_FALSE(is_under_half_used("pool", sample_of(worker)));
    worker.m_free = {4001, 4001, 4};
    EXPECT_FALSE(is_under_half_used("pool", sample_of(worker)));
}

TEST(deployment_sample, use_of_another_pool_does_not_count)
{
    deployment_sample sample = sample_of(make_worker("w"));
    sample.m_workers[0].m_free.m_gpus = 8;
    sample.m_workers.push_back(make_worker("v"));
    sample.m_workers[1].m_free.m_gpus = 0;
    EXPECT_FALSE(is_under_half_used("pool", sample));
    sample.m_workers[1].m_pool = "other";
    EXPECT_TRUE(is_under_half_used("pool", sample));
}

} // namespace kingcuprudder::soak

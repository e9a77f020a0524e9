#include <kingcuprudder/region/region_state.hpp>

#include <gtest/gtest.h>

namespace kingcuprudder
{
namespace
{

const job_key first{account_id("a"), job_id("j1")};
const job_key second{account_id("a"), job_id("j2")};
const placement on_one_worker{{worker_id("w"), 1, 1}};

job_accepted accept(const job_key& key, std::int64_t at)
{
    job_spec spec;
    spec.m_key = key;
    spec.m_payload = "payload";
    spec.m_deadline = instant(99999);
    return {spec, instant(at)};
}

region_state state_of(const std::vector<log_record>& records)
{
    region_state state;
    for (const log_record& each : records)
    {
        state.apply(each);
    }
    return state;
}

// Guards against a state that differs between a new owner that loads a snapshot
// and one that replays the whole log.
TEST(region_state, snapshot_records_rebuild_the_state)
{
    std::vector<log_record> log{
        epoch_started{3, instance_id("i"), instant(5)},
        accept(first, 10),
        job_placed{first, 1, on_one_worker, instant(11)},
        job_started{first, 1, instant(12)},
        job_stopping{first, 1, stop_reason::task_failed, instant(13)},
        job_released{first,
                     1,
                     stop_reason::task_failed,
                     verdict::may_have_run,
                     span(7),
                     instant(14),
                     {worker_id("w")}},
        accept(second, 15),
        job_placed{first, 2, on_one_worker, instant(16)},
        job_released{first, 2, stop_reason::prepare_failed, verdict::not_run,
                     span(7), instant(17)},
        job_placed{first, 3, on_one_worker, instant(18)},
        job_started{first, 3, instant(19)},
        request_permitted{{account_id("a"), request_id("r")},
                          5,
                          "holder",
                          instant(50),
                          instant(20)},
        worker_set_aside{worker_id("w"), instant(90)},
        worker_restored{worker_id("w")},
        worker_set_aside{worker_id("w"), instant(120)},
        job_placed{second, 1, on_one_worker, instant(21)},
        job_started{second, 1, instant(22)},
        job_stopping{second, 1, stop_reason::reclaimed, instant(23)},
    };
    for (std::size_t length = 1; length <= log.size(); ++length)
    {
        const region_state state = state_of(
            {log.begin(), log.begin() + static_cast<std::ptrdiff_t>(length)});
        EXPECT_EQ(state_of(state.to_records()), state) << length;
    }
    log.emplace_back(job_ended{first, 3, job_outcome::succeeded, verdict::ran,
                               "answer", instant(30)});
    const region_state ended = state_of(log);
    EXPECT_EQ(state_of(ended.to_records()), ended);
    EXPECT_EQ(ended.active().size(), 1U);
}

// Guards against answers that are dropped before their retention time, and
// against a state that grows without bound.
TEST(region_state, ended_jobs_are_kept_for_the_retention_time)
{
    region_state state = state_of(
        {accept(first, 10), job_ended{first, 0, job_outcome::cancelled,
                                      verdict::not_run, "", instant(20)}});
    const instant last = instant(20) + retention_time;
    state.apply(epoch_started{1, instance_id("i"), last});
    EXPECT_NE(state.find_job(first), nullptr);
    state.apply(epoch_started{2, instance_id("i"), last + span(1)});
    EXPECT_EQ(state.find_job(first), nullptr);
}

// Guards against an earlier attempt that may have run being forgotten when a
// later one was released without a run.
TEST(region_state, verdict_of_earlier_attempts_is_kept)
{
    const region_state state = state_of(
        {accept(first, 10), job_placed{first, 1, on_one_worker, instant(11)},
         job_started{first, 1, instant(12)},
         job_released{first, 1, stop_reason::reclaimed, verdict::may_have_run,
                      span(3), instant(13)},
         job_placed{first, 2, on_one_worker, instant(14)},
         job_released{first, 2, stop_reason::prepare_failed, verdict::not_run,
                      span(3), instant(15)}});
    EXPECT_EQ(state.find_job(first)->earlier_verdict(), verdict::may_have_run);
}

} // namespace
} // namespace kingcuprudder

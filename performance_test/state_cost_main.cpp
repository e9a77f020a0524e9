#include <kingcuprudder/codec/codec.hpp>
#include <kingcuprudder/region/region_state.hpp>

#include <iomanip>
#include <iostream>
#include <malloc.h>

// Measures the cost of a region's state at several sizes: heap memory, the
// size of the snapshot in the store and the size of one log entry.

namespace
{

using namespace kingcuprudder;

constexpr std::uint32_t tasks_per_worker = 8;
constexpr std::uint32_t tasks_per_job = 64;
constexpr std::uint32_t ended_jobs_per_day = 340;

/// Allocated bytes of the heap. Unlike resident memory, this does not depend on
/// memory that earlier measurements have freed.
std::size_t heap_bytes()
{
    const struct mallinfo2 heap = ::mallinfo2();
    return heap.uordblks + heap.hblkhd;
}

job_key key_of(std::uint32_t number)
{
    return {account_id("account-" + std::to_string(number % 150)),
            job_id("job-" + std::to_string(number))};
}

job_accepted accepted(std::uint32_t number)
{
    job_spec spec;
    spec.m_key = key_of(number);
    spec.m_class = job_class_id("class");
    spec.m_shape = {tasks_per_job, 1, 1, 1024, proximity::zone};
    spec.m_declared_run_time = span::hours(4);
    spec.m_payload = std::string(200, 'x');
    return {spec, instant(number)};
}

job_placed placed(std::uint32_t number)
{
    job_placed record{key_of(number), 1, {}, instant(number)};
    for (std::uint32_t i = 0; i < tasks_per_job / tasks_per_worker; ++i)
    {
        record.m_placement.push_back(
            {worker_id("worker-" + std::to_string((number + i) % 670)),
             tasks_per_worker, 0xff});
    }
    return record;
}

void apply_running_job(region_state& state, std::uint32_t number)
{
    state.apply(accepted(number));
    state.apply(placed(number));
    state.apply(job_started{key_of(number), 1, instant(number)});
}

void apply_ended_job(region_state& state, std::uint32_t number)
{
    apply_running_job(state, number);
    state.apply(job_ended{key_of(number), 1, job_outcome::succeeded,
                          verdict::ran, std::string(200, 'x'),
                          instant(number)});
}

std::size_t snapshot_bytes(const region_state& state)
{
    log_entry entry;
    entry.m_records = state.to_records();
    return to_cbor(entry).size();
}

void measure(std::uint32_t running_tasks)
{
    const std::size_t before = heap_bytes();
    region_state state;
    const std::uint32_t jobs = running_tasks / tasks_per_job;
    for (std::uint32_t i = 0; i < jobs; ++i)
    {
        apply_running_job(state, i);
    }
    for (std::uint32_t i = 0; i < ended_jobs_per_day; ++i)
    {
        apply_ended_job(state, jobs + i);
    }
    const std::size_t after = heap_bytes();
    std::cout << "| " << std::setw(13) << running_tasks << " | "
              << std::setw(12) << jobs << " | " << std::setw(9)
              << ended_jobs_per_day << " | " << std::setw(12)
              << (after - before) / 1024 << " | " << std::setw(12)
              << snapshot_bytes(state) / 1024 << " |\n";
}

} // namespace

int main()
{
    const log_entry entry{1, 1, "0123456789abcdef", {placed(1)}};
    std::cout << "log entry that places a gang of 64 on 8 workers: "
              << to_cbor(entry).size() << " bytes\n\n"
              << "| running tasks | running jobs | ended jobs | heap KB | "
                 "snapshot KB |\n|---|---|---|---|---|\n";
    for (const std::uint32_t running_tasks : {4333U, 13000U, 52000U, 208000U})
    {
        measure(running_tasks);
    }
    return 0;
}

#include <kingcuprudder/dispatch/task_ref.hpp>

#include <soak/deployment_sample.hpp>

#include <algorithm>

namespace kingcuprudder::soak
{

namespace
{

using dispatch::resources;
using dispatch::task_ref;

bool may_run(const waiting_task& task, const worker_sample& worker)
{
    const bool has_label =
        task.m_required_label.empty() ||
        std::find(worker.m_labels.begin(), worker.m_labels.end(),
                  task.m_required_label) != worker.m_labels.end();
    return !worker.m_draining && worker.m_pool == task.m_pool && has_label;
}

/// Returns the name of the step of a task or a gang.
std::string step_name(const waiting_task& task)
{
    const auto parsed = task_ref::parse(task.m_name);
    return parsed ? parsed->step_str() : task.m_name;
}

/// Returns how many more tasks of the step may run on the worker.
std::int64_t step_limit(const waiting_task& task, const worker_sample& worker,
                        const deployment_sample& sample, std::int64_t most)
{
    if (task.m_max_per_worker == 0)
    {
        return most;
    }
    const std::string step = step_name(task);
    const auto present =
        std::count_if(sample.m_present.begin(), sample.m_present.end(),
                      [&](const present_task& each)
                      {
                          const auto parsed = task_ref::parse(each.m_task);
                          return each.m_worker == worker.m_id && parsed &&
                                 parsed->step_str() == step;
                      });
    return std::clamp<std::int64_t>(task.m_max_per_worker - present, 0, most);
}

/// Whether under half of an amount is in use; one that is absent does not
/// matter.
bool is_under_half(std::int64_t capacity, std::int64_t available)
{
    return capacity == 0 || (capacity - available) * 2 < capacity;
}

} // namespace

bool fits_twice(const waiting_task& task, const deployment_sample& sample)
{
    std::int64_t missing = std::int64_t{2} * task.m_tasks;
    for (const worker_sample& worker : sample.m_workers)
    {
        if (may_run(task, worker))
        {
            const std::int64_t most = step_limit(task, worker, sample, missing);
            missing -= worker.m_free.fitting(task.m_demand, most);
        }
        if (missing == 0)
        {
            return true;
        }
    }
    return false;
}

bool is_under_half_used(const std::string& pool,
                        const deployment_sample& sample)
{
    resources capacity;
    resources available;
    for (const worker_sample& worker : sample.m_workers)
    {
        if (worker.m_pool == pool)
        {
            capacity += worker.m_capacity;
            available += worker.m_free;
        }
    }
    return is_under_half(capacity.m_cpu_millis, available.m_cpu_millis) &&
           is_under_half(capacity.m_memory_mb, available.m_memory_mb) &&
           is_under_half(capacity.m_gpus, available.m_gpus);
}

} // namespace kingcuprudder::soak

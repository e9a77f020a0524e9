#include <performance_test/dispatch_load/load_class.hpp>

namespace kingcuprudder::dispatch
{

namespace
{

constexpr double cores_per_gpu = 8;

} // namespace

double core_weight(const resources& demand)
{
    return static_cast<double>(demand.m_cpu_millis) / 1000 +
           cores_per_gpu * static_cast<double>(demand.m_gpus);
}

resources mean_demand(const load_class& kind)
{
    resources demand = kind.m_per_task;
    std::int64_t sum = 0;
    for (const int gpus : kind.m_gpus)
    {
        sum += gpus;
    }
    demand.m_gpus = sum / static_cast<std::int64_t>(kind.m_gpus.size());
    return demand;
}

} // namespace kingcuprudder::dispatch

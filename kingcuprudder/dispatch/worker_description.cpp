#include <kingcuprudder/dispatch/worker_description.hpp>

#include <algorithm>

namespace kingcuprudder::dispatch
{

std::string_view to_string(run_outcome outcome)
{
    switch (outcome)
    {
    case run_outcome::done:
        return "done";
    case run_outcome::failed:
        return "failed";
    case run_outcome::stopped:
        return "stopped";
    case run_outcome::lease_lapsed:
        return "lease_lapsed";
    case run_outcome::gang_broken:
        return "gang_broken";
    case run_outcome::gang_missing:
        return "gang_missing";
    }
    return "unknown";
}

const running_report* worker_report::find(const std::string& task,
                                          int run) const
{
    const auto found =
        std::find_if(m_running.begin(), m_running.end(),
                     [&](const running_report& each)
                     { return each.m_task == task && each.m_run == run; });
    return found == m_running.end() ? nullptr : &*found;
}

} // namespace kingcuprudder::dispatch

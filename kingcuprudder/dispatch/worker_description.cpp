#include <kingcuprudder/dispatch/worker_description.hpp>

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

} // namespace kingcuprudder::dispatch

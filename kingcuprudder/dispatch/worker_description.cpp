#include <kingcuprudder/dispatch/worker_description.hpp>

namespace kingcuprudder::dispatch
{

std::string_view to_string(run_end how)
{
    switch (how)
    {
    case run_end::done:
        return "done";
    case run_end::failed:
        return "failed";
    case run_end::stopped:
        return "stopped";
    case run_end::lease_lapsed:
        return "lease_lapsed";
    case run_end::gang_broken:
        return "gang_broken";
    case run_end::gang_missing:
        return "gang_missing";
    }
    return "unknown";
}

} // namespace kingcuprudder::dispatch

#include <kingcuprudder/region/owner_io.hpp>

namespace kingcuprudder
{

std::string_view to_string(task_state state)
{
    switch (state)
    {
    case task_state::prepared:
        return "prepared";
    case task_state::running:
        return "running";
    case task_state::succeeded:
        return "succeeded";
    case task_state::failed:
        return "failed";
    case task_state::stopped:
        return "stopped";
    }
    return "stopped";
}

std::string_view to_string(job_phase phase)
{
    switch (phase)
    {
    case job_phase::queued:
        return "queued";
    case job_phase::placed:
        return "placed";
    case job_phase::running:
        return "running";
    case job_phase::stopping:
        return "stopping";
    case job_phase::ended:
        return "ended";
    }
    return "ended";
}

} // namespace kingcuprudder

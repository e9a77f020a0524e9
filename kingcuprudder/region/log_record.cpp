#include <kingcuprudder/region/log_record.hpp>

namespace kingcuprudder
{

std::string_view to_string(stop_reason reason)
{
    switch (reason)
    {
    case stop_reason::cancelled:
        return "cancelled";
    case stop_reason::reclaimed:
        return "reclaimed";
    case stop_reason::prepare_failed:
        return "prepare_failed";
    case stop_reason::gang_incomplete:
        return "gang_incomplete";
    case stop_reason::task_failed:
        return "task_failed";
    case stop_reason::deadline_passed:
        return "deadline_passed";
    }
    return "cancelled";
}

std::string_view to_string(job_outcome outcome)
{
    switch (outcome)
    {
    case job_outcome::succeeded:
        return "succeeded";
    case job_outcome::failed:
        return "failed";
    case job_outcome::cancelled:
        return "cancelled";
    case job_outcome::deadline_passed:
        return "deadline_passed";
    }
    return "failed";
}

} // namespace kingcuprudder

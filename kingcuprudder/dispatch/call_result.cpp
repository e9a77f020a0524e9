#include <kingcuprudder/dispatch/call_result.hpp>

namespace kingcuprudder::dispatch
{

bool call_result::shows_ended_process() const
{
    return m_outcome == order_outcome::wrong_incarnation ||
           m_failure == call_failure::connection_closed ||
           m_failure == call_failure::connection_refused;
}

std::string_view to_string(const call_result& result)
{
    switch (result.m_failure)
    {
    case call_failure::none:
        return to_string(result.m_outcome);
    case call_failure::given_up:
        return "given_up";
    case call_failure::connection_refused:
        return "connection_refused";
    case call_failure::connection_closed:
        return "connection_closed";
    case call_failure::unreachable:
        return "unreachable";
    case call_failure::timed_out:
        return "timed_out";
    case call_failure::unreadable_answer:
        return "unreadable_answer";
    }
    return "unknown";
}

} // namespace kingcuprudder::dispatch

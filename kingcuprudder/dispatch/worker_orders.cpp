#include <kingcuprudder/dispatch/worker_orders.hpp>

namespace kingcuprudder::dispatch
{

std::string_view to_string(order_outcome outcome)
{
    switch (outcome)
    {
    case order_outcome::accepted:
        return "accepted";
    case order_outcome::refused_fence:
        return "refused_fence";
    case order_outcome::refused_own_fence:
        return "refused_own_fence";
    case order_outcome::refused_old:
        return "refused_old";
    case order_outcome::refused_late:
        return "refused_late";
    case order_outcome::refused_capacity:
        return "refused_room";
    case order_outcome::refused_ticket:
        return "refused_ticket";
    case order_outcome::refused_busy:
        return "refused_busy";
    case order_outcome::refused_invalid:
        return "refused_invalid";
    case order_outcome::wrong_incarnation:
        return "wrong_incarnation";
    case order_outcome::not_sent:
        return "not_sent";
    case order_outcome::may_have_arrived:
        return "may_have_arrived";
    }
    return "unknown";
}

} // namespace kingcuprudder::dispatch

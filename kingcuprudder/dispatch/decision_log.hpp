#ifndef KINGCUPRUDDER_DISPATCH_DECISION_LOG_HPP
#define KINGCUPRUDDER_DISPATCH_DECISION_LOG_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace kingcuprudder::dispatch
{

/// The named inputs and the outcome of a decision, in order.
using decision_fields = std::vector<std::pair<std::string, std::string>>;

/// Receives each decision: its kind, the request or job it concerns, and its
/// fields.
using decision_log = std::function<void(
    const std::string& event, const std::string& id, decision_fields fields)>;

/// The text of a number in a decision's fields.
inline std::string number(std::int64_t value)
{
    return std::to_string(value);
}

/// The reason with which a run is over whose end the worker reported. That end
/// has a line of its own.
inline const std::string completion_reported = "ended";

} // namespace kingcuprudder::dispatch

#endif

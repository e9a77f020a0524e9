#ifndef KINGCUPRUDDER_DISPATCH_DECISION_LOG_HPP
#define KINGCUPRUDDER_DISPATCH_DECISION_LOG_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace kingcuprudder::dispatch
{

/// The inputs and the outcome of a decision as ordered name-value pairs.
using decision_fields = std::vector<std::pair<std::string, std::string>>;

/// Receives each decision: the event, the job, task or worker that it concerns,
/// and its fields.
using decision_log = std::function<void(
    const std::string& event, const std::string& id, decision_fields fields)>;

/// Converts a number to the text of a decision field.
inline std::string number(std::int64_t value)
{
    return std::to_string(value);
}

} // namespace kingcuprudder::dispatch

#endif

#ifndef KINGCUPRUDDER_TOOLS_KCRCTL_INSTANCE_LIST_HPP
#define KINGCUPRUDDER_TOOLS_KCRCTL_INSTANCE_LIST_HPP

#include "command_line.hpp"
#include <kingcuprudder/topology/worker.hpp>

#include <nlohmann/json.hpp>

#include <vector>

namespace kingcuprudder
{

/// The service name of workers in the instance list.
constexpr const char* worker_service = "workers";

/// Returns the entries of the platform's instance list. Throws command_error.
nlohmann::json read_instances(const command_line& line);

/// Returns the listed workers that are not draining. Throws command_error.
std::vector<worker> read_workers(const command_line& line);

} // namespace kingcuprudder

#endif

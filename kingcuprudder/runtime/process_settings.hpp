#ifndef KINGCUPRUDDER_RUNTIME_PROCESS_SETTINGS_HPP
#define KINGCUPRUDDER_RUNTIME_PROCESS_SETTINGS_HPP

#include <kingcuprudder/base/error.hpp>
#include <kingcuprudder/base/tagged_id.hpp>
#include <kingcuprudder/runtime/logging.hpp>

#include <compare>
#include <string>
#include <string_view>

namespace kingcuprudder
{

/// The settings that a process needs before it can read the store: its identity
/// and the addresses of the other processes. Each address is an IP address and
/// a port.
struct process_settings
{
    instance_id m_instance;
    region_id m_region;
    zone_id m_zone;
    std::string m_stream_address; ///< Listens for internal calls.
    std::string m_http_address;   ///< Listens for callers or workers.
    std::string m_health_address; ///< Listens for health checks.
    std::string m_store_address;
    std::string m_instance_list_address;
    logging_options m_log;

    friend auto operator<=>(const process_settings&,
                            const process_settings&) = default;
};

/// Checks process settings in JSON. Returns error_code::malformed with one
/// line for each problem. All fields but "log" are required.
result<process_settings> parse_process_settings(std::string_view text);

/// Reads and checks a file; the error names the file.
result<process_settings> load_process_settings(const std::string& path);

/// Returns an empty text when `address` is an IP address with a port, otherwise
/// a description of the problem. IPv6 addresses must be in brackets.
std::string address_problem(const std::string& address);

} // namespace kingcuprudder

#endif

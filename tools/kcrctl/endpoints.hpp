#ifndef KINGCUPRUDDER_TOOLS_KCRCTL_ENDPOINTS_HPP
#define KINGCUPRUDDER_TOOLS_KCRCTL_ENDPOINTS_HPP

#include <string>
#include <vector>

namespace kingcuprudder
{

/// Where the processes are that kcrctl talks to. Addresses are an IP number
/// and a port.
struct endpoints
{
    std::string m_region;
    std::vector<std::string> m_entries;    ///< HTTP addresses of kcr_entry.
    std::vector<std::string> m_schedulers; ///< HTTP addresses of kcr_scheduler.
    std::string m_store;
    std::string m_instance_list;

    friend auto operator<=>(const endpoints&, const endpoints&) = default;
};

/// Reads a file with the members region, entries, schedulers, store and
/// instance_list, each of which may be absent. Throws command_error.
endpoints load_endpoints(const std::string& path);

/// Throws command_error when an address is not an IP number and a port.
void check_endpoints(const endpoints& where);

} // namespace kingcuprudder

#endif

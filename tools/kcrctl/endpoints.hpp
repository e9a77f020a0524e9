#ifndef KINGCUPRUDDER_TOOLS_KCRCTL_ENDPOINTS_HPP
#define KINGCUPRUDDER_TOOLS_KCRCTL_ENDPOINTS_HPP

#include <string>
#include <vector>

namespace kingcuprudder
{

/// The region and the addresses of the processes that kcrctl calls, each an IP
/// address with a port.
struct endpoints
{
    std::string m_region;
    std::vector<std::string> m_entries;    ///< HTTP addresses of kcr_entry.
    std::vector<std::string> m_schedulers; ///< HTTP addresses of kcr_scheduler.
    std::string m_store;
    std::string m_instance_list;

    friend auto operator<=>(const endpoints&, const endpoints&) = default;
};

/// Reads a JSON file with the optional members region, entries, schedulers,
/// store and instance_list. Throws command_error if the file is invalid.
endpoints load_endpoints(const std::string& path);

/// Throws command_error if an address is not an IP address with a port.
void check_endpoints(const endpoints& where);

} // namespace kingcuprudder

#endif

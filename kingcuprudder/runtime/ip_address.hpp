#ifndef KINGCUPRUDDER_RUNTIME_IP_ADDRESS_HPP
#define KINGCUPRUDDER_RUNTIME_IP_ADDRESS_HPP

#include <string>

namespace kingcuprudder
{

/// An IP address and a port.
struct ip_address
{
    std::string m_host;
    int m_port = 0;
};

/// Parses "ip:port". Throws std::runtime_error for a malformed text.
ip_address parse_ip_address(const std::string& text);

/// Returns whether the text is "ip:port" and a connection to it can be tried:
/// the host is a numeric IP address, and the port is not 0.
bool is_callable_address(const std::string& text);

} // namespace kingcuprudder

#endif

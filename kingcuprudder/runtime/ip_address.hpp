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

} // namespace kingcuprudder

#endif

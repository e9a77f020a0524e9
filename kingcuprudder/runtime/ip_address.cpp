#include <kingcuprudder/runtime/ip_address.hpp>

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <optional>
#include <stdexcept>

namespace kingcuprudder
{

namespace
{

constexpr int max_port = 65535;

/// Splits "host:port". Returns nothing for a malformed text.
std::optional<ip_address> split_address(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    int port = 0;
    if (colon != std::string::npos)
    {
        const char* first = text.data() + colon + 1;
        const char* last = text.data() + text.size();
        const auto parsed = std::from_chars(first, last, port);
        if (parsed.ec == std::errc() && parsed.ptr == last && colon > 0 &&
            port >= 0 && port <= max_port)
        {
            return ip_address{text.substr(0, colon), port};
        }
    }
    return std::nullopt;
}

} // namespace

ip_address parse_ip_address(const std::string& text)
{
    if (const std::optional<ip_address> address = split_address(text))
    {
        return *address;
    }
    throw std::runtime_error("not an address of the form ip:port: '" + text +
                             "'");
}

bool is_callable_address(const std::string& text)
{
    const std::optional<ip_address> address = split_address(text);
    if (!address || address->m_port == 0)
    {
        return false;
    }
    boost::system::error_code error;
    boost::asio::ip::make_address(address->m_host, error);
    return !error;
}

} // namespace kingcuprudder

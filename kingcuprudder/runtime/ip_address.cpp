#include <kingcuprudder/runtime/ip_address.hpp>

#include <charconv>
#include <stdexcept>

namespace kingcuprudder
{

namespace
{

constexpr int max_port = 65535;

} // namespace

ip_address parse_ip_address(const std::string& text)
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
            return {text.substr(0, colon), port};
        }
    }
    throw std::runtime_error("not an address of the form ip:port: '" + text +
                             "'");
}

} // namespace kingcuprudder

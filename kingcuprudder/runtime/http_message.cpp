#include <kingcuprudder/runtime/http_message.hpp>

namespace kingcuprudder
{

std::string http_request::header(const std::string& name) const
{
    const auto found = m_headers.find(name);
    return found == m_headers.end() ? "" : found->second;
}

} // namespace kingcuprudder

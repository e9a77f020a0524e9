#include <kingcuprudder/runtime/state_dump.hpp>

namespace kingcuprudder
{

void state_dump::add(std::string component, source read)
{
    const std::lock_guard lock(m_mutex);
    m_sources.emplace_back(std::move(component), std::move(read));
}

std::string state_dump::text() const
{
    // Copied, so that a slow source does not block add().
    std::vector<std::pair<std::string, source>> sources;
    {
        const std::lock_guard lock(m_mutex);
        sources = m_sources;
    }
    std::string text;
    for (const auto& [component, read] : sources)
    {
        text += "== " + component + " ==\n" + read();
        if (text.back() != '\n')
        {
            text += '\n';
        }
    }
    return text;
}

} // namespace kingcuprudder

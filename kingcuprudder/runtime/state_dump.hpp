#ifndef KINGCUPRUDDER_RUNTIME_STATE_DUMP_HPP
#define KINGCUPRUDDER_RUNTIME_STATE_DUMP_HPP

#include <functional>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace kingcuprudder
{

/// Collects the state of a process's components as text, for SIGUSR1 and for
/// the path /dump. Safe to use from several threads.
class state_dump
{
public:
    using source = std::function<std::string()>;

    /// Adds a component. The source may be called from any thread.
    void add(std::string component, source read);

    /// Returns the state of all components in the order in which they were
    /// added, each below a line "== component ==".
    std::string text() const;

private:
    mutable std::mutex m_mutex;
    std::vector<std::pair<std::string, source>> m_sources;
};

} // namespace kingcuprudder

#endif

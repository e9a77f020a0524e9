#ifndef KINGCUPRUDDER_SERVICE_ENTRY_INSTANCE_LIST_HPP
#define KINGCUPRUDDER_SERVICE_ENTRY_INSTANCE_LIST_HPP

#include <kingcuprudder/membership/target_table.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kingcuprudder
{

/// Reads the platform's instance list over HTTP.
class entry_instance_list
{
public:
    /// The address is "ip:port".
    explicit entry_instance_list(const std::string& address);
    ~entry_instance_list();
    entry_instance_list(const entry_instance_list&) = delete;
    entry_instance_list& operator=(const entry_instance_list&) = delete;

    /// Returns the targets of all services except the workers, or nullopt if
    /// the list is unchanged or could not be read.
    std::optional<std::vector<listed_target>> poll();

    /// Returns whether the last poll received a valid response.
    bool reachable() const { return m_reachable; }

private:
    class connection;
    std::unique_ptr<connection> m_connection;
    std::uint64_t m_revision = 0;
    bool m_reachable = false;
};

} // namespace kingcuprudder

#endif

#ifndef KINGCUPRUDDER_RUNTIME_CONNECTION_BUDGET_HPP
#define KINGCUPRUDDER_RUNTIME_CONNECTION_BUDGET_HPP

#include <kingcuprudder/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>

namespace kingcuprudder
{

/// What a connection does.
enum class connection_phase
{
    idle,      ///< No request has begun to arrive.
    receiving, ///< A request arrives.
    waiting,   ///< A request waits for a thread, or for its response.
    handling,  ///< A request is known to be handled.
    sending,   ///< A response is sent.
    ending,    ///< It gets or has got its last response.
};

/// What a connection makes the process retain.
struct connection_usage
{
    connection_phase m_phase = connection_phase::idle;
    std::size_t m_bytes = 0;
    /// When its request began to arrive, or since when it is idle or ending.
    instant m_since;

    friend bool operator==(const connection_usage&,
                           const connection_usage&) = default;
};

/// Limits of all connections of a server together.
struct connection_budget_limits
{
    std::size_t m_max_connections = 1500;
    std::size_t m_max_bytes = std::size_t{64} * 1024 * 1024;

    friend bool operator==(const connection_budget_limits&,
                           const connection_budget_limits&) = default;
};

/// Admission control for the connections of a server: decides which of them is
/// dropped when there are too many or when they hold too much. Without I/O.
class connection_budget
{
public:
    using connection_id = std::uint64_t;

    /// A connection that holds no more than this is not dropped for its bytes,
    /// so that an ordinary request does not pay for a large one.
    static constexpr std::size_t ordinary_request_bytes =
        std::size_t{16} * 1024;

    explicit connection_budget(const connection_budget_limits& limits);

    /// Adds a connection or replaces what is known of it.
    void update(connection_id id, const connection_usage& usage);
    void remove(connection_id id);

    /// The bytes of all connections.
    std::size_t held_bytes() const { return m_held_bytes; }
    std::size_t size() const { return m_usages.size(); }

    /// Returns the connection to drop as the bytes are over the budget, or
    /// nothing: the one with the most bytes times the time that it has held
    /// them. A connection that alone exceeds the budget is kept.
    std::optional<connection_id> over_bytes(instant now) const;
    /// Returns the connection to end before a further one is accepted, or
    /// nothing if there is room or no such connection: the one that was idle
    /// longest, else the one whose request has been arriving longest.
    std::optional<connection_id> over_count() const;
    /// Returns whether connections must be closed at once before a further one
    /// is accepted, as too many are still ending.
    bool is_full() const;
    /// Returns the connection to close at once when it is full, or nothing if
    /// all wait for a response: the one that has been ending longest, else the
    /// one that has been sending, receiving or idle longest.
    std::optional<connection_id> longest_unanswered() const;

private:
    std::optional<connection_id>
    oldest(const std::function<bool(const connection_usage&)>& applies) const;
    std::optional<connection_id> oldest(connection_phase phase) const;

    connection_budget_limits m_limits;
    std::unordered_map<connection_id, connection_usage> m_usages;
    std::size_t m_held_bytes = 0;
};

} // namespace kingcuprudder

#endif

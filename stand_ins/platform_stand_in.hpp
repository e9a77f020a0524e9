#ifndef STAND_INS_PLATFORM_STAND_IN_HPP
#define STAND_INS_PLATFORM_STAND_IN_HPP

#include <kingcuprudder/runtime/http_listener.hpp>

#include <stand_ins/memory_store.hpp>
#include <stand_ins/simulated_minions.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace kingcuprudder::stand_ins
{

/// What one page of a list holds at most.
struct list_page_limits
{
    std::size_t m_items = 500;
    /// Bytes of the encoded items.
    std::size_t m_bytes = 1'000'000;

    friend bool operator==(const list_page_limits&,
                           const list_page_limits&) = default;
};

/// The pages of the platform's store.
inline constexpr list_page_limits platform_pages{};
/// Pages with which a short list takes several requests.
inline constexpr list_page_limits small_pages{20, platform_pages.m_bytes};

/// Serves the platform's store and minions over HTTP, with the interfaces of
/// the platform's documentation.
class platform_stand_in
{
public:
    /// Starts the store and the given number of minions on free loopback ports.
    /// The minions hold their runs at most for `max_hold` after an order.
    explicit platform_stand_in(int minions, span max_hold = span(6000),
                               const list_page_limits& pages = small_pages);

    /// Returns the address of the store as "ip:port".
    const std::string& store_address() const;
    memory_store& store() { return m_store; }
    /// Returns how long a call to the store waits before it is carried out, by
    /// the last part of its path, such as "kv-range".
    using delay_hook = std::function<span(const std::string& call)>;
    /// Sets the delays of the calls to the store. An empty function sets none.
    void set_delay_hook(delay_hook hook);
    simulated_minions& minions() { return m_minions; }
    /// Writes the operators' configuration: one queue with priority 1 under /q/
    /// at the host "h.example", and one client account with this key.
    void write_configuration(int version, const std::string& key);

private:
    void install_store(httplib::Server& server);
    void delay(const std::string& path);

    const list_page_limits m_pages;
    std::mutex m_mutex;
    delay_hook m_delay_hook;
    memory_store m_store;
    simulated_minions m_minions;
    std::unique_ptr<http_listener> m_store_listener;
};

} // namespace kingcuprudder::stand_ins

#endif

#ifndef KINGCUPRUDDER_SERVICE_ENTRY_MEMBERSHIP_HPP
#define KINGCUPRUDDER_SERVICE_ENTRY_MEMBERSHIP_HPP

#include <kingcuprudder/request/request_router.hpp>
#include <kingcuprudder/runtime/bounded_ring.hpp>
#include <kingcuprudder/service/entry_minion_calls.hpp>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>

namespace kingcuprudder
{

/// Keeps the targets of a router up to date: polls the instance list every
/// second and probes suspect targets.
class entry_membership
{
public:
    /// `router_mutex` guards the router. `list_address` is "ip:port".
    entry_membership(request_router& router, std::mutex& router_mutex,
                     entry_minion_calls& minions, std::string list_address);
    ~entry_membership();
    entry_membership(const entry_membership&) = delete;
    entry_membership& operator=(const entry_membership&) = delete;

    /// Returns whether the last poll of the list succeeded.
    bool list_reachable() const { return m_list_reachable; }

private:
    void poll_loop();
    void probe_loop();
    void probe(const target_ref& target);

    request_router& m_router;
    std::mutex& m_router_mutex;
    entry_minion_calls& m_minions;
    std::string m_list_address;
    std::atomic<bool> m_list_reachable = false;
    bounded_ring<target_ref> m_due_probes;
    bounded_ring<int> m_end; // Never filled; close() ends the poll loop.
    std::thread m_prober;
    std::thread m_poller;
};

} // namespace kingcuprudder

#endif

#ifndef STAND_INS_PLATFORM_STAND_IN_HPP
#define STAND_INS_PLATFORM_STAND_IN_HPP

#include <kingcuprudder/runtime/http_listener.hpp>

#include <stand_ins/memory_store.hpp>
#include <stand_ins/simulated_minions.hpp>

#include <memory>
#include <string>

namespace kingcuprudder::stand_ins
{

/// The platform's store and its minions over HTTP, as its pages describe them.
class platform_stand_in
{
public:
    /// Serves the store and so many minions on free loopback ports.
    explicit platform_stand_in(int minions);

    /// "ip:port" of the store.
    const std::string& store_address() const;
    memory_store& store() { return m_store; }
    simulated_minions& minions() { return m_minions; }
    /// Writes the operators' configuration: one queue under /q/ at the host
    /// "h.example" for the key, with priority 1.
    void write_configuration(int version, const std::string& key);

private:
    void install_store(httplib::Server& server);

    memory_store m_store;
    simulated_minions m_minions;
    std::unique_ptr<http_listener> m_store_listener;
};

} // namespace kingcuprudder::stand_ins

#endif

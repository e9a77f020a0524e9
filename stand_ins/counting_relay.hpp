#ifndef KINGCUPRUDDER_STAND_INS_COUNTING_RELAY_HPP
#define KINGCUPRUDDER_STAND_INS_COUNTING_RELAY_HPP

#include <cstdint>
#include <memory>
#include <string>

namespace kingcuprudder::stand_ins
{

/// Forwards TCP connections to other addresses and counts the bytes, to measure
/// the traffic of a process.
class counting_relay
{
public:
    counting_relay();
    ~counting_relay();
    counting_relay(const counting_relay&) = delete;
    counting_relay& operator=(const counting_relay&) = delete;

    /// Returns a new loopback address, or listens on the given one; throws
    /// std::runtime_error if it is in use. Its connections are forwarded to the
    /// target "ip:port" and counted under the name.
    std::string add(const std::string& target, const std::string& name,
                    const std::string& address = "127.0.0.1:0");

    /// Returns the sum of the bytes of both directions, without TCP and IP
    /// headers.
    std::uint64_t bytes(const std::string& name) const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder::stand_ins

#endif

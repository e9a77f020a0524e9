#ifndef KINGCUPRUDDER_STAND_INS_COUNTING_RELAY_HPP
#define KINGCUPRUDDER_STAND_INS_COUNTING_RELAY_HPP

#include <cstdint>
#include <memory>
#include <string>

namespace kingcuprudder::stand_ins
{

/// Passes TCP connections on to other addresses and counts their bytes, to
/// measure what a process sends and receives.
class counting_relay
{
public:
    counting_relay();
    ~counting_relay();
    counting_relay(const counting_relay&) = delete;
    counting_relay& operator=(const counting_relay&) = delete;

    /// Returns a new loopback address whose connections are passed on to the
    /// target "ip:port" and counted under the name given.
    std::string add(const std::string& target, const std::string& name);

    /// Bytes of both directions together, without TCP and IP headers.
    std::uint64_t bytes(const std::string& name) const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder::stand_ins

#endif

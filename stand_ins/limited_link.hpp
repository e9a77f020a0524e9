#ifndef STAND_INS_LIMITED_LINK_HPP
#define STAND_INS_LIMITED_LINK_HPP

#include <kingcuprudder/base/time.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace kingcuprudder::stand_ins
{

/// Properties of a limited link.
struct link_limits
{
    /// Bandwidth of each direction in bytes per second, shared by all
    /// connections.
    std::int64_t m_bytes_per_second = 1'250'000;
    /// How long a byte travels after it was sent.
    span m_one_way_delay;
    /// The share of the answers that are lost, from 0 to 1. A connection whose
    /// answer is lost carries requests but no further answer.
    double m_lost_answers = 0;
    /// Seed of the choice of the answers that are lost.
    unsigned m_seed = 1;

    friend bool operator==(const link_limits&, const link_limits&) = default;
};

/// Forwards TCP connections on loopback like a network link with a limited
/// bandwidth, a delay and lost answers. An answer is what the target sends
/// between two pieces that the caller sends.
class limited_link
{
public:
    /// Listens on the address; port 0 selects a free port. Connections are
    /// forwarded to the target "ip:port". Throws boost::system::system_error if
    /// the address is in use.
    explicit limited_link(const std::string& target,
                          const link_limits& limits = {},
                          const std::string& address = "127.0.0.1:0");
    ~limited_link();
    limited_link(const limited_link&) = delete;
    limited_link& operator=(const limited_link&) = delete;

    /// Returns the address that it listens on as "ip:port".
    const std::string& address() const;
    /// Sets the share of the answers that are lost from now on. Connections
    /// that have lost one stay without answers.
    void set_lost_answers(double share);
    /// Returns the bytes that the targets have sent to the callers through the
    /// link.
    std::uint64_t answered_bytes() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder::stand_ins

#endif

#ifndef KINGCUPRUDDER_STAND_INS_FAKE_INSTANCE_LIST_HPP
#define KINGCUPRUDDER_STAND_INS_FAKE_INSTANCE_LIST_HPP

#include <kingcuprudder/base/time.hpp>

#include <memory>
#include <string>

namespace kingcuprudder::stand_ins
{

/// A stand-in for the platform's instance list, which shows each change after
/// a lag.
class fake_instance_list
{
public:
    /// Listens on "ip:port"; port 0 selects a free port.
    explicit fake_instance_list(const std::string& address = "127.0.0.1:0",
                                span lag = span(0));
    ~fake_instance_list();
    fake_instance_list(const fake_instance_list&) = delete;
    fake_instance_list& operator=(const fake_instance_list&) = delete;

    const std::string& address() const;

    /// Adds or replaces instances, given as a JSON array or one object.
    void add(const std::string& instances);

    /// Changes an instance's state to "live", "leaving" or, to remove it,
    /// "gone".
    void set_state(const std::string& id, const std::string& state);

    /// During an outage, requests are answered with status 503.
    void set_outage(bool outage);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder::stand_ins

#endif

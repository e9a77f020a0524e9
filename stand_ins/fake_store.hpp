#ifndef KINGCUPRUDDER_STAND_INS_FAKE_STORE_HPP
#define KINGCUPRUDDER_STAND_INS_FAKE_STORE_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/store/key_value_store.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace kingcuprudder::stand_ins
{

/// What the stand-in store does wrong.
struct store_faults
{
    /// Calls have no effect and get no answer while this lasts.
    bool m_outage = false;
    /// In an outage, answer 503 at once instead of staying silent.
    bool m_refuse = false;
    /// Added before each call takes effect.
    span m_delay;
    /// So many writes take effect while their answers are lost.
    std::uint32_t m_lose_next_write_answers = 0;
};

/// Calls that the stand-in store has taken, also those in an outage.
struct store_counters
{
    std::uint64_t m_gets = 0;
    std::uint64_t m_puts = 0;
    std::uint64_t m_deletes = 0;
    std::uint64_t m_lease_calls = 0;
    std::uint64_t m_watches = 0;
    std::uint64_t m_waiting_watches = 0; ///< Waiting at this moment.
    std::uint64_t m_conflicts = 0;
};

/// Stands in for the platform's key-value store: its HTTP protocol, in
/// memory, with faults on demand.
class fake_store
{
public:
    /// Listens on "ip:port"; port 0 takes a free one.
    explicit fake_store(const std::string& address = "127.0.0.1:0");
    ~fake_store();
    fake_store(const fake_store&) = delete;
    fake_store& operator=(const fake_store&) = delete;

    const std::string& address() const;

    void set_faults(const store_faults& faults);
    store_counters counters() const;

    /// Reads a key directly; revision 0 when it is absent.
    store_value get(const std::string& key);

    /// Writes a key directly, whatever its revision; returns the new one.
    store_revision put(const std::string& key, const std::string& value);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder::stand_ins

#endif

#ifndef KINGCUPRUDDER_STAND_INS_FAKE_STORE_HPP
#define KINGCUPRUDDER_STAND_INS_FAKE_STORE_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/store/key_value_store.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace kingcuprudder::stand_ins
{

/// Faults of the stand-in store.
struct store_faults
{
    /// Calls have no effect and get no response during an outage.
    bool m_outage = false;
    /// Answers calls in an outage with status 503 at once.
    bool m_refuse = false;
    /// The delay before each call takes effect.
    span m_delay;
    /// The number of writes that take effect but whose response is lost.
    std::uint32_t m_lose_next_write_answers = 0;
};

/// The calls that the stand-in store has received, including those during an
/// outage.
struct store_counters
{
    std::uint64_t m_gets = 0;
    std::uint64_t m_puts = 0;
    std::uint64_t m_deletes = 0;
    std::uint64_t m_lease_calls = 0;
    std::uint64_t m_watches = 0;
    std::uint64_t m_waiting_watches = 0; ///< Waiting now.
    std::uint64_t m_conflicts = 0;
};

/// An in-memory stand-in for the platform's key-value store. It implements the
/// HTTP protocol and can inject faults.
class fake_store
{
public:
    /// Listens on "ip:port"; port 0 selects a free port.
    explicit fake_store(const std::string& address = "127.0.0.1:0");
    ~fake_store();
    fake_store(const fake_store&) = delete;
    fake_store& operator=(const fake_store&) = delete;

    const std::string& address() const;

    void set_faults(const store_faults& faults);
    store_counters counters() const;

    /// Reads a key without HTTP; the revision is 0 if the key is absent.
    store_value get(const std::string& key);

    /// Writes a key without HTTP, regardless of its revision. Returns the new
    /// revision.
    store_revision put(const std::string& key, const std::string& value);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder::stand_ins

#endif

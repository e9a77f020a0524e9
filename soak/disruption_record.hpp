#ifndef SOAK_DISRUPTION_RECORD_HPP
#define SOAK_DISRUPTION_RECORD_HPP

#include <kingcuprudder/base/time.hpp>

#include <mutex>

namespace kingcuprudder::soak
{

/// When unplanned disruptions were in progress. Thread-safe.
class disruption_record
{
public:
    /// The contact time is the time after a disruption in which the disruption
    /// may still affect calls.
    explicit disruption_record(span contact_time = span(4000))
        : m_contact_time(contact_time)
    {
    }

    span contact_time() const { return m_contact_time; }
    void begin();
    void end();
    /// Whether no disruption has been in progress since the contact time before
    /// an instant.
    bool is_calm_since(instant at) const;
    /// Whether no disruption has been in progress since an instant.
    bool is_free_since(instant at) const;

private:
    const span m_contact_time;
    mutable std::mutex m_mutex;
    int m_in_progress = 0;
    bool m_any = false;
    instant m_last_end;
};

} // namespace kingcuprudder::soak

#endif

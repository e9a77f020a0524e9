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
    void begin();
    void end();
    /// Whether no disruption has been in progress since the contact time before
    /// an instant.
    bool is_calm_since(instant at) const;
    /// Whether no disruption has been in progress since an instant.
    bool is_free_since(instant at) const;

private:
    mutable std::mutex m_mutex;
    int m_in_progress = 0;
    bool m_any = false;
    instant m_last_end;
};

} // namespace kingcuprudder::soak

#endif

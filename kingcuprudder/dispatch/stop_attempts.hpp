#ifndef KINGCUPRUDDER_DISPATCH_STOP_ATTEMPTS_HPP
#define KINGCUPRUDDER_DISPATCH_STOP_ATTEMPTS_HPP

#include <kingcuprudder/base/time.hpp>

#include <optional>

namespace kingcuprudder::dispatch
{

/// The orders to stop one run that were sent to its worker. They are repeated
/// until a report shows that the run has ended.
class stop_attempts
{
public:
    /// Returns whether the first order, or a repetition, is to be sent.
    bool is_due(instant now) const
    {
        return !m_last_sent_at || now - *m_last_sent_at >= repeat_interval;
    }
    void sent(instant now)
    {
        m_first_sent_at = m_first_sent_at.value_or(now);
        m_last_sent_at = now;
        ++m_count;
    }

    int count() const { return m_count; }
    /// Returns the time since the first order; 0 if none was sent.
    span age(instant now) const { return now - m_first_sent_at.value_or(now); }

    friend bool operator==(const stop_attempts&,
                           const stop_attempts&) = default;

private:
    static constexpr span repeat_interval = span(500);

    std::optional<instant> m_first_sent_at;
    std::optional<instant> m_last_sent_at;
    int m_count = 0;
};

} // namespace kingcuprudder::dispatch

#endif

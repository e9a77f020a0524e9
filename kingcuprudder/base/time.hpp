#ifndef KINGCUPRUDDER_BASE_TIME_HPP
#define KINGCUPRUDDER_BASE_TIME_HPP

#include <compare>
#include <cstdint>

namespace kingcuprudder
{

/// A duration in milliseconds.
class span
{
public:
    constexpr span() = default;
    constexpr explicit span(std::int64_t milliseconds)
        : m_milliseconds(milliseconds)
    {
    }

    static constexpr span seconds(std::int64_t count)
    {
        return span(count * 1000);
    }
    static constexpr span minutes(std::int64_t count)
    {
        return seconds(count * 60);
    }
    static constexpr span hours(std::int64_t count)
    {
        return minutes(count * 60);
    }

    /// The duration in milliseconds.
    constexpr std::int64_t count() const { return m_milliseconds; }

    friend constexpr auto operator<=>(const span&, const span&) = default;
    friend constexpr span operator+(span left, span right)
    {
        return span(left.m_milliseconds + right.m_milliseconds);
    }
    friend constexpr span operator-(span left, span right)
    {
        return span(left.m_milliseconds - right.m_milliseconds);
    }
    friend constexpr span operator*(span left, std::int64_t factor)
    {
        return span(left.m_milliseconds * factor);
    }
    friend constexpr span operator/(span left, std::int64_t divisor)
    {
        return span(left.m_milliseconds / divisor);
    }

private:
    std::int64_t m_milliseconds = 0;
};

/// A point in time, in milliseconds since the epoch of its clock: the Unix
/// epoch for wall times, the boot of the machine for steady times. Code that
/// makes decisions receives instants as values and reads no clock.
class instant
{
public:
    constexpr instant() = default;
    constexpr explicit instant(std::int64_t milliseconds)
        : m_milliseconds(milliseconds)
    {
    }

    /// Milliseconds since the epoch of the clock.
    constexpr std::int64_t count() const { return m_milliseconds; }

    friend constexpr auto operator<=>(const instant&, const instant&) = default;
    friend constexpr instant operator+(instant left, span right)
    {
        return instant(left.m_milliseconds + right.count());
    }
    friend constexpr instant operator-(instant left, span right)
    {
        return instant(left.m_milliseconds - right.count());
    }
    friend constexpr span operator-(instant left, instant right)
    {
        return span(left.m_milliseconds - right.m_milliseconds);
    }

private:
    std::int64_t m_milliseconds = 0;
};

} // namespace kingcuprudder

#endif

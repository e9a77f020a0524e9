#ifndef KINGCUPRUDDER_PLACEMENT_RESERVATION_HPP
#define KINGCUPRUDDER_PLACEMENT_RESERVATION_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/placement/shape_fitting.hpp>

#include <optional>
#include <utility>
#include <vector>

namespace kingcuprudder
{

/// A running job's resources and when they are expected to become free.
struct expected_release
{
    instant m_at;
    const shape* m_shape = nullptr;
    const indexed_placement* m_placement = nullptr;
};

/// Where and when a waiting gang is expected to start.
struct reservation
{
    instant m_start;
    std::size_t m_range = 0;
    indexed_placement m_placement;
    shape m_shape;
    /// What is expected to be free on the workers of m_placement at m_start,
    /// before the gang takes its part; in the order of m_placement.
    std::vector<free_capacity> m_free_at_start;
};

/// What a reservation is computed from.
struct release_forecast
{
    const worker_ranges& m_ranges;
    const free_table& m_free;
    const std::vector<expected_release>& m_releases; ///< Ordered by time.
    /// Resources the gang must not count on, by worker.
    const free_table& m_excluded;
};

/// The range in which a gang should start.
struct range_preference
{
    std::size_t m_range = 0;
    /// Otherwise a range that is expected in less than half the time wins.
    bool m_always = false;
};

/// The earliest expected start of a gang.
std::optional<reservation>
find_reservation(const release_forecast& forecast, const shape& needed,
                 instant now, std::optional<range_preference> preferred);

/// Free resources as seen by jobs of different length: a job that ends before
/// a reservation starts may use what the reservation holds.
class capacity_views
{
public:
    explicit capacity_views(free_table free) : m_base(std::move(free)) {}

    /// What a job may use that is expected to end at this time.
    const free_table& for_job_ending(instant end) const;

    /// What is free now, reservations or not.
    const free_table& base() const { return m_base; }

    /// Keeps a reservation's resources from jobs that end after this time.
    void add_reservation(const reservation& added, instant backfill_until);

    /// Takes resources for a job. Resources that are not free yet, because
    /// they are being reclaimed for the job, are left out.
    void subtract_from_all(const shape& needed, const indexed_placement& where);

private:
    struct view
    {
        instant m_start;
        free_table m_free;
    };

    free_table m_base;
    std::vector<view> m_views; ///< Ordered by start; each within the former.
};

} // namespace kingcuprudder

#endif

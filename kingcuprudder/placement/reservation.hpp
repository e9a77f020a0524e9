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

/// The resources and the expected start time of a waiting gang.
struct reservation
{
    instant m_start;
    std::size_t m_range = 0;
    indexed_placement m_placement;
    shape m_shape;
    /// Resources expected to be free at m_start, before the gang starts, on
    /// each worker of m_placement in its order.
    std::vector<free_capacity> m_free_at_start;
};

/// The inputs from which a reservation is computed.
struct release_forecast
{
    const worker_ranges& m_ranges;
    const free_table& m_free;
    const std::vector<expected_release>& m_releases; ///< Ordered by time.
    /// Resources that the gang must not use, by worker.
    const free_table& m_excluded;
};

/// The range in which a gang should start.
struct range_preference
{
    std::size_t m_range = 0;
    /// If false, a range whose expected wait is less than half as long is used
    /// instead.
    bool m_always = false;
};

/// Finds the earliest expected start of a gang, or nothing when the releases
/// never free enough capacity.
std::optional<reservation>
find_reservation(const release_forecast& forecast, const shape& needed,
                 instant now, std::optional<range_preference> preferred);

/// Free resources depending on the expected end of a job: a job that ends
/// before a reservation starts may use the reserved resources.
class capacity_views
{
public:
    explicit capacity_views(free_table free) : m_base(std::move(free)) {}

    /// The resources that a job with this expected end may use.
    const free_table& for_job_ending(instant end) const;

    /// The resources that are free now, including reserved ones.
    const free_table& base() const { return m_base; }

    /// Withholds the reserved resources from jobs that end after this time.
    void add_reservation(const reservation& added, instant backfill_until);

    /// Subtracts the resources of a job from all views. Resources that are not
    /// free yet, because they are being reclaimed for the job, are ignored.
    void subtract_from_all(const shape& needed, const indexed_placement& where);

private:
    struct view
    {
        instant m_start;
        free_table m_free;
    };

    free_table m_base;
    /// Ordered by start; each view is a subset of the one before.
    std::vector<view> m_views;
};

} // namespace kingcuprudder

#endif

#ifndef KINGCUPRUDDER_PLACEMENT_TIGHT_FIT_HPP
#define KINGCUPRUDDER_PLACEMENT_TIGHT_FIT_HPP

#include <kingcuprudder/placement/shape_fitting.hpp>

#include <map>

namespace kingcuprudder
{

/// Places a gang where it fragments free capacity least: in the range with the
/// fewest fragmented workers, then with the least free capacity, and there on
/// the workers of the fullest racks first.
std::optional<indexed_placement> tight_fit(const free_table& table,
                                           const worker_ranges& ranges,
                                           const shape& needed);

/// Places gangs on short windows of adjacent workers. Requires that resources
/// are only subtracted from the table between calls, so that a search for a
/// shape can continue where the last one for this shape succeeded.
class contiguous_packer
{
public:
    explicit contiguous_packer(const worker_ranges& ranges) : m_ranges(ranges)
    {
    }

    std::optional<indexed_placement> place(const free_table& table,
                                           const shape& needed);

private:
    struct progress
    {
        /// The worker at which the next search starts.
        std::size_t m_next = 0;
        bool m_exhausted = false;
    };

    const worker_ranges& m_ranges;
    std::map<shape, progress> m_progress;
};

/// The number of tasks that fit into a range.
struct range_capacity
{
    std::uint32_t m_tasks = 0;
    std::size_t m_range = 0;
};

/// Returns the range into which most tasks of this shape fit.
range_capacity range_with_most_capacity(const free_table& table,
                                        const worker_ranges& ranges,
                                        const shape& needed);

/// Like tight_fit(), but within one range only.
std::optional<indexed_placement> tight_fit_in(const free_table& table,
                                              const worker_ranges& ranges,
                                              const worker_range& range,
                                              const shape& needed);

} // namespace kingcuprudder

#endif

#ifndef KINGCUPRUDDER_PLACEMENT_TIGHT_FIT_HPP
#define KINGCUPRUDDER_PLACEMENT_TIGHT_FIT_HPP

#include <kingcuprudder/placement/shape_fitting.hpp>

#include <map>

namespace kingcuprudder
{

/// Places a gang where it breaks the fewest larger free shapes: in the range
/// with the least room to spare and there on the workers of the fullest racks
/// first.
std::optional<indexed_placement> tight_fit(const free_table& table,
                                           const worker_ranges& ranges,
                                           const shape& needed);

/// Places gangs on short rows of neighbouring workers while a table is filled
/// up. Nothing is given back to the table in between, so a search for a shape
/// continues where the former one for this shape found room.
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
        std::size_t m_next = 0; ///< The first worker of the last row found.
        bool m_exhausted = false;
    };

    const worker_ranges& m_ranges;
    std::map<shape, progress> m_progress;
};

/// The most tasks of this shape that one range can hold, and which range.
struct range_capacity
{
    std::uint32_t m_tasks = 0;
    std::size_t m_range = 0;
};
range_capacity range_with_most_capacity(const free_table& table,
                                        const worker_ranges& ranges,
                                        const shape& needed);

/// Like tight_fit, within one range only.
std::optional<indexed_placement> tight_fit_in(const free_table& table,
                                              const worker_ranges& ranges,
                                              const worker_range& range,
                                              const shape& needed);

} // namespace kingcuprudder

#endif

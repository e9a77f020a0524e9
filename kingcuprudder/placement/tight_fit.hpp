#ifndef KINGCUPRUDDER_PLACEMENT_TIGHT_FIT_HPP
#define KINGCUPRUDDER_PLACEMENT_TIGHT_FIT_HPP

#include <kingcuprudder/placement/shape_fitting.hpp>

namespace kingcuprudder
{

/// Places a gang where it breaks the fewest larger free shapes: in the range
/// with the least room to spare and there on the workers of the fullest racks
/// first.
std::optional<indexed_placement> tight_fit(const free_table& table,
                                           const worker_ranges& ranges,
                                           const shape& needed);

/// Places a gang on the shortest row of neighbouring workers, with the least
/// room to spare among rows of the same length.
std::optional<indexed_placement> contiguous_fit(const free_table& table,
                                                const worker_ranges& ranges,
                                                const shape& needed);

/// The most tasks of this shape that one range can hold, and which range.
struct range_room
{
    std::uint32_t m_tasks = 0;
    std::size_t m_range = 0;
};
range_room most_room(const free_table& table, const worker_ranges& ranges,
                     const shape& needed);

/// Like tight_fit, within one range only.
std::optional<indexed_placement> tight_fit_in(const free_table& table,
                                              const worker_ranges& ranges,
                                              const worker_range& range,
                                              const shape& needed);

} // namespace kingcuprudder

#endif

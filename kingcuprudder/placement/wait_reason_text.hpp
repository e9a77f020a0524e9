#ifndef KINGCUPRUDDER_PLACEMENT_WAIT_REASON_TEXT_HPP
#define KINGCUPRUDDER_PLACEMENT_WAIT_REASON_TEXT_HPP

#include <kingcuprudder/placement/shape_fitting.hpp>

#include <map>
#include <string>
#include <utility>

namespace kingcuprudder
{

/// Explains what a waiting job lacks and where most of it is free. Keeps the
/// text of each shape, since thousands of waiting jobs share a few shapes.
class wait_reason_texts
{
public:
    /// The text for a shape that was explained before, else null. Unstoppable
    /// tells whether guarantees of other accounts are closed to the job.
    const std::string* find(const shape& needed, bool non_preemptible) const;

    /// Makes the text for a shape that waits for room in this table.
    const std::string& make(const cluster& region, const worker_ranges& ranges,
                            const free_table& table, const shape& needed,
                            bool non_preemptible);

private:
    std::map<std::pair<shape, bool>, std::string> m_texts;
};

} // namespace kingcuprudder

#endif

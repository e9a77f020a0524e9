#ifndef KINGCUPRUDDER_PLACEMENT_WAIT_REASON_TEXT_HPP
#define KINGCUPRUDDER_PLACEMENT_WAIT_REASON_TEXT_HPP

#include <kingcuprudder/placement/shape_fitting.hpp>

#include <map>
#include <string>
#include <utility>

namespace kingcuprudder
{

/// Texts that state which capacity a waiting job lacks and in which range most
/// of it is free. Cached by shape, as thousands of waiting jobs share a few
/// shapes.
class wait_reason_texts
{
public:
    /// Returns the cached text for a shape, or null. A non-preemptible job may
    /// not use the guarantees of other accounts.
    const std::string* find(const shape& needed, bool non_preemptible) const;

    /// Creates and caches the text for a shape that waits for capacity in this
    /// table.
    const std::string& make(const cluster& region, const worker_ranges& ranges,
                            const free_table& table, const shape& needed,
                            bool non_preemptible);

private:
    std::map<std::pair<shape, bool>, std::string> m_texts;
};

} // namespace kingcuprudder

#endif

#ifndef KINGCUPRUDDER_REGION_REGION_STATISTICS_HPP
#define KINGCUPRUDDER_REGION_REGION_STATISTICS_HPP

#include <kingcuprudder/region/log_record.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <variant>

namespace kingcuprudder
{

/// Numbers of decisions committed by one owner since its takeover.
struct decision_counts
{
    std::uint64_t m_placements = 0;
    std::uint64_t m_reclaims = 0;
    /// Attempts after which the job was queued again.
    std::uint64_t m_released_attempts = 0;
    std::uint64_t m_ended_jobs = 0;

    /// Counts a committed record.
    void count(const log_record& record)
    {
        if (std::holds_alternative<job_placed>(record))
        {
            ++m_placements;
        }
        else if (const auto* stop = std::get_if<job_stopping>(&record))
        {
            m_reclaims += stop->m_reason == stop_reason::reclaimed ? 1 : 0;
        }
        else if (std::holds_alternative<job_released>(record))
        {
            ++m_released_attempts;
        }
        else if (std::holds_alternative<job_ended>(record))
        {
            ++m_ended_jobs;
        }
    }

    friend auto operator<=>(const decision_counts&,
                            const decision_counts&) = default;
};

/// Statistics of a region. All values except the settings revision are zero
/// while the process does not own the region.
struct region_statistics
{
    bool m_owning = false;
    epoch_number m_epoch = 0;
    std::uint64_t m_settings_revision = 0;
    std::size_t m_queued_jobs = 0;
    std::size_t m_active_jobs = 0;
    std::size_t m_open_permits = 0;
    std::size_t m_listed_workers = 0;
    std::size_t m_set_aside_workers = 0;
    std::uint64_t m_free_accelerators = 0;
    /// Free accelerators on partly used workers, which gangs that need whole
    /// workers cannot use.
    std::uint64_t m_scattered_accelerators = 0;
    decision_counts m_decisions;

    friend auto operator<=>(const region_statistics&,
                            const region_statistics&) = default;
};

} // namespace kingcuprudder

#endif

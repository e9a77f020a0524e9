#ifndef KINGCUPRUDDER_REQUEST_RETRY_BUDGET_HPP
#define KINGCUPRUDDER_REQUEST_RETRY_BUDGET_HPP

#include <cstdint>

namespace kingcuprudder
{

/// A token bucket that limits retries to a tenth of the first attempts, so that
/// retries cannot multiply the load of targets that are already failing.
class retry_budget
{
public:
    /// The number of first attempts that earn one retry.
    static constexpr std::uint32_t attempts_per_retry = 10;
    /// The maximum number of saved retries; a new budget starts full.
    static constexpr std::uint32_t max_saved_retries = 10;

    /// Adds the share of a retry that one first attempt earns.
    void on_first_attempt();

    /// Takes one retry from the budget. Returns false when there is none.
    bool try_take();

private:
    std::uint32_t m_tokens = attempts_per_retry * max_saved_retries;
};

} // namespace kingcuprudder

#endif

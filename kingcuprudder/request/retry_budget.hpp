#ifndef KINGCUPRUDDER_REQUEST_RETRY_BUDGET_HPP
#define KINGCUPRUDDER_REQUEST_RETRY_BUDGET_HPP

#include <cstdint>

namespace kingcuprudder
{

/// Keeps repeated calls at a tenth of the first calls, so that retries cannot
/// multiply the load of targets that are already failing.
class retry_budget
{
public:
    /// Parts of one retry that each first call earns.
    static constexpr std::uint32_t calls_per_retry = 10;
    /// Retries that can be saved up, and that a new process starts with.
    static constexpr std::uint32_t max_saved_retries = 10;

    /// Notes a first call.
    void on_first_call();

    /// Takes one retry from the budget; false when there is none.
    bool try_take();

private:
    std::uint32_t m_parts = calls_per_retry * max_saved_retries;
};

} // namespace kingcuprudder

#endif

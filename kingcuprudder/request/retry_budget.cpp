#include <kingcuprudder/request/retry_budget.hpp>

#include <algorithm>

namespace kingcuprudder
{

void retry_budget::on_first_call()
{
    m_parts = std::min(m_parts + 1, calls_per_retry * max_saved_retries);
}

bool retry_budget::try_take()
{
    if (m_parts < calls_per_retry)
    {
        return false;
    }
    m_parts -= calls_per_retry;
    return true;
}

} // namespace kingcuprudder

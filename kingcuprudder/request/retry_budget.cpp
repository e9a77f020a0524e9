#include <kingcuprudder/request/retry_budget.hpp>

#include <algorithm>

namespace kingcuprudder
{

void retry_budget::on_first_attempt()
{
    m_tokens = std::min(m_tokens + 1, attempts_per_retry * max_saved_retries);
}

bool retry_budget::try_take()
{
    if (m_tokens < attempts_per_retry)
    {
        return false;
    }
    m_tokens -= attempts_per_retry;
    return true;
}

} // namespace kingcuprudder

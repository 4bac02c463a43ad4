#include <hibiscustide/core/retry/retry_budget.hpp>

#include <algorithm>

namespace hibiscustide::core::retry
{

void retry_budget::deposit(double share) noexcept
{
    m_saved = std::min(m_saved + share, max_saved);
}

bool retry_budget::try_withdraw() noexcept
{
    if (m_saved < 1.0)
    {
        return false;
    }
    m_saved -= 1.0;
    return true;
}

} // namespace hibiscustide::core::retry

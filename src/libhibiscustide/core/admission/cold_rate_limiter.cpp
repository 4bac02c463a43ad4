#include <hibiscustide/core/admission/cold_rate_limiter.hpp>

#include <algorithm>

namespace hibiscustide::core::admission
{

void cold_rate_limiter::set_max_rate(double max_rate) noexcept
{
    m_max_rate = max_rate;
}

void cold_rate_limiter::start_empty(time_point now) noexcept
{
    m_tokens = 0;
    m_refilled_at = now;
}

bool cold_rate_limiter::try_acquire(time_point now) noexcept
{
    double const available_tokens = tokens_at(now);
    if (available_tokens < 1.0)
    {
        return false;
    }
    m_tokens = available_tokens - 1.0;
    m_refilled_at = now;
    return true;
}

std::uint32_t cold_rate_limiter::available(time_point now) const noexcept
{
    return static_cast<std::uint32_t>(tokens_at(now));
}

double cold_rate_limiter::sustained_rate() const noexcept
{
    return m_max_rate * rate_share;
}

time_point cold_rate_limiter::next_token_at(time_point now) const noexcept
{
    double const missing = 1.0 - tokens_at(now);
    if (missing <= 0 || m_max_rate <= 0)
    {
        return now;
    }
    std::chrono::duration<double> const wait{missing / sustained_rate()};
    return now + std::chrono::ceil<duration>(wait);
}

double cold_rate_limiter::tokens_at(time_point now) const noexcept
{
    std::chrono::duration<double> const passed = now - m_refilled_at;
    double const max_tokens = std::max(1.0, m_max_rate * burst_share);
    return std::min(max_tokens, m_tokens + passed.count() * sustained_rate());
}

} // namespace hibiscustide::core::admission

#include <hibiscustide/core/admission/cold_rate.hpp>

#include <algorithm>

namespace hibiscustide::core::admission
{

void cold_rate::start(double per_second, time_point now) noexcept
{
    m_per_second = per_second;
    m_tokens = 0;
    m_filled_at = now;
}

bool cold_rate::take(time_point now) noexcept
{
    double const there = tokens(now);
    if (there < 1.0)
    {
        return false;
    }
    m_tokens = there - 1.0;
    m_filled_at = now;
    return true;
}

std::uint32_t cold_rate::left(time_point now) const noexcept
{
    return static_cast<std::uint32_t>(tokens(now));
}

time_point cold_rate::next(time_point now) const noexcept
{
    double const missing = 1.0 - tokens(now);
    if (missing <= 0 || m_per_second <= 0)
    {
        return now;
    }
    std::chrono::duration<double> const wait{missing / m_per_second};
    return now + std::chrono::ceil<duration>(wait);
}

double cold_rate::tokens(time_point now) const noexcept
{
    std::chrono::duration<double> const passed = now - m_filled_at;
    double const most = std::max(1.0, m_per_second * burst_share);
    return std::min(most, m_tokens + passed.count() * m_per_second);
}

} // namespace hibiscustide::core::admission

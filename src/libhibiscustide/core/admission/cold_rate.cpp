#include <hibiscustide/core/admission/cold_rate.hpp>

#include <algorithm>

namespace hibiscustide::core::admission
{

void cold_rate::set_bound(double in_one_second) noexcept
{
    m_bound = in_one_second;
}

void cold_rate::start(time_point now) noexcept
{
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

double cold_rate::per_second() const noexcept
{
    return m_bound * rate_share;
}

time_point cold_rate::next(time_point now) const noexcept
{
    double const missing = 1.0 - tokens(now);
    if (missing <= 0 || m_bound <= 0)
    {
        return now;
    }
    std::chrono::duration<double> const wait{missing / per_second()};
    return now + std::chrono::ceil<duration>(wait);
}

double cold_rate::tokens(time_point now) const noexcept
{
    std::chrono::duration<double> const passed = now - m_filled_at;
    double const most = std::max(1.0, m_bound * burst_share);
    return std::min(most, m_tokens + passed.count() * per_second());
}

} // namespace hibiscustide::core::admission

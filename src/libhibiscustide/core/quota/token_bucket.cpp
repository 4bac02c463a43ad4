#include <hibiscustide/core/quota/token_bucket.hpp>

#include <algorithm>
#include <cmath>

namespace hibiscustide::core::quota
{

namespace
{

// Tolerates the rounding of a refill that ends exactly at a whole token.
constexpr double rounding = 1e-6;

} // namespace

token_bucket::token_bucket(
    double rate, double capacity, double tokens, time_point now) noexcept
    : m_rate{rate},
      m_capacity{capacity},
      m_tokens{std::min(tokens, capacity)},
      m_refilled_at{now}
{
}

void token_bucket::set_limit(
    double rate, double capacity, time_point now) noexcept
{
    m_tokens = std::min(available(now), capacity);
    m_refilled_at = std::max(now, m_refilled_at);
    m_rate = rate;
    m_capacity = capacity;
}

std::uint32_t token_bucket::take(std::uint32_t wanted, time_point now) noexcept
{
    double const tokens = available(now);
    double const whole = std::floor(tokens + rounding);
    double const taken = std::min(whole, static_cast<double>(wanted));
    m_tokens = std::max(0.0, tokens - taken);
    m_refilled_at = std::max(now, m_refilled_at);
    return static_cast<std::uint32_t>(taken);
}

double token_bucket::available(time_point now) const noexcept
{
    std::chrono::duration<double> const passed =
        std::max(now, m_refilled_at) - m_refilled_at;
    return std::min(m_capacity, m_tokens + passed.count() * m_rate);
}

double token_bucket::capacity() const noexcept
{
    return m_capacity;
}

duration token_bucket::time_until(double count, time_point now) const noexcept
{
    double const missing = count - available(now);
    if (missing <= rounding)
    {
        return {};
    }
    // Longer times are not distinguished, which also avoids an overflow.
    constexpr double max_s = 1e6;
    if (missing >= m_rate * max_s)
    {
        return duration::max();
    }
    return std::chrono::ceil<duration>(
        std::chrono::duration<double>{missing / m_rate});
}

} // namespace hibiscustide::core::quota

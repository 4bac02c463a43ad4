#include <hibiscustide/core/release/readers.hpp>

#include <algorithm>

#include <hibiscustide/core/hash.hpp>

namespace hibiscustide::core::release
{

bool is_reader(fleet const& state, std::string_view target)
{
    auto const* const self = state.find_target(target);
    if (self == nullptr)
    {
        return false;
    }
    auto const own_rank = hash_of(self->m_name);
    std::size_t higher_ranked = 0;
    for (auto const& other : state.targets())
    {
        bool const same_domain =
            other.m_failure_domain == self->m_failure_domain;
        if (same_domain && hash_of(other.m_name) > own_rank)
        {
            ++higher_ranked;
        }
    }
    return higher_ranked < readers_per_domain;
}

double max_read_rate(
    std::size_t nodes, std::size_t failure_domains, bool reader) noexcept
{
    auto const node_count =
        static_cast<double>(std::max<std::size_t>(nodes, 1));
    auto rate = max_service_reads_per_second * node_read_share / node_count;
    if (reader)
    {
        auto const domain_count = std::max<std::size_t>(failure_domains, 1);
        auto const reader_count =
            static_cast<double>(domain_count * readers_per_domain);
        rate += max_service_reads_per_second * reader_read_share / reader_count;
    }
    return rate;
}

read_rate_limiter::read_rate_limiter(double rate, time_point now) noexcept
    : m_rate{rate},
      m_refilled_at{now}
{
}

void read_rate_limiter::set_rate(double rate, time_point now) noexcept
{
    refill(now);
    m_rate = rate;
}

bool read_rate_limiter::try_take(time_point now) noexcept
{
    refill(now);
    if (m_tokens < 1.0)
    {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

duration read_rate_limiter::time_to_next(time_point now) noexcept
{
    refill(now);
    if (m_tokens >= 1.0)
    {
        return duration{0};
    }
    std::chrono::duration<double> const missing{(1.0 - m_tokens) / m_rate};
    return std::chrono::duration_cast<duration>(missing);
}

void read_rate_limiter::refill(time_point now) noexcept
{
    std::chrono::duration<double> const elapsed = now - m_refilled_at;
    m_refilled_at = now;
    m_tokens = std::min(m_tokens + elapsed.count() * m_rate, burst);
}

} // namespace hibiscustide::core::release

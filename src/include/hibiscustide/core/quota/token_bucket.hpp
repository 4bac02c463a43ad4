/// \file
/// A token bucket whose rate and capacity may change.
#ifndef HIBISCUSTIDE_CORE_QUOTA_TOKEN_BUCKET_HPP
#define HIBISCUSTIDE_CORE_QUOTA_TOKEN_BUCKET_HPP

#include <cstdint>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::quota
{

/// Tokens that accumulate at a rate up to a capacity. Not thread-safe.
class token_bucket
{
public:
    /// Sets the limit and the tokens, which are at most the capacity.
    token_bucket(
        double rate, double capacity, double tokens, time_point now) noexcept;

    /// Changes the limit. Tokens above the new capacity are lost; the time
    /// before `now` counts with the previous rate.
    void set_limit(double rate, double capacity, time_point now) noexcept;

    /// Takes up to `wanted` whole tokens and returns their number.
    std::uint32_t take(std::uint32_t wanted, time_point now) noexcept;

    /// Number of tokens, with the fraction of the next one.
    [[nodiscard]] double available(time_point now) const noexcept;

    [[nodiscard]] double capacity() const noexcept;

    /// Time until the bucket holds `count` tokens, disregarding its capacity;
    /// duration::max() if tokens do not accumulate.
    [[nodiscard]] duration time_until(
        double count, time_point now) const noexcept;

private:
    double m_rate; ///< Tokens per second.
    double m_capacity;
    double m_tokens;
    time_point m_refilled_at;
};

} // namespace hibiscustide::core::quota

#endif

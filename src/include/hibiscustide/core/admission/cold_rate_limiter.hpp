/// \file
/// Limits the request rate of a target that is warming up.
#ifndef HIBISCUSTIDE_CORE_ADMISSION_COLD_RATE_LIMITER_HPP
#define HIBISCUSTIDE_CORE_ADMISSION_COLD_RATE_LIMITER_HPP

#include <cstdint>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::admission
{

/// A token bucket for the requests to one cold target, that is, a target that
/// has just started and whose request rate is limited until its warm-up ends.
/// Each request takes a token. Refill rate and capacity together stay below the
/// maximum number of requests in any one second. Not thread-safe.
class cold_rate_limiter
{
public:
    /// Refill rate and capacity of the bucket, as shares of the maximum rate.
    static constexpr double rate_share = 0.86;
    static constexpr double burst_share = 0.08;

    /// Sets the maximum number of requests in any one second.
    void set_max_rate(double max_rate) noexcept;

    /// Empties the bucket, for a target that has just become cold.
    void start_empty(time_point now) noexcept;

    /// Takes a token. Returns false if the bucket holds none.
    [[nodiscard]] bool try_acquire(time_point now) noexcept;

    /// Number of whole tokens in the bucket.
    [[nodiscard]] std::uint32_t available(time_point now) const noexcept;

    /// Refill rate, in requests per second.
    [[nodiscard]] double sustained_rate() const noexcept;

    /// Time at which the next token is available.
    [[nodiscard]] time_point next_token_at(time_point now) const noexcept;

private:
    [[nodiscard]] double tokens_at(time_point now) const noexcept;

    double m_max_rate = 0; ///< Requests per second.
    double m_tokens = 0;
    time_point m_refilled_at{};
};

} // namespace hibiscustide::core::admission

#endif

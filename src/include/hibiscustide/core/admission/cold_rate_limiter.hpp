/// \file
/// Keeps the rate of requests that a cold target gets.
#ifndef HIBISCUSTIDE_CORE_ADMISSION_COLD_RATE_LIMITER_HPP
#define HIBISCUSTIDE_CORE_ADMISSION_COLD_RATE_LIMITER_HPP

#include <cstdint>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::admission
{

/// A token bucket for the requests of one cold target. Its rate and what it
/// holds stay together below the bound for any one second. Not thread-safe.
class cold_rate_limiter
{
public:
    /// Shares of the bound: of requests that come at an even rate, and of those
    /// that may come at once.
    static constexpr double rate_share = 0.86;
    static constexpr double burst_share = 0.08;

    /// Sets the most requests in any one second.
    void set_max_rate(double max_rate) noexcept;

    /// Begins with an empty bucket, for a target that has just turned cold.
    void start_empty(time_point now) noexcept;

    /// Takes a token; false where none is left.
    [[nodiscard]] bool try_acquire(time_point now) noexcept;

    /// Whole tokens left.
    [[nodiscard]] std::uint32_t available(time_point now) const noexcept;

    /// Requests a second at an even rate.
    [[nodiscard]] double sustained_rate() const noexcept;

    /// When the next token is there.
    [[nodiscard]] time_point next_token_at(time_point now) const noexcept;

private:
    [[nodiscard]] double tokens_at(time_point now) const noexcept;

    double m_max_rate = 0; ///< Requests in any one second.
    double m_tokens = 0;
    time_point m_refilled_at{};
};

} // namespace hibiscustide::core::admission

#endif

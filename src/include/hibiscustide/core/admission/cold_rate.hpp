/// \file
/// Keeps the rate of requests that a cold target gets.
#ifndef HIBISCUSTIDE_CORE_ADMISSION_COLD_RATE_HPP
#define HIBISCUSTIDE_CORE_ADMISSION_COLD_RATE_HPP

#include <cstdint>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::admission
{

/// A token bucket for the requests of one cold target. Its rate and what it
/// holds stay together below the bound for any one second. Not thread-safe.
class cold_rate
{
public:
    /// Shares of the bound: of requests that come at an even rate, and of those
    /// that may come at once.
    static constexpr double rate_share = 0.86;
    static constexpr double burst_share = 0.08;

    /// Sets the most requests in any one second.
    void set_bound(double in_one_second) noexcept;

    /// Begins with an empty bucket, for a target that has just turned cold.
    void start(time_point now) noexcept;

    /// Takes a token; false where none is left.
    [[nodiscard]] bool take(time_point now) noexcept;

    /// Whole tokens left.
    [[nodiscard]] std::uint32_t left(time_point now) const noexcept;

    /// Requests a second at an even rate.
    [[nodiscard]] double per_second() const noexcept;

    /// When the next token is there.
    [[nodiscard]] time_point next(time_point now) const noexcept;

private:
    [[nodiscard]] double tokens(time_point now) const noexcept;

    double m_bound = 0; ///< Requests in any one second.
    double m_tokens = 0;
    time_point m_filled_at{};
};

} // namespace hibiscustide::core::admission

#endif

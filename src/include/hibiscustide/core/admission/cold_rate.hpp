/// \file
/// Keeps the rate of requests that a cold target gets.
#ifndef HIBISCUSTIDE_CORE_ADMISSION_COLD_RATE_HPP
#define HIBISCUSTIDE_CORE_ADMISSION_COLD_RATE_HPP

#include <cstdint>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::admission
{

/// A token bucket for the requests of one cold target. It holds a tenth of a
/// second's worth, at least one token, so that any second stays close to the
/// rate. Not thread-safe.
class cold_rate
{
public:
    /// Share of a second's requests that may come at once.
    static constexpr double burst_share = 0.1;

    /// Begins with an empty bucket, for a target that has just turned cold.
    void start(double per_second, time_point now) noexcept;

    /// Takes a token; false where none is left.
    [[nodiscard]] bool take(time_point now) noexcept;

    /// Whole tokens left.
    [[nodiscard]] std::uint32_t left(time_point now) const noexcept;

    /// When the next token is there.
    [[nodiscard]] time_point next(time_point now) const noexcept;

private:
    [[nodiscard]] double tokens(time_point now) const noexcept;

    double m_per_second = 0;
    double m_tokens = 0;
    time_point m_filled_at{};
};

} // namespace hibiscustide::core::admission

#endif

/// \file
/// How fast a target's machine works, now and in the next moments.
#ifndef HIBISCUSTIDE_CORE_ROUTING_SPEED_HPP
#define HIBISCUSTIDE_CORE_ROUTING_SPEED_HPP

#include <chrono>
#include <compare>
#include <cstdint>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::routing
{

/// The speed of a machine that is shared with others: slow or fast for a
/// while, and then anything. Slowness is the time that work takes, in percent
/// of the usual.
struct speed
{
    std::uint32_t m_slowness = 100;      ///< Now.
    std::uint32_t m_mean_slowness = 100; ///< Over the last seconds.
    std::uint32_t m_remaining_ms =
        0; ///< How much longer the present is expected.

    friend auto operator<=>(speed const&, speed const&) = default;
};

/// Expected time for work that usually takes `usual` and begins now. Work keeps
/// the speed at which it began.
[[nodiscard]] duration run_time_now(
    speed const& forecast, duration usual) noexcept;

/// The same for work that begins after `wait`, wait not included.
[[nodiscard]] duration run_time_after(
    speed const& forecast, duration wait, duration usual) noexcept;

/// How long to wait before the work is begun, so that it ends earliest: zero,
/// or until the present slow spell is expected to end.
[[nodiscard]] duration best_wait(
    speed const& forecast, duration usual) noexcept;

/// Expected time until work ends that begins when it is best, wait included.
[[nodiscard]] duration expected_completion_time(
    speed const& forecast, duration usual) noexcept;

/// Learns from a target's reports how long its speeds last. Not thread-safe.
///
/// Answers a neighbour's noise: machines are slow for half a second at a time,
/// and work that begins then stays slow to its end, while work that begins
/// behind the spell does not.
class speed_history
{
public:
    void on_report(std::uint32_t slowness, time_point now) noexcept;

    [[nodiscard]] speed forecast(time_point now) const noexcept;

private:
    double m_slowness = 100;
    double m_mean = 100;
    duration m_mean_duration{std::chrono::milliseconds{500}};
    time_point m_changed_at{};
    time_point m_reported_at{};
};

} // namespace hibiscustide::core::routing

#endif

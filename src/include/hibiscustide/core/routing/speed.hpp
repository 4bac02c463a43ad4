/// \file
/// Measures and forecasts the speed of the VM of a target.
#ifndef HIBISCUSTIDE_CORE_ROUTING_SPEED_HPP
#define HIBISCUSTIDE_CORE_ROUTING_SPEED_HPP

#include <chrono>
#include <compare>
#include <cstdint>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::routing
{

/// The speed of a VM on shared hardware. The speed stays the same for a while
/// and then changes to an unknown value. Slowness is the processing time of
/// work in percent of its usual processing time: 100 is the usual speed, 200 is
/// half of it.
struct speed
{
    std::uint32_t m_slowness = 100;      ///< Current value.
    std::uint32_t m_mean_slowness = 100; ///< Mean over the last seconds.
    std::uint32_t m_remaining_ms = 0; ///< Expected time until the next change.

    friend auto operator<=>(speed const&, speed const&) = default;
};

/// Expected processing time of work that usually takes `usual` and begins now.
/// Work keeps the speed at which it begins.
[[nodiscard]] duration processing_time_now(
    speed const& forecast, duration usual) noexcept;

/// Expected processing time of work that begins after `wait`; the wait is not
/// included.
[[nodiscard]] duration processing_time_after(
    speed const& forecast, duration wait, duration usual) noexcept;

/// The wait before the work begins with which it is expected to end earliest:
/// zero, or the expected rest of the current slow period.
[[nodiscard]] duration best_wait(
    speed const& forecast, duration usual) noexcept;

/// Expected time until work ends that begins after its best wait, wait
/// included.
[[nodiscard]] duration expected_completion_time(
    speed const& forecast, duration usual) noexcept;

/// Forecasts the speed of a target from its reports. Not thread-safe.
///
/// Noisy neighbours make a VM slow for half a second at a time. Work that
/// begins during such a slow period stays slow until it ends, while work that
/// begins after the period does not.
class speed_history
{
public:
    /// Handles a reported slowness, in percent of the usual time of work.
    void on_report(std::uint32_t slowness, time_point now) noexcept;

    /// Returns the current and mean slowness and the expected time until the
    /// next change.
    [[nodiscard]] speed forecast(time_point now) const noexcept;

private:
    double m_slowness = 100;
    double m_mean = 100;
    /// Of a period of constant speed.
    duration m_mean_duration{std::chrono::milliseconds{500}};
    time_point m_changed_at{};
    time_point m_reported_at{};
};

} // namespace hibiscustide::core::routing

#endif

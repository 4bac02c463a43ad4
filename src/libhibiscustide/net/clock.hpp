/// \file
/// Reads the system clocks. Code in the core gets the time as an argument
/// instead.
#ifndef HIBISCUSTIDE_NET_CLOCK_HPP
#define HIBISCUSTIDE_NET_CLOCK_HPP

#include <chrono>
#include <ctime>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::net
{

/// The current time on the monotonic clock.
[[nodiscard]] inline core::time_point clock_now() noexcept
{
    return std::chrono::steady_clock::now();
}

/// The time for which the VM has been suspended since it booted. The monotonic
/// clock does not include it.
[[nodiscard]] inline core::duration suspended_time() noexcept
{
    timespec with_suspension{};
    timespec without_suspension{};
    clock_gettime(CLOCK_BOOTTIME, &with_suspension);
    clock_gettime(CLOCK_MONOTONIC, &without_suspension);
    return std::chrono::seconds{
               with_suspension.tv_sec - without_suspension.tv_sec} +
           std::chrono::nanoseconds{
               with_suspension.tv_nsec - without_suspension.tv_nsec};
}

/// The current time on a monotonic clock that includes the time for which the
/// VM was suspended. Used to compare times with those of other nodes.
[[nodiscard]] inline core::time_point clock_with_suspensions_now() noexcept
{
    return clock_now() + suspended_time();
}

/// The current time on the system clock, since the Unix epoch.
[[nodiscard]] inline core::unix_ms unix_now() noexcept
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<core::unix_ms>(now);
}

} // namespace hibiscustide::net

#endif

/// \file
/// The clocks that the code round the core reads.
#ifndef HIBISCUSTIDE_NET_CLOCK_HPP
#define HIBISCUSTIDE_NET_CLOCK_HPP

#include <chrono>
#include <ctime>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::net
{

/// Now, on the monotonic clock.
[[nodiscard]] inline core::time_point clock_now() noexcept
{
    return std::chrono::steady_clock::now();
}

/// For how long the VM has stood still since it booted; the monotonic clock
/// doesn't count that.
[[nodiscard]] inline core::duration suspended_time() noexcept
{
    timespec whole{};
    timespec running{};
    clock_gettime(CLOCK_BOOTTIME, &whole);
    clock_gettime(CLOCK_MONOTONIC, &running);
    return std::chrono::seconds{whole.tv_sec - running.tv_sec} +
           std::chrono::nanoseconds{whole.tv_nsec - running.tv_nsec};
}

/// Now, in Unix time.
[[nodiscard]] inline core::unix_ms unix_now() noexcept
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<core::unix_ms>(now);
}

} // namespace hibiscustide::net

#endif

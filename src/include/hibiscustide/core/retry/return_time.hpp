/// \file
/// Decides when a caller that was turned away should come back.
#ifndef HIBISCUSTIDE_CORE_RETRY_RETURN_TIME_HPP
#define HIBISCUSTIDE_CORE_RETRY_RETURN_TIME_HPP

#include <chrono>

namespace hibiscustide::core::retry
{

/// A caller comes back no sooner than this.
inline constexpr std::chrono::milliseconds least_return{100};

/// Callers that were refused together come back over this part of the wait.
inline constexpr double return_spread = 0.5;

/// `room_in` is when room is expected, `draw` an even random number from 0
/// to 1.
///
/// Answers a burst above what the targets bear: its callers return when room
/// has come free, and not all at once.
[[nodiscard]] std::chrono::milliseconds return_after(
    std::chrono::milliseconds room_in, double draw) noexcept;

} // namespace hibiscustide::core::retry

#endif

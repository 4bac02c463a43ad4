/// \file
/// Decides when a caller that was turned away should come back.
#ifndef HIBISCUSTIDE_CORE_RETRY_RETRY_AFTER_HPP
#define HIBISCUSTIDE_CORE_RETRY_RETRY_AFTER_HPP

#include <chrono>

namespace hibiscustide::core::retry
{

/// A caller comes back no sooner than this.
inline constexpr std::chrono::milliseconds min_retry_after{100};

/// Callers that were refused together come back over this part of the wait.
inline constexpr double max_jitter_share = 0.5;

/// `capacity_expected_in` is when room is expected, `draw` an even random
/// number from 0 to 1.
///
/// Answers a burst above what the targets bear: its callers return when room
/// has come free, and not all at once.
[[nodiscard]] std::chrono::milliseconds compute_retry_after(
    std::chrono::milliseconds capacity_expected_in, double jitter) noexcept;

} // namespace hibiscustide::core::retry

#endif

/// \file
/// Computes when a caller (a client program) whose request was refused should
/// retry.
#ifndef HIBISCUSTIDE_CORE_RETRY_RETRY_AFTER_HPP
#define HIBISCUSTIDE_CORE_RETRY_RETRY_AFTER_HPP

#include <chrono>

namespace hibiscustide::core::retry
{

/// Minimum time until a retry.
inline constexpr std::chrono::milliseconds min_retry_after{100};

/// Maximum random extension of the wait, as a share of the wait. It spreads the
/// retries of callers that were refused at the same time.
inline constexpr double max_jitter_share = 0.5;

/// The time after which a refused caller should retry. `capacity_expected_in`
/// is the expected time until a target can take the request. `jitter` is a
/// uniform random number from 0 to 1: the share of the maximum extension by
/// which this wait is extended.
///
/// After a burst above the capacity of the targets, callers retry once capacity
/// is free again, and not all at once.
[[nodiscard]] std::chrono::milliseconds compute_retry_after(
    std::chrono::milliseconds capacity_expected_in, double jitter) noexcept;

} // namespace hibiscustide::core::retry

#endif

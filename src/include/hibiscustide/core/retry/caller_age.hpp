/// \file
/// Estimates for how long a caller has been waiting for its answer.
#ifndef HIBISCUSTIDE_CORE_RETRY_CALLER_AGE_HPP
#define HIBISCUSTIDE_CORE_RETRY_CALLER_AGE_HPP

#include <chrono>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::retry
{

/// Estimates from the remaining time that a caller states when it sent its
/// request for the first time. A caller that retries states less time than in
/// its first attempt. Each route has its own estimator, since the callers of a
/// route wait for about the same time as a rule.
///
/// In an overload, requests that retry compete with new ones. If a retry counts
/// as new, capacity goes to answers that are late in any case, and more new
/// requests become late. Not thread-safe.
class caller_age
{
public:
    /// Returns the time since the caller's first attempt; zero if its remaining
    /// time is not clearly less than that of other callers.
    [[nodiscard]] duration on_request(duration time_left, time_point now);

private:
    /// The longest remaining times of two successive periods.
    duration m_longest{};
    duration m_previous_longest{};
    time_point m_period_began_at{};
};

} // namespace hibiscustide::core::retry

#endif

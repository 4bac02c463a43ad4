/// \file
/// Computes when a caller (a client program) whose request was refused should
/// retry.
#ifndef HIBISCUSTIDE_CORE_RETRY_RETRY_AFTER_HPP
#define HIBISCUSTIDE_CORE_RETRY_RETRY_AFTER_HPP

#include <chrono>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::retry
{

/// Minimum time until a retry.
inline constexpr std::chrono::milliseconds min_retry_after{20};

/// Maximum random extension of the wait, as a share of the wait. It spreads the
/// retries of callers that were refused at the same time.
inline constexpr double max_jitter_share = 0.5;

/// Callers wait at most for this share of the time that they have left.
inline constexpr double max_wait_share = 1.0 / 3.0;

/// A refused request and the state of its service.
struct refusal
{
    /// Expected time until a target can take the request.
    duration m_capacity_expected_in{};
    duration m_usual_work{};     ///< Usual processing time.
    duration m_objective_left{}; ///< Until the answer is late.
    duration m_deadline_left{};  ///< Until the deadline of this request.
    /// Until the caller stops waiting. The route may have a shorter timeout, so
    /// this is at least m_deadline_left.
    duration m_caller_left{};
    /// Whether it was refused because the targets have too much work.
    bool m_overloaded = true;
};

/// The time after which a refused caller should retry. `jitter` is a uniform
/// random number from 0 to 1 that spreads the retries of callers that were
/// refused at the same time.
///
/// A caller that can still get its answer in time retries once capacity is
/// expected, at least after min_retry_after. For any other caller of an
/// overloaded service, there is room after the burst that caused the refusal,
/// so it waits for nearly max_wait_share of the time that it has left. So does
/// a caller that stops waiting before capacity is expected: the result is
/// always less than m_caller_left. Zero if even max_wait_share of that time is
/// less than min_retry_after; a retry is not worthwhile then.
[[nodiscard]] std::chrono::milliseconds compute_retry_after(
    refusal const& refused, double jitter) noexcept;

} // namespace hibiscustide::core::retry

#endif

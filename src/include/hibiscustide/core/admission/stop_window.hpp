/// \file
/// Decides which requests a node may still pass on while it stops.
#ifndef HIBISCUSTIDE_CORE_ADMISSION_STOP_WINDOW_HPP
#define HIBISCUSTIDE_CORE_ADMISSION_STOP_WINDOW_HPP

#include <chrono>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::admission
{

/// Time before its exit in which a node passes the last answers on. It covers
/// their way from the target through another node to the caller.
inline constexpr std::chrono::milliseconds last_answers_time{150};

/// Latest time from the signal to stop to the exit, if the process is killed
/// after the grace period. Leaves room for the exit of a process that gets
/// little processor time, but less than a sixth of the period together with
/// last_answers_time: targets may be at work until then.
[[nodiscard]] duration stop_limit_for(duration grace_period) noexcept;

/// A request ends within its expected time multiplied by this number, as a
/// rule.
inline constexpr double work_variation = 1.5;

/// The time that a stopping node has left.
struct stop_window
{
    time_point m_exit{}; ///< The process ends at this time.
    /// Callers are directed to other nodes by this time.
    time_point m_last_arrival = time_point::max();

    /// When every request must have ended, so that it is answered before the
    /// exit. Bounds the deadlines of requests.
    [[nodiscard]] time_point last_end() const noexcept;

    /// Whether a request that arrives now may be passed on at all.
    [[nodiscard]] bool accepts_at(time_point now) const noexcept;

    /// Whether a request that ends at its deadline, and probably takes
    /// `expected` from `now` on, may still be passed on. A request for which
    /// this is false must be refused before any target gets it.
    [[nodiscard]] bool may_start(
        duration expected, time_point deadline, time_point now) const noexcept;
};

} // namespace hibiscustide::core::admission

#endif

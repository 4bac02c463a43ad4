/// \file
/// Time types. Code in the core never reads a clock; it gets the current time
/// as an argument.
#ifndef HIBISCUSTIDE_CORE_TIME_HPP
#define HIBISCUSTIDE_CORE_TIME_HPP

#include <chrono>

namespace hibiscustide::core
{

/// A point in time on the monotonic clock of the process.
using time_point = std::chrono::steady_clock::time_point;

/// A duration on the monotonic clock, in nanoseconds.
using duration = std::chrono::steady_clock::duration;

/// A point in time on the system clock, in milliseconds since the Unix epoch.
/// Used only for times that are exchanged between processes: the publication
/// times of release notes and the creation times of idempotency keys.
using unix_ms = std::chrono::milliseconds;

} // namespace hibiscustide::core

#endif

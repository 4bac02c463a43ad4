/// \file
/// Computes how often a node may probe its target.
#ifndef HIBISCUSTIDE_CORE_ADMISSION_PROBE_INTERVAL_HPP
#define HIBISCUSTIDE_CORE_ADMISSION_PROBE_INTERVAL_HPP

#include <chrono>
#include <cstdint>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::admission
{

/// The share of a target's capacity that health probes may use.
inline constexpr double probe_capacity_share = 0.005;

/// The shortest time between two probes that stays within the share, but at
/// least 100 ms. `slots` is the number of requests that the target may run at
/// once, so it can do `slots` seconds of work per second. `probe_cost` is the
/// time for which a probe occupies one slot. Only the node beside the target
/// sends probes, so the cost does not grow with the size of the fleet.
[[nodiscard]] duration probe_interval(
    std::uint32_t slots, std::chrono::microseconds probe_cost);

} // namespace hibiscustide::core::admission

#endif

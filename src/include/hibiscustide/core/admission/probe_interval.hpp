/// \file
/// Computes how often a gate may probe its target.
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
/// least 100 ms. A target with `slots` slots can do `slots` seconds of work per
/// second, of which a probe uses `probe_cost`. Only the target's own gate sends
/// probes, so the cost does not grow with the size of the fleet.
[[nodiscard]] duration probe_interval(
    std::uint32_t slots, std::chrono::microseconds probe_cost);

} // namespace hibiscustide::core::admission

#endif

/// \file
/// How often a gate may measure its target.
#ifndef HIBISCUSTIDE_CORE_ADMISSION_PROBE_INTERVAL_HPP
#define HIBISCUSTIDE_CORE_ADMISSION_PROBE_INTERVAL_HPP

#include <chrono>
#include <cstdint>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::admission
{

/// The share of a target's capacity that measuring it may cost.
inline constexpr double probe_capacity_share = 0.005;

/// The shortest time between two probes that keeps within the share, never
/// under 100 ms. A target with `slots` slots bears `slots` seconds of work a
/// second, and one probe costs `probe_cost` of it. Only the gate beside the
/// target probes it, so the cost does not grow with the fleet.
[[nodiscard]] duration probe_interval(
    std::uint32_t slots, std::chrono::microseconds probe_cost);

} // namespace hibiscustide::core::admission

#endif

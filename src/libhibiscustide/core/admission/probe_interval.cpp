#include <hibiscustide/core/admission/probe_interval.hpp>

#include <algorithm>

namespace hibiscustide::core::admission
{

namespace
{

constexpr duration min_interval = std::chrono::milliseconds{100};

} // namespace

duration probe_interval(
    std::uint32_t slots, std::chrono::microseconds probe_cost)
{
    auto const capacity = std::max(slots, 1U) * probe_capacity_share;
    auto const interval = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::micro>(probe_cost) / capacity);
    return std::max(interval, min_interval);
}

} // namespace hibiscustide::core::admission

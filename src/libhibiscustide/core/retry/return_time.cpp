#include <hibiscustide/core/retry/return_time.hpp>

#include <algorithm>

namespace hibiscustide::core::retry
{

std::chrono::milliseconds return_after(
    std::chrono::milliseconds room_in, double draw) noexcept
{
    auto const wait = std::max(room_in, least_return);
    auto const more = wait * (draw * return_spread);
    return wait + std::chrono::duration_cast<std::chrono::milliseconds>(more);
}

} // namespace hibiscustide::core::retry

#include <hibiscustide/core/retry/retry_after.hpp>

#include <algorithm>

namespace hibiscustide::core::retry
{

std::chrono::milliseconds compute_retry_after(
    std::chrono::milliseconds capacity_expected_in, double jitter) noexcept
{
    auto const wait = std::max(capacity_expected_in, min_retry_after);
    auto const added = wait * (jitter * max_jitter_share);
    return wait + std::chrono::duration_cast<std::chrono::milliseconds>(added);
}

} // namespace hibiscustide::core::retry

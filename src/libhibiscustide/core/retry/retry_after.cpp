#include <hibiscustide/core/retry/retry_after.hpp>

#include <algorithm>

namespace hibiscustide::core::retry
{

using std::chrono::milliseconds;

namespace
{

// Part of the longest wait over which the retries of late requests are spread.
constexpr double late_spread_share = 0.25;

} // namespace

milliseconds compute_retry_after(refusal const& refused, double jitter) noexcept
{
    using seconds = std::chrono::duration<double>;
    seconds const earliest =
        std::max<duration>(refused.m_capacity_expected_in, min_retry_after);
    seconds const longest = refused.m_deadline_left * max_wait_share;
    bool const is_late =
        refused.m_overloaded &&
        earliest + refused.m_usual_work > seconds{refused.m_objective_left};
    seconds const caller_left = refused.m_caller_left;
    if (caller_left * max_wait_share < min_retry_after)
    {
        return milliseconds{};
    }
    double const spread = 1.0 - late_spread_share * jitter;
    auto const wait = is_late ? std::max(earliest, longest * spread)
                              : earliest * (1.0 + max_jitter_share * jitter);
    return std::chrono::duration_cast<milliseconds>(
        wait < caller_left ? wait : caller_left * max_wait_share * spread);
}

} // namespace hibiscustide::core::retry

#include <hibiscustide/core/admission/stop_window.hpp>

#include <algorithm>

namespace hibiscustide::core::admission
{

namespace
{

constexpr duration max_exit_time = std::chrono::milliseconds{700};

// Of the grace period; last_answers_time is the rest of a sixth of 6 s.
constexpr double exit_share = 0.7 / 6;

} // namespace

duration stop_limit_for(duration grace_period) noexcept
{
    auto const share = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{grace_period} * exit_share);
    return grace_period - std::min(max_exit_time, share);
}

time_point stop_window::last_end() const noexcept
{
    return m_exit - last_answers_time;
}

bool stop_window::accepts_at(time_point now) const noexcept
{
    return now < m_last_arrival;
}

bool stop_window::may_start(
    duration expected, time_point deadline, time_point now) const noexcept
{
    if (now >= last_end())
    {
        return false;
    }
    // A request that reaches its deadline is answered then.
    std::chrono::duration<double> const longest = expected * work_variation;
    std::chrono::duration<double> const left = last_end() - now;
    return deadline <= last_end() || longest <= left;
}

} // namespace hibiscustide::core::admission

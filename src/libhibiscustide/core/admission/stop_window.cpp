#include <hibiscustide/core/admission/stop_window.hpp>

namespace hibiscustide::core::admission
{

time_point stop_window::last_end() const noexcept
{
    return m_exit - last_answers_time;
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

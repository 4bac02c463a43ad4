#include <hibiscustide/core/routing/speed.hpp>

#include <algorithm>
#include <cmath>

namespace hibiscustide::core::routing
{

namespace
{

using std::chrono::milliseconds;
using seconds = std::chrono::duration<double>;

// A change of slowness by less than this factor continues the current period.
constexpr double change_ratio = 1.3;

// Weight of the latest period in the mean duration of periods.
constexpr double period_weight = 0.15;

// Time constant of the exponential mean of the slowness.
constexpr seconds mean_time_constant{4.0};

// A period that has lasted longer than the mean is expected to go on for the
// mean divided by the first divisor or for its age divided by the second,
// whichever is longer.
constexpr int min_remaining_divisor = 4;
constexpr int age_remaining_divisor = 2;

constexpr double min_slowness = 20;

// Bound of the initial mean: the first report may come from a slow period,
// which is no measure of the mean.
constexpr double max_first_mean = 150;

} // namespace

static duration processing_time_at(double slowness, duration usual) noexcept
{
    seconds const time =
        seconds{usual} * std::max(slowness, min_slowness) / 100.0;
    return std::chrono::duration_cast<duration>(time);
}

duration processing_time_now(speed const& forecast, duration usual) noexcept
{
    return processing_time_at(forecast.m_slowness, usual);
}

duration processing_time_after(
    speed const& forecast, duration wait, duration usual) noexcept
{
    bool const is_same = wait < milliseconds{forecast.m_remaining_ms};
    return processing_time_at(
        is_same ? forecast.m_slowness : forecast.m_mean_slowness, usual);
}

duration best_wait(speed const& forecast, duration usual) noexcept
{
    duration const remaining = milliseconds{forecast.m_remaining_ms};
    auto const later =
        remaining + processing_time_at(forecast.m_mean_slowness, usual);
    return later < processing_time_now(forecast, usual) ? remaining
                                                        : duration{};
}

duration expected_completion_time(
    speed const& forecast, duration usual) noexcept
{
    auto const wait = best_wait(forecast, usual);
    return wait + processing_time_after(forecast, wait, usual);
}

void speed_history::on_report(std::uint32_t slowness, time_point now) noexcept
{
    double const next = std::max<double>(slowness, min_slowness);
    if (m_reported_at == time_point{})
    {
        m_slowness = next;
        m_mean = std::min(next, max_first_mean);
        m_changed_at = now;
        m_reported_at = now;
        return;
    }
    seconds const passed = now - m_reported_at;
    double const weight = 1.0 - std::exp(-passed / mean_time_constant);
    m_mean += (m_slowness - m_mean) * weight;
    m_reported_at = now;
    double const ratio = std::max(next / m_slowness, m_slowness / next);
    if (ratio < change_ratio)
    {
        return;
    }
    seconds const lasted = now - m_changed_at;
    seconds const mean = seconds{m_mean_duration} +
                         (lasted - seconds{m_mean_duration}) * period_weight;
    m_mean_duration = std::chrono::duration_cast<duration>(mean);
    m_slowness = next;
    m_changed_at = now;
}

speed speed_history::forecast(time_point now) const noexcept
{
    auto const age = now - m_changed_at;
    auto const remaining = std::max<duration>(
        {m_mean_duration - age, m_mean_duration / min_remaining_divisor,
         age / age_remaining_divisor});
    auto const remaining_ms =
        std::chrono::duration_cast<milliseconds>(remaining);
    return {
        .m_slowness = static_cast<std::uint32_t>(m_slowness),
        .m_mean_slowness = static_cast<std::uint32_t>(m_mean),
        .m_remaining_ms = static_cast<std::uint32_t>(remaining_ms.count())};
}

} // namespace hibiscustide::core::routing

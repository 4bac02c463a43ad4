#include <hibiscustide/core/routing/speed.hpp>

#include <algorithm>
#include <cmath>

namespace hibiscustide::core::routing
{

namespace
{

using std::chrono::milliseconds;
using seconds = std::chrono::duration<double>;

// A change by less than this factor continues the present speed.
constexpr double change_ratio = 1.3;

// Weight of one spell in the mean length of spells.
constexpr double spell_weight = 0.15;

// Time over which the mean forgets.
constexpr seconds mean_time{4.0};

// A spell that has outlasted the mean is expected to go on for this part of
// the mean, and at least for this part of its age.
constexpr int least_rest_divisor = 4;
constexpr int age_rest_divisor = 2;

constexpr double least_slowness = 20;

// The first report may come from a slow spell, which says little of the mean.
constexpr double first_mean = 150;

} // namespace

static duration at_slowness(double slowness, duration usual) noexcept
{
    seconds const time =
        seconds{usual} * std::max(slowness, least_slowness) / 100.0;
    return std::chrono::duration_cast<duration>(time);
}

duration time_from_now(speed const& forecast, duration usual) noexcept
{
    return at_slowness(forecast.m_slowness, usual);
}

duration time_after(
    speed const& forecast, duration wait, duration usual) noexcept
{
    bool const is_same = wait < milliseconds{forecast.m_lasts_ms};
    return at_slowness(
        is_same ? forecast.m_slowness : forecast.m_mean_slowness, usual);
}

duration best_wait(speed const& forecast, duration usual) noexcept
{
    duration const rest = milliseconds{forecast.m_lasts_ms};
    auto const later = rest + at_slowness(forecast.m_mean_slowness, usual);
    return later < time_from_now(forecast, usual) ? rest : duration{};
}

duration expected_time(speed const& forecast, duration usual) noexcept
{
    auto const wait = best_wait(forecast, usual);
    return wait + time_after(forecast, wait, usual);
}

void speed_history::on_report(std::uint32_t slowness, time_point now) noexcept
{
    double const next = std::max<double>(slowness, least_slowness);
    if (m_reported_at == time_point{})
    {
        m_slowness = next;
        m_mean = std::min(next, first_mean);
        m_changed_at = now;
        m_reported_at = now;
        return;
    }
    seconds const passed = now - m_reported_at;
    double const weight = 1.0 - std::exp(-passed / mean_time);
    m_mean += (m_slowness - m_mean) * weight;
    m_reported_at = now;
    double const ratio = std::max(next / m_slowness, m_slowness / next);
    if (ratio < change_ratio)
    {
        return;
    }
    seconds const lasted = now - m_changed_at;
    seconds const mean =
        seconds{m_lasts} + (lasted - seconds{m_lasts}) * spell_weight;
    m_lasts = std::chrono::duration_cast<duration>(mean);
    m_slowness = next;
    m_changed_at = now;
}

speed speed_history::forecast(time_point now) const noexcept
{
    auto const age = now - m_changed_at;
    auto const rest = std::max<duration>(
        {m_lasts - age, m_lasts / least_rest_divisor, age / age_rest_divisor});
    auto const rest_ms = std::chrono::duration_cast<milliseconds>(rest);
    return {
        .m_slowness = static_cast<std::uint32_t>(m_slowness),
        .m_mean_slowness = static_cast<std::uint32_t>(m_mean),
        .m_lasts_ms = static_cast<std::uint32_t>(rest_ms.count())};
}

} // namespace hibiscustide::core::routing

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

// A spell that has outlasted the mean is expected to go on for this part of it.
constexpr int least_rest_divisor = 4;

constexpr double least_slowness = 20;

} // namespace

duration expected_time(speed const& forecast, duration usual) noexcept
{
    double const now =
        std::max<double>(forecast.m_slowness, least_slowness) / 100.0;
    double const mean =
        std::max<double>(forecast.m_mean_slowness, least_slowness) / 100.0;
    seconds const lasts = milliseconds{forecast.m_lasts_ms};
    seconds const work = usual;
    seconds const done = lasts / now;
    seconds const time =
        work <= done ? work * now : lasts + (work - done) * mean;
    return std::chrono::duration_cast<duration>(time);
}

void speed_history::on_report(std::uint32_t slowness, time_point now) noexcept
{
    double const next = std::max<double>(slowness, least_slowness);
    if (m_reported_at == time_point{})
    {
        m_slowness = next;
        m_mean = next;
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
    auto const rest =
        std::max<duration>(m_lasts - age, m_lasts / least_rest_divisor);
    auto const rest_ms = std::chrono::duration_cast<milliseconds>(rest);
    return {
        .m_slowness = static_cast<std::uint32_t>(m_slowness),
        .m_mean_slowness = static_cast<std::uint32_t>(m_mean),
        .m_lasts_ms = static_cast<std::uint32_t>(rest_ms.count())};
}

} // namespace hibiscustide::core::routing

#include <hibiscustide/core/hash.hpp>
#include <hibiscustide/core/routing/telling.hpp>

#include <algorithm>
#include <cmath>

namespace hibiscustide::core::routing
{

telling::telling(telling_options const& options)
    : m_options{options}
{
}

bool telling::is_due(target_report const& report, time_point now) const noexcept
{
    return now >= next(report, now);
}

time_point telling::next(
    target_report const& report, time_point /*now*/) const noexcept
{
    return m_told_at +
           (has_changed(report) ? m_options.m_least : m_options.m_most);
}

void telling::on_told(target_report const& report, time_point now) noexcept
{
    m_told = report;
    m_told_at = now;
}

bool telling::has_changed(target_report const& report) const noexcept
{
    bool const state_changed = report.m_open != m_told.m_open ||
                               report.m_cold != m_told.m_cold ||
                               report.m_slots != m_told.m_slots;
    constexpr double failing_step = 15;
    double const failing = report.m_failing;
    bool const failing_changed =
        std::abs(failing - m_told.m_failing) >= failing_step;
    bool const all_matters = !m_options.m_state_only || report.m_cold;
    return state_changed || failing_changed ||
           (all_matters && has_moved(report));
}

bool telling::has_moved(target_report const& report) const noexcept
{
    bool const room_changed =
        (report.m_cold_left == 0) != (m_told.m_cold_left == 0);
    double const before = std::max<std::uint32_t>(m_told.m_speed.m_slowness, 1);
    double const after = std::max<std::uint32_t>(report.m_speed.m_slowness, 1);
    bool const speed_changed =
        std::max(before / after, after / before) >= m_options.m_slowness_ratio;
    double const load = report.m_running + report.m_waiting;
    double const told_load = m_told.m_running + m_told.m_waiting;
    bool const load_changed =
        std::abs(load - told_load) >=
        std::max(1.0, m_options.m_load_share * report.m_slots);
    return room_changed || speed_changed || load_changed;
}

bool is_follower(
    std::string_view teller, std::string_view listener,
    std::size_t listeners) noexcept
{
    return listeners <= most_followers ||
           hash_of(listener, hash_of(teller)) % listeners < most_followers;
}

} // namespace hibiscustide::core::routing

#include <hibiscustide/core/hash.hpp>
#include <hibiscustide/core/routing/report_schedule.hpp>

#include <algorithm>
#include <cmath>

namespace hibiscustide::core::routing
{

report_schedule::report_schedule(report_schedule_options const& options)
    : m_options{options}
{
}

bool report_schedule::is_due(
    target_report const& report, time_point now) const noexcept
{
    return now >= next_send_time(report, now);
}

time_point report_schedule::next_send_time(
    target_report const& report, time_point /*now*/) const noexcept
{
    return m_last_sent_at + (is_change_significant(report)
                                 ? m_options.m_min_interval
                                 : m_options.m_max_interval);
}

void report_schedule::on_report_sent(
    target_report const& report, time_point now) noexcept
{
    m_last_sent = report;
    m_last_sent_at = now;
}

bool report_schedule::is_change_significant(
    target_report const& report) const noexcept
{
    bool const state_changed = report.m_open != m_last_sent.m_open ||
                               report.m_cold != m_last_sent.m_cold ||
                               report.m_slots != m_last_sent.m_slots;
    constexpr double failing_step = 15;
    double const failing = report.m_failure_percent;
    bool const failing_changed =
        std::abs(failing - m_last_sent.m_failure_percent) >= failing_step;
    bool const speed_and_load_matter =
        !m_options.m_defer_speed_and_load || report.m_cold;
    return state_changed || failing_changed ||
           (speed_and_load_matter && has_speed_or_load_changed(report));
}

bool report_schedule::has_speed_or_load_changed(
    target_report const& report) const noexcept
{
    bool const room_changed =
        (report.m_cold_budget == 0) != (m_last_sent.m_cold_budget == 0);
    double const before =
        std::max<std::uint32_t>(m_last_sent.m_speed.m_slowness, 1);
    double const after = std::max<std::uint32_t>(report.m_speed.m_slowness, 1);
    bool const speed_changed = std::max(before / after, after / before) >=
                               m_options.m_min_slowness_ratio;
    double const load = report.m_running + report.m_waiting;
    double const sent_load = m_last_sent.m_running + m_last_sent.m_waiting;
    bool const load_changed =
        std::abs(load - sent_load) >=
        std::max(1.0, m_options.m_min_load_change * report.m_slots);
    return room_changed || speed_changed || load_changed;
}

bool is_follower(
    std::string_view sender, std::string_view receiver,
    std::size_t receivers) noexcept
{
    return receivers <= expected_followers ||
           hash_of(receiver, hash_of(sender)) % receivers < expected_followers;
}

} // namespace hibiscustide::core::routing

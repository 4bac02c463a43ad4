/// \file
/// Decides when a changed load is worth telling.
#ifndef HIBISCUSTIDE_CORE_ROUTING_REPORT_SCHEDULE_HPP
#define HIBISCUSTIDE_CORE_ROUTING_REPORT_SCHEDULE_HPP

#include <chrono>
#include <cstddef>
#include <string_view>

#include <hibiscustide/core/routing/placement.hpp>
#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::routing
{

/// How much must change before an audience is told, and how often it is told
/// in any case.
struct report_schedule_options
{
    double m_min_slowness_ratio = 1.1; ///< Either way.
    double m_min_load_change = 0.1;    ///< Of the slots.
    std::chrono::milliseconds m_min_interval{20};
    std::chrono::milliseconds m_max_interval{400};
    /// Speed and load only at the regular time, unless the target is cold: then
    /// whoever places a request needs to know how little room is left.
    bool m_state_only = false;
};

/// What one audience was told last. Not thread-safe.
class report_schedule
{
public:
    explicit report_schedule(report_schedule_options const& options);

    /// Whether the audience should be told this report now.
    [[nodiscard]] bool is_due(
        target_report const& report, time_point now) const noexcept;

    /// When it should be told the report at the latest; earlier if it changes.
    [[nodiscard]] time_point next_send_time(
        target_report const& report, time_point now) const noexcept;

    /// It has been told.
    void on_report_sent(target_report const& report, time_point now) noexcept;

private:
    [[nodiscard]] bool is_change_significant(
        target_report const& report) const noexcept;

    [[nodiscard]] bool has_speed_or_load_changed(
        target_report const& report) const noexcept;

    report_schedule_options m_options;
    target_report m_last_sent;
    time_point m_last_sent_at{};
};

/// Whether `listener` is among those whom `teller` tells of each change, where
/// `listeners` could be told: all of a few, and `expected_followers` on average
/// of many, so that the messages of a fleet grow with its size and not with its
/// square. Both ends come to the same answer.
[[nodiscard]] bool is_follower(
    std::string_view sender, std::string_view receiver,
    std::size_t receivers) noexcept;

/// How many are told of each change.
inline constexpr std::size_t expected_followers = 12;

} // namespace hibiscustide::core::routing

#endif

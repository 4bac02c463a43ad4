/// \file
/// Decides when a node sends the report of its target's load to its peers.
#ifndef HIBISCUSTIDE_CORE_ROUTING_REPORT_SCHEDULE_HPP
#define HIBISCUSTIDE_CORE_ROUTING_REPORT_SCHEDULE_HPP

#include <chrono>
#include <cstddef>
#include <string_view>

#include <hibiscustide/core/routing/placement.hpp>
#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::routing
{

/// The changes that make a report due and the bounds of the interval between
/// reports.
struct report_schedule_options
{
    /// Factor by which the slowness, the processing time relative to the usual
    /// processing time, must rise or fall to make a report due.
    double m_min_slowness_ratio = 1.1;
    /// Least change of the running plus waiting requests that makes a report
    /// due, as a share of the target's slots, the requests that it may run at
    /// once. A change by less than one request never does.
    double m_min_load_change = 0.1;
    std::chrono::milliseconds m_min_interval{20};  ///< After a change.
    std::chrono::milliseconds m_max_interval{400}; ///< Without a change.
    /// Whether changes of speed and load wait for the maximum interval. Changes
    /// of the failure share, of the slots, of whether the target accepts
    /// requests and of whether it is cold are still sent earlier. While the
    /// target is cold (just started, with a limited request rate), nothing is
    /// deferred, since a node that selects a target needs its remaining
    /// capacity.
    bool m_defer_speed_and_load = false;
};

/// The schedules in force. Traffic within a failure domain is free, traffic
/// between failure domains is expensive, so nodes in other failure domains get
/// reports less often.
inline constexpr report_schedule_options same_domain_reports{
    .m_min_slowness_ratio = 1.1,
    .m_min_load_change = 0.1,
    .m_min_interval = std::chrono::milliseconds{15},
    .m_max_interval = std::chrono::milliseconds{400}};
inline constexpr report_schedule_options follower_reports{
    .m_min_slowness_ratio = 1.4,
    .m_min_load_change = 0.3,
    .m_min_interval = std::chrono::milliseconds{20},
    .m_max_interval = std::chrono::milliseconds{1'500}};
inline constexpr report_schedule_options other_domain_reports{
    .m_min_interval = std::chrono::milliseconds{20},
    .m_max_interval = std::chrono::milliseconds{1'500},
    .m_defer_speed_and_load = true};

/// The schedule of reports to one group of receivers. A node has three groups:
/// the nodes of its own failure domain, its followers in other failure domains
/// (see is_follower), and all nodes of other failure domains. Not thread-safe.
class report_schedule
{
public:
    explicit report_schedule(report_schedule_options const& options);

    /// Whether this report should be sent now.
    [[nodiscard]] bool is_due(
        target_report const& report, time_point now) const noexcept;

    /// When this report is due. A changed report may be due earlier.
    [[nodiscard]] time_point next_send_time(
        target_report const& report, time_point now) const noexcept;

    /// Records that the report was sent.
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

/// Whether `receiver` follows `sender`, that is, gets a report of each change.
/// `receivers` is the number of nodes in other failure domains than the sender.
/// Up to `expected_followers` receivers all follow; of more receivers,
/// `expected_followers` follow on average, so that the number of messages in a
/// fleet grows linearly with its size, not quadratically. Sender and receiver
/// compute the same result.
[[nodiscard]] bool is_follower(
    std::string_view sender, std::string_view receiver,
    std::size_t receivers) noexcept;

/// Expected number of followers of a sender with many receivers.
inline constexpr std::size_t expected_followers = 12;

} // namespace hibiscustide::core::routing

#endif

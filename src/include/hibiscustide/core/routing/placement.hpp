/// \file
/// Chooses the target that is expected to finish a request first.
#ifndef HIBISCUSTIDE_CORE_ROUTING_PLACEMENT_HPP
#define HIBISCUSTIDE_CORE_ROUTING_PLACEMENT_HPP

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include <hibiscustide/core/routing/speed.hpp>
#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::routing
{

/// The state of a target as its node, the process beside it, reports it to the
/// other nodes.
struct target_report
{
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;
    std::uint32_t m_slots = 1; ///< Requests that its node runs at once.
    speed m_speed;
    std::uint32_t m_failure_percent = 0; ///< Of the recent requests.
    /// Requests that a cold target can still accept.
    std::uint32_t m_cold_budget = 0;
    /// Whether the target has just started and its request rate is limited.
    bool m_cold = false;
    bool m_open = true; ///< Whether the target accepts new requests.
    /// The share of its slots with the highest throughput, in percent, as
    /// measured at this target; 0 if it is not known.
    std::uint32_t m_measured_share_percent = 0;
    /// Expected time until a new request of the lowest priority starts.
    std::uint32_t m_wait_ms = 0;

    friend auto operator<=>(target_report const&, target_report const&) =
        default;
};

/// One target as seen from one node. A report is already old when it arrives,
/// so the requests that this node has sent since are added to the reported
/// load. Not thread-safe.
class target_view
{
public:
    /// Age at which a report is stale and its node may be down: for nodes of
    /// the same failure domain, which report often, and for all other nodes.
    static constexpr std::chrono::milliseconds same_domain_report_timeout{
        1'000};
    static constexpr std::chrono::milliseconds other_domain_report_timeout{
        3'500};

    /// Handles a report of a peer. Only a report with a higher sequence number
    /// replaces the previous report. If the peer reports every change, the
    /// reported speed holds until the next report; otherwise it holds for
    /// `m_speed.m_remaining_ms` after the arrival of the report. Whether the
    /// report is stale does not depend on `reports_every_change`.
    void on_report(
        target_report const& report, std::uint64_t sequence, time_point now,
        bool reports_every_change = true);

    /// Handles the report of this node's own target, which is always current.
    void on_local_report(target_report const& report, time_point now);

    /// Records that a request is sent to the target.
    void on_sent() noexcept;

    /// Records that a request to the target has ended.
    void on_ended() noexcept;

    /// Records that the node cannot be reached or that its target fails
    /// requests. The target is ejected for a time that doubles with each
    /// consecutive failure.
    void on_failed(time_point now) noexcept;

    /// Records that the gate has refused a request for lack of room and expects
    /// to have room after `wait`. A later report replaces this.
    void on_full(duration wait, time_point now) noexcept;

    /// When the gate is expected to have room, as its last refusal stated.
    [[nodiscard]] time_point full_until() const noexcept;

    /// Records that a request was answered, which resets the failure count.
    void on_answered() noexcept;

    /// Whether the target is avoided because of recent failures.
    [[nodiscard]] bool is_ejected(time_point now) const noexcept;

    /// Whether no report has arrived or the last report is too old.
    [[nodiscard]] bool is_report_stale(
        bool same_domain, time_point now) const noexcept;

    [[nodiscard]] target_report const& report() const noexcept;
    [[nodiscard]] time_point reported_at() const noexcept;

    /// The reported speed, or the reported mean speed once the reported speed
    /// no longer holds; see on_report().
    [[nodiscard]] speed speed_at(time_point now) const noexcept;

    /// Requests that this node has sent since the last report.
    [[nodiscard]] std::uint32_t sent_since_report() const noexcept;

    /// Estimated number of requests at the target.
    [[nodiscard]] double load() const noexcept;

private:
    target_report m_report;
    std::uint64_t m_sequence = 0;
    time_point m_reported_at{};
    time_point m_ejected_until{};
    time_point m_full_until{};
    std::uint32_t m_in_flight = 0;
    std::uint32_t m_sent_since_report = 0;
    std::uint32_t m_failures = 0;
    bool m_reports_every_change = true;
};

/// One of the targets among which place() chooses.
///
/// A candidate is reachable if it is responsive, its report is not stale and it
/// is not ejected. It has capacity if its target is open and, when cold, has
/// cold budget left. A target whose slots are all in use still has capacity:
/// the queueing time is part of its expected cost.
struct placement_candidate
{
    target_view const* m_view = nullptr; ///< Not owned.
    bool m_same_domain = false;
    bool m_excluded = false;  ///< The target refused or failed this request.
    bool m_responsive = true; ///< Its node answers pings in time.
};

/// Cost of sending a request to another failure domain, as a multiple of the
/// usual processing time.
inline constexpr double cross_domain_cost = 0.8;

/// Expected time that a request sent now spends at the target, queueing
/// included, for work that usually takes `usual_work`.
[[nodiscard]] duration expected_residence_time(
    target_view const& view, duration usual_work, time_point now);

/// Expected cost of sending a request to the candidate, for work that usually
/// takes `usual_work`: the expected time to completion as a multiple of
/// `usual_work`, plus penalties for failures and for another failure domain.
[[nodiscard]] double expected_cost(
    placement_candidate const& candidate, duration usual_work, time_point now);

/// The lowest expected cost of the candidates that are not excluded, are
/// reachable and have capacity; infinity if there are none.
[[nodiscard]] double min_expected_cost(
    std::span<placement_candidate const> candidates, duration usual_work,
    time_point now);

/// What a request needs from a target.
struct request_needs
{
    duration m_usual_work{};     ///< Usual processing time.
    duration m_objective_left{}; ///< Until the answer is late.
    duration m_deadline_left{};  ///< Until the caller stops waiting.
    /// Whether its priority is higher than the lowest of its service. Gates
    /// refuse an urgent request only if it would miss its deadline.
    bool m_urgent = false;
};

/// Returns nothing if a candidate is expected to admit the request, or if none
/// is reachable and has capacity, so that nothing is known about their load.
/// Otherwise returns the expected time until one would admit it.
///
/// When the load exceeds the capacity of a service, its gates refuse what they
/// cannot answer in time. The reports already show that, so the request is
/// refused without being sent to one gate after the other.
[[nodiscard]] std::optional<duration> expected_wait_for_room(
    std::span<placement_candidate const> candidates, request_needs const& needs,
    time_point now);

/// The gates that have refused a request for lack of room.
struct full_gates
{
    std::size_t m_expected = 0;   ///< Gates with a recent report.
    std::size_t m_unexpected = 0; ///< Gates with an old report.

    /// Counts a refusal by the gate of this target.
    void count(target_view const& view, time_point now) noexcept;
};

/// Whether a request is refused after these gates had no room. In an overload,
/// another attempt takes a slot from another caller at best. Only two kinds of
/// requests get further attempts: urgent ones, since the work of their callers
/// is lost if they fail, and those that went to gates whose load was not known.
[[nodiscard]] bool has_tried_enough(
    full_gates const& refused, request_needs const& needs) noexcept;

/// Returns the position of the candidate with the lowest expected cost.
/// Candidates that are unreachable or have no capacity are chosen only if there
/// are no others. Returns nothing if all candidates are excluded. `tie` rotates
/// the order, so that nodes with the same reports do not all choose the same
/// target.
///
/// The expected speed is part of the cost because of noisy neighbours: for half
/// a second at a time, a quarter of the targets take up to seven times as long,
/// then other targets do.
[[nodiscard]] std::optional<std::size_t> place(
    std::span<placement_candidate const> candidates, duration usual_work,
    std::size_t tie, time_point now);

} // namespace hibiscustide::core::routing

#endif

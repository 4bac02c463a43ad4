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

/// What a node tells its peers of the target beside it.
struct target_report
{
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;
    std::uint32_t m_slots = 1;
    speed m_speed;
    std::uint32_t m_failure_percent =
        0; ///< Percent of recent requests that failed.
    std::uint32_t m_cold_budget =
        0; ///< Requests a cold target still bears now.
    bool m_cold = false;
    bool m_open = true; ///< Whether the target takes new requests at all.

    friend auto operator<=>(target_report const&, target_report const&) =
        default;
};

/// One target as seen from one node. The report is old when it arrives; the
/// requests sent since it was taken are added to it. Not thread-safe.
class target_view
{
public:
    /// A node that has told nothing for this long may not be there any more:
    /// one of the own failure domain, which tells often, and any other.
    static constexpr std::chrono::milliseconds same_domain_report_timeout{
        1'000};
    static constexpr std::chrono::milliseconds other_domain_report_timeout{
        3'500};

    /// A report with a higher sequence number replaces the one before. Where
    /// the node tells of each change, silence means that nothing has changed.
    void on_report(
        target_report const& report, std::uint64_t sequence, time_point now,
        bool reports_every_change = true);

    /// The report of the own target, which is never old.
    void on_local_report(target_report const& report, time_point now);

    /// A request is sent there.
    void on_sent() noexcept;

    /// One has ended.
    void on_ended() noexcept;

    /// The node there can't be reached, or its target fails requests: it is
    /// left out for a while that doubles with each failure in a row.
    void on_failed(time_point now) noexcept;

    /// A request was answered.
    void on_answered() noexcept;

    [[nodiscard]] bool is_ejected(time_point now) const noexcept;

    /// Whether its node has told nothing, or nothing lately.
    [[nodiscard]] bool is_report_stale(
        bool same_domain, time_point now) const noexcept;

    [[nodiscard]] target_report const& report() const noexcept;
    [[nodiscard]] time_point reported_at() const noexcept;

    /// The reported speed, as far as it still holds.
    [[nodiscard]] speed speed_at(time_point now) const noexcept;

    /// Requests believed to be at the target.
    [[nodiscard]] double load() const noexcept;

private:
    target_report m_report;
    std::uint64_t m_sequence = 0;
    time_point m_reported_at{};
    time_point m_ejected_until{};
    std::uint32_t m_in_flight = 0;
    std::uint32_t m_sent_since_report = 0;
    std::uint32_t m_failures = 0;
    bool m_reports_every_change = true;
};

/// A target that may be chosen. The view is owned by the caller.
struct placement_candidate
{
    target_view const* m_view = nullptr;
    bool m_same_domain = false;
    bool m_excluded = false;  ///< It has refused or failed this request.
    bool m_responsive = true; ///< Its node has not left a question open.
};

/// The price of leaving the failure domain, in usual work times.
inline constexpr double cross_domain_cost = 0.8;

/// Expected time that a request which is sent now stays at the target, for work
/// that usually takes `usual_work`.
[[nodiscard]] duration expected_residence_time(
    target_view const& view, duration usual_work, time_point now);

/// Expected time to completion of work that usually takes `usual_work`, in
/// usual work times.
[[nodiscard]] double expected_cost(
    placement_candidate const& candidate, duration usual_work, time_point now);

/// The least expected cost of the candidates that are there and have room now;
/// infinity where none is.
[[nodiscard]] double min_expected_cost(
    std::span<placement_candidate const> candidates, duration usual_work,
    time_point now);

/// The position of the candidate with the least expected cost; targets that
/// are left out only where no other is there. Nothing where all are excluded.
/// `tie` rotates the order, so that nodes that see the same don't all choose
/// the same.
///
/// Answers a neighbour's noise: a quarter of the targets work up to seven
/// times as long for half a second, and others the next half second.
[[nodiscard]] std::optional<std::size_t> place(
    std::span<placement_candidate const> candidates, duration usual_work,
    std::size_t tie, time_point now);

} // namespace hibiscustide::core::routing

#endif

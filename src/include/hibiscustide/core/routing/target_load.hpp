/// \file
/// What an ingress knows of the load of one target.
#ifndef HIBISCUSTIDE_CORE_ROUTING_TARGET_LOAD_HPP
#define HIBISCUSTIDE_CORE_ROUTING_TARGET_LOAD_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::routing
{

/// The load that a gate puts on each of its answers.
struct load_report
{
    std::uint32_t m_in_flight = 0;  ///< Requests running or queued at the gate.
    std::uint32_t m_limit = 0;      ///< Requests that may run at once.
    std::uint32_t m_latency_us = 0; ///< Recent mean time at the target.

    friend auto operator<=>(load_report const&, load_report const&) = default;
};

/// "in-flight;limit;latency-us", the form that the load header carries.
[[nodiscard]] std::string to_string(load_report const& report);

/// Reads what to_string writes; nothing for any other text.
[[nodiscard]] std::optional<load_report> parse_load(std::string_view text);

/// One target as seen from one traffic thread of an ingress. Not thread-safe.
///
/// A report is old when it arrives. The estimate adds what this ingress has
/// sent since the report was taken, and an old report fades.
class target_load
{
public:
    /// An attempt is sent. Pair with `on_attempt_ended`.
    void on_attempt_started(time_point now) noexcept;

    /// An attempt that began at `began_at` has ended. `report` is the load on
    /// its answer, if it carried one.
    void on_attempt_ended(
        time_point began_at, time_point now,
        std::optional<load_report> const& report) noexcept;

    /// The node could not be reached or refused for its own sake. It is left
    /// out for a while that doubles with each failure in a row, up to 2 s.
    void on_attempt_failed(time_point now) noexcept;

    /// Whether the target may be chosen at `now`.
    [[nodiscard]] bool is_available(time_point now) const noexcept;

    /// Attempts sent from here and not ended.
    [[nodiscard]] std::uint32_t in_flight() const noexcept;

    /// Requests believed to be at the target, as a share of its limit.
    [[nodiscard]] double estimated_utilisation(time_point now) const noexcept;

    /// Expected time of one more request, in microseconds: recent latency,
    /// stretched by the use of the target.
    [[nodiscard]] double estimated_latency(time_point now) const noexcept;

private:
    load_report m_report{};
    time_point m_reported_at{};
    time_point m_unavailable_until{};
    std::uint32_t m_in_flight = 0;
    std::uint32_t m_sent_since_report = 0;
    std::uint32_t m_failures = 0;
};

} // namespace hibiscustide::core::routing

#endif

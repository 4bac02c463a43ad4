/// \file
/// An ingress node's estimate of the load of one target.
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

/// The load that a gate, the part of a node that admits requests to its own
/// target, reports with each of its answers.
struct load_report
{
    std::uint32_t m_in_flight = 0;  ///< Requests running or queued at the gate.
    std::uint32_t m_limit = 0;      ///< Requests that may run at once.
    std::uint32_t m_latency_us = 0; ///< Recent mean time at the target.

    friend auto operator<=>(load_report const&, load_report const&) = default;
};

/// Formats the report as "in-flight;limit;latency-us", the value of the load
/// header.
[[nodiscard]] std::string to_string(load_report const& report);

/// Parses the output of to_string. Returns nothing for any other text.
[[nodiscard]] std::optional<load_report> parse_load(std::string_view text);

/// The load of one target as estimated by one traffic thread of an ingress. An
/// attempt is one sending of a request to a target. Not thread-safe.
///
/// A report is already old when it arrives. The estimate adds the attempts sent
/// since the report, and the weight of a report decays with its age.
class target_load
{
public:
    /// Records that an attempt is sent. Each call needs a matching call of
    /// `on_attempt_ended`.
    void on_attempt_started(time_point now) noexcept;

    /// Records the end of an attempt that started at `began_at`. `report` is
    /// the load reported with its answer, if any.
    void on_attempt_ended(
        time_point began_at, time_point now,
        std::optional<load_report> const& report) noexcept;

    /// Records that the node could not be reached, or that it refused the
    /// attempt because of a state of the node or its target that would also
    /// affect the next request. The target is ejected for a time that doubles
    /// with each consecutive failure, up to 2 s.
    void on_attempt_failed(time_point now) noexcept;

    /// Whether the target is not ejected at `now`.
    [[nodiscard]] bool is_available(time_point now) const noexcept;

    /// Attempts that this thread sent and that have not ended.
    [[nodiscard]] std::uint32_t in_flight() const noexcept;

    /// Estimated requests at the target divided by its limit.
    [[nodiscard]] double estimated_utilisation(time_point now) const noexcept;

    /// Expected latency of one more request in microseconds: the recent latency
    /// scaled by one plus the utilisation of the target.
    [[nodiscard]] double estimated_latency(time_point now) const noexcept;

private:
    load_report m_report{};
    time_point m_reported_at{};
    time_point m_ejected_until{};
    std::uint32_t m_in_flight = 0;
    std::uint32_t m_sent_since_report = 0;
    std::uint32_t m_failures = 0;
};

} // namespace hibiscustide::core::routing

#endif

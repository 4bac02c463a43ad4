/// \file
/// What is known about whether a request has run.
///
/// Each hop of a call ends in one verdict and hands it on without making it
/// stronger. Only a gate that has written no byte of the request to its
/// target, or an ingress that has not sent the request to a gate, may say
/// refused_not_run.
#ifndef HIBISCUSTIDE_CORE_VERDICT_HPP
#define HIBISCUSTIDE_CORE_VERDICT_HPP

#include <compare>
#include <string_view>
#include <variant>

namespace hibiscustide::core
{

/// Why a request was refused, or why its outcome is unknown.
enum class reason
{
    unknown_service,
    bad_request,
    class_forbidden,
    deadline_passed,
    no_target,
    withdrawn,
    draining,
    target_down,
    target_refused,
    queue_full,
    connect_failed,
    not_home,
    key_conflict,
    key_voided,
    key_unproven,
    records_full,
    previous_home_unreachable,
    connection_broken,
    response_timeout,
    answer_mismatched,
    answer_too_large,
    caller_left,
    retry_budget_spent,
    target_cold,
    peer_unreachable,
    no_configuration,
    no_route,
    gate_restarted,
    crashes_targets,
};

/// The name of a reason as it stands in headers, logs and reports.
[[nodiscard]] std::string_view to_string(reason value) noexcept;

/// The reason with this name; connection_broken for a name that is not known,
/// since that is the reason which promises least.
[[nodiscard]] reason parse_reason(std::string_view name) noexcept;

/// The target answered and the whole answer is at hand.
struct answered
{
    friend auto operator<=>(answered const&, answered const&) = default;
};

/// The request did not run and this attempt at it never will.
struct refused_not_run
{
    reason m_reason = reason::no_target;

    friend auto operator<=>(refused_not_run const&, refused_not_run const&) =
        default;
};

/// The request may have run, wholly or in part.
struct may_have_run
{
    reason m_reason = reason::connection_broken;

    friend auto operator<=>(may_have_run const&, may_have_run const&) = default;
};

using verdict = std::variant<answered, refused_not_run, may_have_run>;

/// The name of a verdict as it stands in the verdict header:
/// "answered", "not-run" or "may-have-run".
[[nodiscard]] std::string_view to_string(verdict const& value) noexcept;

/// Reads the names that to_string writes. Any other name gives may_have_run,
/// the verdict that promises least.
[[nodiscard]] verdict parse_verdict(
    std::string_view name, reason because) noexcept;

} // namespace hibiscustide::core

#endif

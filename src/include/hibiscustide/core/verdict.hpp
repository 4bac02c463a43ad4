/// \file
/// Describes whether a request was executed, as far as it is known.
///
/// Each hop of a call produces one verdict and forwards it without making a
/// stronger claim. Only two components may return refused_not_run: a gate that
/// has not written any byte of the request to its target, and an ingress that
/// has not sent the request to a gate.
#ifndef HIBISCUSTIDE_CORE_VERDICT_HPP
#define HIBISCUSTIDE_CORE_VERDICT_HPP

#include <compare>
#include <string_view>
#include <variant>

namespace hibiscustide::core
{

/// The reason why a request was refused or why its outcome is unknown.
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
    not_owner,
    key_conflict,
    key_voided,
    key_unproven,
    records_full,
    previous_owner_unreachable,
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

/// Returns the name of a reason as used in headers, logs and reports.
[[nodiscard]] std::string_view to_string(reason value) noexcept;

/// Returns the reason with this name. Returns connection_broken for an unknown
/// name, because this reason makes the weakest claim about the request.
[[nodiscard]] reason parse_reason(std::string_view name) noexcept;

/// The target answered and its complete response is available.
struct answered
{
    friend auto operator<=>(answered const&, answered const&) = default;
};

/// The request was not executed, and this attempt will never execute it.
struct refused_not_run
{
    reason m_reason = reason::no_target;

    friend auto operator<=>(refused_not_run const&, refused_not_run const&) =
        default;
};

/// The request may have been executed, completely or in part.
struct may_have_run
{
    reason m_reason = reason::connection_broken;

    friend auto operator<=>(may_have_run const&, may_have_run const&) = default;
};

using verdict = std::variant<answered, refused_not_run, may_have_run>;

/// Returns the name of a verdict as used in the verdict header:
/// "answered", "not-run" or "may-have-run".
[[nodiscard]] std::string_view to_string(verdict const& value) noexcept;

/// Returns the verdict with this name and `why` as its reason, if it has one.
/// Returns may_have_run for an unknown name, because this verdict makes the
/// weakest claim about the request.
[[nodiscard]] verdict parse_verdict(std::string_view name, reason why) noexcept;

} // namespace hibiscustide::core

#endif

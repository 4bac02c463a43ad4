/// \file
/// Describes whether a request was executed, as far as it is known.
///
/// A node is the proxy process beside a target. Its ingress accepts requests
/// from callers and sends each to a node with a suitable target; its gate
/// admits requests to its target.
///
/// An order is a request that runs at most once for its idempotency key. The
/// owner of the key is the only node that may start the order, and keeps its
/// record.
///
/// Each hop of a call produces one verdict about an attempt. A hop that
/// forwards a verdict may replace refused_not_run by may_have_run. It replaces
/// may_have_run only after it has requested the outcome of an order from the
/// owner of its key. Only two components may return refused_not_run: a gate
/// that has not written any byte of the request to its target, or whose target
/// states that it did not run the request, and an ingress that has not sent the
/// request to a gate.
#ifndef HIBISCUSTIDE_CORE_VERDICT_HPP
#define HIBISCUSTIDE_CORE_VERDICT_HPP

#include <compare>
#include <string_view>
#include <variant>

namespace hibiscustide::core
{

/// The reason why a request was refused or why its outcome is unknown. In the
/// written names of not_owner and previous_owner_unreachable, "home" stands for
/// the owner of an order key.
enum class reason
{
    unknown_service, ///< The ingress has no such service in its configuration,
                     ///< or the gate's target does not belong to the service.
    bad_request,     ///< The request is malformed or lacks a required header.
    class_forbidden, ///< The service has no route for the path, or the route is
                     ///< internal and the caller external.
    deadline_passed, ///< The deadline passed, or could no longer be met, before
                     ///< the request was admitted. hibmesh also gives this
                     ///< reason, with may_have_run, if the deadline passes
                     ///< after an attempt began and no attempt has failed; see
                     ///< response_timeout.
    no_target,       ///< The ingress found no target in service that it had not
                     ///< already tried.
    withdrawn, ///< The gate's target is not in service in the configuration, or
               ///< is a different instance from the configured one.
    draining,  ///< The node or the target is shutting down and accepts no new
               ///< requests.
    target_down,    ///< The target is in service, but its health checks do not
                    ///< show it to be up.
    target_refused, ///< The target itself answered that it did not run the
                    ///< request.
    queue_full,     ///< The gate's queue has no room for the request, or every
                    ///< connection to the destination is in use.
    connect_failed, ///< No connection to the target or node could be opened;
                    ///< nothing was sent.
    not_owner,    ///< The node is not the owner of the order's key according to
                  ///< its release note.
    key_conflict, ///< The order's key was recorded with a different request.
    key_voided, ///< The order's key or the attempt is void: it must not run any
                ///< more at this node.
    key_unproven, ///< The order's key has no record, but an earlier run cannot
                  ///< be ruled out.
    records_full, ///< The node has no room for a record of a new order.
    previous_owner_unreachable, ///< A previous owner of the order's key could
                                ///< not be asked whether it has run the order.
    connection_broken, ///< The connection failed after the request was sent in
                       ///< part or in full, or the record of an order has no
                       ///< outcome.
    response_timeout, ///< The request was sent or its order was running, but no
                      ///< response came before the deadline.
    answer_mismatched, ///< The response belongs to a different attempt, or is
                       ///< incomplete or not from the target.
    answer_too_large,  ///< The response exceeds the size limit.
    caller_left, ///< The caller closed its connection before the response, or
                 ///< the ingress cancelled the attempt.
    retry_budget_spent, ///< Reserved; no component gives this reason.
    target_cold,        ///< Reserved; no component gives this reason.
    peer_unreachable, ///< The node of the chosen target could not be reached in
                      ///< time, at first or after the connection was lost.
    no_configuration, ///< The node has not received any configuration yet.
    no_route, ///< The configuration has no route for the request's host and
              ///< path.
    gate_restarted,  ///< The node to which the request was sent has restarted
                     ///< and lost it.
    crashes_targets, ///< Equal requests broke the connections to targets, so
                     ///< the gate blocks the request for a time.
    unauthenticated, ///< The request has no API key of an organisation, and its
                     ///< route requires one.
    quota_exceeded,  ///< The request is over the quota of its organisation.
};

/// Returns the name of a reason as used in the Hibiscustide-Reason header,
/// logs and reports.
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

/// Returns the name of a verdict as used in the Hibiscustide-Verdict header:
/// "answered", "not-run" or "may-have-run".
[[nodiscard]] std::string_view to_string(verdict const& value) noexcept;

/// Returns the verdict with this name and `why` as its reason, if it has one.
/// Returns may_have_run for an unknown name, because this verdict makes the
/// weakest claim about the request.
[[nodiscard]] verdict parse_verdict(std::string_view name, reason why) noexcept;

} // namespace hibiscustide::core

#endif

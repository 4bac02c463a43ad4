/// \file
/// The numbered events that the programs log. docs/EVENTS.md describes the
/// meaning of each event and the operator's response; a unit test checks that
/// page against this list.
#ifndef HIBISCUSTIDE_CORE_OBSERVE_EVENTS_HPP
#define HIBISCUSTIDE_CORE_OBSERVE_EVENTS_HPP

#include <span>
#include <string_view>

namespace hibiscustide::core::observe
{

/// 1xx: the process; 2xx: the configuration, from release notes (hibnode) or
/// from the published items of a directory (hibmesh); 3xx: the target beside
/// the node; 4xx: orders (hibnode); 5xx: peers and the platform; 6xx: requests,
/// of which hibmesh logs 610 to 619 and hibnode 600.
///
/// A node is the proxy process beside a target; its gate admits requests to
/// that target. hibnode and hibmesh are two programs for a node: hibnode gets
/// its configuration, the fleet, from release notes, and hibmesh gets its
/// configuration from a directory. An order is a request that runs at most once
/// for its idempotency key.
///
/// Each enumerator is logged under its own name. "Attempt" means sending a
/// request to one target; a request may have several attempts.
enum class event : unsigned
{
    /// The listeners are open and the node starts to serve.
    node_started = 100,
    /// A graceful shutdown has begun; requests in flight may still finish.
    node_stopping = 101,
    /// The shutdown is complete and the process exits.
    node_stopped = 102,
    /// A listener could not be opened; the process exits.
    listen_failed = 104,
    /// The process did not run for a while: its control thread ran late
    /// (hibnode), or the VM was suspended (hibmesh).
    process_paused = 105,
    /// Log lines were discarded because standard output did not accept them.
    log_dropped = 106,
    /// SIGHUP reloaded valid settings (hibmesh).
    settings_reloaded = 107,
    /// SIGHUP found invalid settings; the previous ones stay (hibmesh). Invalid
    /// settings at the start are written to standard error instead.
    settings_rejected = 108,
    /// An exception ended a handler, or the connection or request that it
    /// served. The process goes on.
    handler_failed = 109,
    /// A setting cannot be read or is out of range, and another value is used
    /// (hibmesh).
    setting_replaced = 110,
    /// A release note was applied and is in force.
    note_accepted = 200,
    /// A release note is malformed or not applicable; the fleet in force stays.
    note_rejected = 201,
    /// A well-formed release note contradicts the notes already applied: it has
    /// the revision of one of them but another text, or its predecessor is not
    /// the note in force.
    note_conflict = 202,
    /// A release note arrived before its predecessors, which are missing.
    notes_missing = 203,
    /// A published configuration came into force.
    configuration_in_force = 210,
    /// A published configuration was ignored, because its version is not higher
    /// than the version in force.
    configuration_left_out = 211,
    /// A published item is malformed and was ignored.
    item_rejected = 212,
    /// The published entry of a target was added or changed.
    target_registered = 213,
    /// The published entry of a target was removed. Unless the target was
    /// draining, it gets requests until its grace period ends.
    target_removed = 214,
    /// A failure domain was taken out of service by a published item.
    domain_withdrawn = 215,
    /// A withdrawn failure domain was returned to service by a published item.
    domain_restored = 216,
    /// The target can get requests: it became healthy, as its probes and
    /// connections show.
    target_up = 300,
    /// The target cannot get requests: it became unhealthy, as its probes and
    /// connections show.
    target_down = 301,
    /// The target itself reports that it is shutting down.
    target_draining = 302,
    /// A release note removed the target or withdrew its failure domain.
    target_withdrawn = 303,
    /// A release note added the target or returned its failure domain to
    /// service. Says nothing about its health; see target_up.
    target_in_service = 304,
    /// The target has started and is warming up: its request rate is limited.
    target_cold = 305,
    /// The target ended shortly after connections of requests broke. These
    /// requests are suspected of having crashed it.
    target_crashed = 306,
    /// An order may or may not have run. The order is not run again while its
    /// record is kept.
    order_outcome_unknown = 400,
    /// This node transferred the ownership of an idempotency key to the node
    /// that now owns the key, and gave it the state of the key.
    order_key_handed_over = 401,
    /// An order was refused because there is no space for its record.
    order_records_full = 402,
    /// The service that publishes the configuration stopped answering.
    platform_unreachable = 500,
    /// The service that publishes the configuration answers again.
    platform_reachable = 501,
    /// The platform lists the VM of this node as leaving, so the node takes no
    /// new requests for its target (hibnode).
    vm_leaving = 502,
    /// The publishing service no longer has the changes since the node's last
    /// read, so the node reads all items again.
    history_lost = 503,
    /// The publishing service was restored from an older copy, whose items
    /// replace the known ones (hibmesh).
    publisher_restored = 504,
    /// A target's entry is ignored because a later one of the same start was
    /// seen before (hibmesh).
    entry_outdated = 505,
    /// A connection to a peer could not be opened.
    peer_unreachable = 510,
    /// A peer with an open connection did not answer a ping in time; another
    /// connection is opened.
    peer_silent = 511,
    /// A peer that was silent answers again, on the same connection or on the
    /// one that replaces it.
    peer_responsive = 512,
    /// A sender of requests did not reconnect in time after its connection had
    /// ended, so the gate aborted its running idempotent requests.
    sender_lost = 513,
    /// The target's answer belongs to another attempt and was not used.
    answer_mismatched = 600,
    /// A request of a caller ended, with its verdict.
    request_ended = 610,
    /// An attempt ended without running; the request may go to another target.
    attempt_refused = 611,
    /// An attempt failed and may have run: no complete answer arrived, or the
    /// target answered with a server error that may be retried.
    attempt_failed = 612,
    /// A slow attempt is still running, and the request is also sent to a
    /// second target.
    attempt_repeated = 613,
    /// The caller disconnected or cancelled before the request ended.
    caller_left = 614,
    /// A target was chosen for an attempt.
    attempt_placed = 615,
    /// The gate of the local target refused a request of this node or of a
    /// peer. The node that sent the attempt logs attempt_refused.
    gate_refused = 616,
    /// Bytes that the target sent during a request are not its answer, and were
    /// discarded.
    answer_discarded = 617,
    /// A request of a caller was refused because of its API key.
    key_refused = 618,
    /// A request of a caller was refused because it is over the quota of its
    /// organisation.
    quota_refused = 619,
};

/// The severity of an event, in ascending order.
enum class level
{
    debug,
    info,
    warn,
    error,
};

/// The level and the name under which an event is logged.
struct event_entry
{
    event m_event;
    level m_level;
    std::string_view m_name;
};

/// All events, sorted by number.
[[nodiscard]] std::span<event_entry const> event_catalogue() noexcept;

/// The catalogue's entry for an event.
[[nodiscard]] event_entry const& entry_of(event id) noexcept;

} // namespace hibiscustide::core::observe

#endif

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

/// 1xx: the process; 2xx: release notes; 3xx: the target; 4xx: orders;
/// 5xx: peers and the platform; 6xx: traffic.
enum class event : unsigned
{
    node_started = 100,
    node_stopping = 101,
    node_stopped = 102,
    listen_failed = 104,
    process_paused = 105,
    log_dropped = 106,
    settings_reloaded = 107,
    settings_rejected = 108,
    note_accepted = 200,
    note_rejected = 201,
    note_conflict = 202,
    notes_missing = 203,
    configuration_in_force = 210,
    configuration_left_out = 211,
    item_rejected = 212,
    target_registered = 213,
    target_removed = 214,
    domain_withdrawn = 215,
    domain_restored = 216,
    target_up = 300,
    target_down = 301,
    target_draining = 302,
    target_withdrawn = 303,
    target_in_service = 304,
    target_cold = 305,
    target_crashed = 306,
    order_outcome_unknown = 400,
    order_key_transferred = 401,
    order_records_full = 402,
    platform_unreachable = 500,
    platform_reachable = 501,
    vm_leaving = 502,
    history_lost = 503,
    peer_unreachable = 510,
    peer_silent = 511,
    answer_mismatched = 600,
    request_ended = 610,
    attempt_refused = 611,
    attempt_failed = 612,
    attempt_repeated = 613,
    caller_left = 614,
    attempt_placed = 615,
    gate_refused = 616,
};

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

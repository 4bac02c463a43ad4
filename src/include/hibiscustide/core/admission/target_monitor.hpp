/// \file
/// Tracks the state of a target of hibnode from probes and from requests.
#ifndef HIBISCUSTIDE_CORE_ADMISSION_TARGET_MONITOR_HPP
#define HIBISCUSTIDE_CORE_ADMISSION_TARGET_MONITOR_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

namespace hibiscustide::core::admission
{

/// State of a target.
enum class target_state
{
    unknown,  ///< No probe has ended yet; gets no requests.
    up,       ///< Accepts requests.
    draining, ///< Finishes its requests and accepts no new ones.
    down,     ///< The last probe failed, or a request could not connect.
};

[[nodiscard]] std::string_view to_string(target_state value) noexcept;

/// The answer of a target's health endpoint.
struct probe_answer
{
    bool m_draining = false;
    std::uint64_t m_incarnation = 0; ///< Changes with each start of the target.

    friend auto operator<=>(probe_answer const&, probe_answer const&) = default;
};

/// The effect of an observation.
struct monitor_change
{
    bool m_state_changed = false;
    /// The target counts as restarted: the gate lowers its limit of concurrent
    /// requests to the cold slots, the limit of a target that has just started.
    bool m_turned_cold = false;
};

/// Tracks the state of a target for hibnode's gate, the part of a node that
/// admits requests to its own target. (hibmesh's gate uses target_health.)
///
/// Health endpoints lag behind the true state, so a failed connection marks the
/// target as down at once, and an answered probe does not end draining unless
/// the target has restarted. Not thread-safe.
class target_monitor
{
public:
    /// A probe was answered, or failed (nullopt).
    [[nodiscard]] monitor_change on_probe(
        std::optional<probe_answer> const& answer);

    /// No connection could be made for a request. The target is down until the
    /// next answered probe, which also makes it cold.
    [[nodiscard]] monitor_change on_connect_failed();

    /// The target refused a request because it is draining.
    [[nodiscard]] monitor_change on_draining();

    /// The target closed or reset the connection of a request that it was
    /// running, so it may have restarted. It turns cold, and its state stays.
    [[nodiscard]] monitor_change on_request_aborted();

    [[nodiscard]] target_state state() const noexcept;

private:
    [[nodiscard]] monitor_change set_state(target_state next, bool cold);

    target_state m_state = target_state::unknown;
    std::uint64_t m_incarnation = 0;
};

} // namespace hibiscustide::core::admission

#endif

/// \file
/// What a gate knows of the state of its target.
#ifndef HIBISCUSTIDE_CORE_ADMISSION_TARGET_MONITOR_HPP
#define HIBISCUSTIDE_CORE_ADMISSION_TARGET_MONITOR_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

namespace hibiscustide::core::admission
{

enum class target_state
{
    unknown,  ///< Not probed yet.
    up,       ///< Takes work.
    draining, ///< Finishes what it runs and takes no new work.
    down,     ///< Takes no connections.
};

[[nodiscard]] std::string_view to_string(target_state value) noexcept;

/// What the target's health endpoint said.
struct probe_answer
{
    bool m_draining = false;
    std::uint64_t m_incarnation = 0; ///< Differs after each start.

    friend auto operator<=>(probe_answer const&, probe_answer const&) = default;
};

/// What follows from an observation.
struct monitor_change
{
    bool m_state_changed = false;
    bool m_turned_cold = false; ///< The target has started anew.
};

/// Follows the target's state from probes and from traffic. The endpoints lag,
/// so a refused connection counts at once and an answered probe counts only
/// for what it says of the target itself. Not thread-safe.
class target_monitor
{
public:
    /// A probe was answered, or gave nothing.
    [[nodiscard]] monitor_change on_probe(
        std::optional<probe_answer> const& answer);

    /// A connection for a request was refused.
    [[nodiscard]] monitor_change on_connect_failed();

    /// The target refused a request because it drains.
    [[nodiscard]] monitor_change on_draining();

    /// The target broke off a request that it was running.
    [[nodiscard]] monitor_change on_request_aborted();

    [[nodiscard]] target_state state() const noexcept;

private:
    [[nodiscard]] monitor_change set_state(target_state next, bool cold);

    target_state m_state = target_state::unknown;
    std::uint64_t m_incarnation = 0;
};

} // namespace hibiscustide::core::admission

#endif

#include <hibiscustide/core/admission/target_monitor.hpp>

namespace hibiscustide::core::admission
{

std::string_view to_string(target_state value) noexcept
{
    switch (value)
    {
    case target_state::up:
        return "up";
    case target_state::draining:
        return "draining";
    case target_state::down:
        return "down";
    case target_state::unknown:
        break;
    }
    return "unknown";
}

monitor_change target_monitor::on_probe(
    std::optional<probe_answer> const& answer)
{
    if (!answer)
    {
        return set_state(target_state::down, false);
    }
    bool const is_restarted = answer->m_incarnation != m_incarnation;
    bool const was_down = m_state == target_state::down;
    m_incarnation = answer->m_incarnation;
    // A lagging health endpoint may still report "up" while the target drains.
    if (m_state == target_state::draining && !is_restarted)
    {
        return {};
    }
    auto const next =
        answer->m_draining ? target_state::draining : target_state::up;
    return set_state(next, is_restarted || was_down);
}

monitor_change target_monitor::on_connect_failed()
{
    return set_state(target_state::down, false);
}

monitor_change target_monitor::on_draining()
{
    return set_state(target_state::draining, false);
}

monitor_change target_monitor::on_request_aborted()
{
    return {.m_state_changed = false, .m_turned_cold = true};
}

target_state target_monitor::state() const noexcept
{
    return m_state;
}

monitor_change target_monitor::set_state(target_state next, bool cold)
{
    bool const is_changed = next != m_state;
    m_state = next;
    return {.m_state_changed = is_changed, .m_turned_cold = cold};
}

} // namespace hibiscustide::core::admission

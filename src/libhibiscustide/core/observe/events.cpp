#include <hibiscustide/core/observe/events.hpp>

#include <array>

namespace hibiscustide::core::observe
{

namespace
{

constexpr auto catalogue = std::to_array<event_entry>({
    {event::node_started, level::info, "node_started"},
    {event::node_stopping, level::info, "node_stopping"},
    {event::node_stopped, level::info, "node_stopped"},
    {event::listen_failed, level::error, "listen_failed"},
    {event::process_paused, level::warn, "process_paused"},
    {event::log_dropped, level::warn, "log_dropped"},
    {event::settings_reloaded, level::info, "settings_reloaded"},
    {event::settings_rejected, level::error, "settings_rejected"},
    {event::handler_failed, level::error, "handler_failed"},
    {event::setting_replaced, level::error, "setting_replaced"},
    {event::note_accepted, level::info, "note_accepted"},
    {event::note_rejected, level::error, "note_rejected"},
    {event::note_conflict, level::error, "note_conflict"},
    {event::notes_missing, level::debug, "notes_missing"},
    {event::configuration_in_force, level::info, "configuration_in_force"},
    {event::configuration_left_out, level::debug, "configuration_left_out"},
    {event::item_rejected, level::warn, "item_rejected"},
    {event::target_registered, level::info, "target_registered"},
    {event::target_removed, level::info, "target_removed"},
    {event::domain_withdrawn, level::info, "domain_withdrawn"},
    {event::domain_restored, level::info, "domain_restored"},
    {event::target_up, level::info, "target_up"},
    {event::target_down, level::warn, "target_down"},
    {event::target_draining, level::info, "target_draining"},
    {event::target_withdrawn, level::info, "target_withdrawn"},
    {event::target_in_service, level::info, "target_in_service"},
    {event::target_cold, level::info, "target_cold"},
    {event::target_crashed, level::warn, "target_crashed"},
    {event::order_outcome_unknown, level::warn, "order_outcome_unknown"},
    {event::order_key_handed_over, level::debug, "order_key_handed_over"},
    {event::order_records_full, level::error, "order_records_full"},
    {event::platform_unreachable, level::warn, "platform_unreachable"},
    {event::platform_reachable, level::info, "platform_reachable"},
    {event::vm_leaving, level::info, "vm_leaving"},
    {event::history_lost, level::info, "history_lost"},
    {event::publisher_restored, level::warn, "publisher_restored"},
    {event::entry_outdated, level::info, "entry_outdated"},
    {event::peer_unreachable, level::warn, "peer_unreachable"},
    {event::peer_silent, level::warn, "peer_silent"},
    {event::peer_responsive, level::info, "peer_responsive"},
    {event::sender_lost, level::warn, "sender_lost"},
    {event::answer_mismatched, level::warn, "answer_mismatched"},
    {event::request_ended, level::info, "request_ended"},
    {event::attempt_refused, level::info, "attempt_refused"},
    {event::attempt_failed, level::info, "attempt_failed"},
    {event::attempt_repeated, level::info, "attempt_repeated"},
    {event::caller_left, level::info, "caller_left"},
    {event::attempt_placed, level::info, "attempt_placed"},
    {event::gate_refused, level::info, "gate_refused"},
    {event::answer_discarded, level::warn, "answer_discarded"},
    {event::key_refused, level::info, "key_refused"},
    {event::quota_refused, level::info, "quota_refused"},
});

} // namespace

std::span<event_entry const> event_catalogue() noexcept
{
    return catalogue;
}

event_entry const& entry_of(event id) noexcept
{
    for (auto const& entry : catalogue)
    {
        if (entry.m_event == id)
        {
            return entry;
        }
    }
    return catalogue.front();
}

} // namespace hibiscustide::core::observe

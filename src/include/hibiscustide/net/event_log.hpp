/// \file
/// Writes numbered events as one line of JSON each.
#ifndef HIBISCUSTIDE_NET_EVENT_LOG_HPP
#define HIBISCUSTIDE_NET_EVENT_LOG_HPP

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include <hibiscustide/core/observe/events.hpp>

namespace hibiscustide::net
{

/// One named value of an event.
struct event_field
{
    std::string_view m_name;
    std::variant<std::string_view, std::int64_t, double> m_value;
};

/// Sends events of this level and above to standard output. `process` stands in
/// each line. Call once, before the first event.
void open_event_log(std::string const& process, std::string const& level);

/// Changes the level from which events are written.
void set_event_level(std::string const& level);

/// Writes one event: time, process, number, level, name and the fields.
/// Thread-safe; never waits. Lines are gathered and written by
/// `flush_event_log`, which a warning calls itself.
void log_event(
    core::observe::event which, std::initializer_list<event_field> fields = {});

/// Writes what was gathered, as far as standard output takes it, and says how
/// many lines were dropped. Call it several times a second and at the end.
void flush_event_log();

} // namespace hibiscustide::net

#endif

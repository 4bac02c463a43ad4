/// \file
/// Writes numbered events as JSON, one line for each event.
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

/// A named value of an event.
struct event_field
{
    std::string_view m_name;
    std::variant<std::string_view, std::int64_t, double> m_value;
};

/// Opens the event log on standard output. Events below `level` are discarded.
/// `process` is the name of the process and is written in every line; `level`
/// is a log level of the settings, such as "info". Must be called once, before
/// the first event.
void open_event_log(std::string const& process, std::string const& level);

/// Sets the minimum level of the events that are written.
void set_event_level(std::string const& level);

/// Writes an event: time, process, number, level, name and fields. Thread-safe;
/// never blocks. Lines are buffered until `flush_event_log`, and an event of
/// level warn or higher flushes the buffer at once.
void log_event(
    core::observe::event id, std::initializer_list<event_field> fields = {});

/// Writes the buffered lines, as many as standard output accepts without
/// blocking, and logs the number of dropped lines. Must be called several times
/// a second and before the process exits.
void flush_event_log();

} // namespace hibiscustide::net

#endif

#include <hibiscustide/net/event_log.hpp>

#include <atomic>
#include <chrono>
#include <iterator>

#include <unistd.h>

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include "net/clock.hpp"
#include "net/log_sink.hpp"

namespace hibiscustide::net
{

namespace
{

// Lines in one second beyond which the rest of that second is dropped.
constexpr std::uint32_t max_lines_per_second = 1'000;

struct log_target
{
    std::shared_ptr<spdlog::logger> m_logger;
    std::shared_ptr<log_sink> m_sink;
    std::string m_process;
    std::atomic<std::int64_t> m_second{0};
    std::atomic<std::uint32_t> m_lines{0};
    std::atomic<std::uint64_t> m_dropped{0};
};

log_target& target()
{
    static log_target value;
    return value;
}

spdlog::level::level_enum to_spdlog(core::observe::level value)
{
    switch (value)
    {
    case core::observe::level::debug:
        return spdlog::level::debug;
    case core::observe::level::info:
        return spdlog::level::info;
    case core::observe::level::warn:
        return spdlog::level::warn;
    case core::observe::level::error:
        break;
    }
    return spdlog::level::err;
}

using line_buffer = fmt::basic_memory_buffer<char, 512>;

void append_text(line_buffer& line, std::string_view text)
{
    constexpr unsigned char first_printable = 0x20;
    line.push_back('"');
    for (auto const c : text)
    {
        if (c == '"' || c == '\\')
        {
            line.push_back('\\');
            line.push_back(c);
        }
        else if (static_cast<unsigned char>(c) < first_printable)
        {
            fmt::format_to(
                std::back_inserter(line), "\\u{:04x}",
                static_cast<unsigned>(static_cast<unsigned char>(c)));
        }
        else
        {
            line.push_back(c);
        }
    }
    line.push_back('"');
}

struct append_value
{
    line_buffer& m_line;

    void operator()(std::string_view text) const
    {
        append_text(m_line, text);
    }
    void operator()(std::int64_t number) const
    {
        fmt::format_to(std::back_inserter(m_line), "{}", number);
    }
    void operator()(double number) const
    {
        fmt::format_to(std::back_inserter(m_line), "{:.3f}", number);
    }
};

bool has_room(log_target& to, std::int64_t second)
{
    if (to.m_second.exchange(second, std::memory_order_relaxed) != second)
    {
        to.m_lines.store(0, std::memory_order_relaxed);
    }
    auto const lines = to.m_lines.fetch_add(1, std::memory_order_relaxed);
    return lines < max_lines_per_second;
}

} // namespace

void open_event_log(std::string const& process, std::string const& level)
{
    auto& to = target();
    to.m_sink = std::make_shared<log_sink>(STDOUT_FILENO);
    to.m_logger = std::make_shared<spdlog::logger>("events", to.m_sink);
    to.m_logger->flush_on(spdlog::level::warn);
    to.m_process = process;
    set_event_level(level);
}

void set_event_level(std::string const& level)
{
    target().m_logger->set_level(spdlog::level::from_str(level));
}

void log_event(
    core::observe::event which, std::initializer_list<event_field> fields)
{
    auto& to = target();
    auto const& entry = core::observe::entry_of(which);
    auto const level = to_spdlog(entry.m_level);
    if (!to.m_logger || !to.m_logger->should_log(level))
    {
        return;
    }
    auto const now = unix_now();
    if (!has_room(
            to, std::chrono::duration_cast<std::chrono::seconds>(now).count()))
    {
        to.m_dropped.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    line_buffer line;
    fmt::format_to(
        std::back_inserter(line), R"({{"time_ms":{},"process":)", now.count());
    append_text(line, to.m_process);
    fmt::format_to(
        std::back_inserter(line), R"(,"event":{},"level":"{}","name":"{}")",
        static_cast<unsigned>(which),
        spdlog::level::to_string_view(level).data(), entry.m_name);
    for (auto const& field : fields)
    {
        line.push_back(',');
        append_text(line, field.m_name);
        line.push_back(':');
        std::visit(append_value{line}, field.m_value);
    }
    line.push_back('}');
    to.m_logger->log(level, std::string_view{line.data(), line.size()});
}

void flush_event_log()
{
    auto& to = target();
    if (!to.m_logger)
    {
        return;
    }
    auto const dropped = to.m_sink->take_dropped() +
                         to.m_dropped.exchange(0, std::memory_order_relaxed);
    if (dropped > 0)
    {
        log_event(
            core::observe::event::log_dropped,
            {{"lines", static_cast<std::int64_t>(dropped)}});
    }
    to.m_logger->flush();
}

} // namespace hibiscustide::net

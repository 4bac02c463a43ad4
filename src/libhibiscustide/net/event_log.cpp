#include <hibiscustide/net/event_log.hpp>

#include <algorithm>
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

// Maximum number of lines per second. Further lines in the same second are
// dropped.
constexpr std::uint32_t max_lines_per_second = 1'000;

struct log_state
{
    std::shared_ptr<spdlog::logger> m_logger;
    std::shared_ptr<log_sink> m_sink;
    std::string m_process;
    std::atomic<std::int64_t> m_second{0};
    std::atomic<std::uint32_t> m_lines{0};
    std::atomic<std::uint64_t> m_dropped{0};
};

log_state& global_state()
{
    static log_state value;
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

// Length of the UTF-8 sequence at the start of the text; 0 if it is invalid.
std::size_t sequence_length(std::string_view text)
{
    auto const byte = [text](std::size_t n)
    {
        return n < text.size() ? static_cast<unsigned char>(text[n]) : 0U;
    };
    auto const is_next = [byte](std::size_t n)
    {
        return (byte(n) & 0xc0U) == 0x80U;
    };
    auto const first = byte(0);
    if (first < 0x80U)
    {
        return 1;
    }
    if (first >= 0xc2U && first < 0xe0U)
    {
        return is_next(1) ? 2 : 0;
    }
    // The second byte excludes overlong sequences, surrogates and numbers above
    // the last code point.
    auto const second = byte(1);
    if (first >= 0xe0U && first < 0xf0U)
    {
        bool const is_excluded = (first == 0xe0U && second < 0xa0U) ||
                                 (first == 0xedU && second >= 0xa0U);
        return !is_excluded && is_next(1) && is_next(2) ? 3 : 0;
    }
    bool const is_excluded = first < 0xf0U || first > 0xf4U ||
                             (first == 0xf0U && second < 0x90U) ||
                             (first == 0xf4U && second >= 0x90U);
    return !is_excluded && is_next(1) && is_next(2) && is_next(3) ? 4 : 0;
}

// Appends a JSON string. Bytes that are no UTF-8 are replaced, since the text
// may come from another program.
void append_string(line_buffer& line, std::string_view text)
{
    constexpr unsigned char first_printable = 0x20;
    line.push_back('"');
    while (!text.empty())
    {
        auto const c = text.front();
        auto const length = sequence_length(text);
        if (length == 0)
        {
            line.append(std::string_view{"\\ufffd"});
        }
        else if (c == '"' || c == '\\')
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
            line.append(text.substr(0, length));
        }
        text.remove_prefix(std::max<std::size_t>(length, 1));
    }
    line.push_back('"');
}

struct value_appender
{
    line_buffer& m_line;

    void operator()(std::string_view text) const
    {
        append_string(m_line, text);
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

bool is_within_rate_limit(log_state& state, std::int64_t second)
{
    if (state.m_second.exchange(second, std::memory_order_relaxed) != second)
    {
        state.m_lines.store(0, std::memory_order_relaxed);
    }
    auto const lines = state.m_lines.fetch_add(1, std::memory_order_relaxed);
    return lines < max_lines_per_second;
}

} // namespace

void open_event_log(std::string const& process, std::string const& level)
{
    auto& state = global_state();
    state.m_sink = std::make_shared<log_sink>(STDOUT_FILENO);
    state.m_logger = std::make_shared<spdlog::logger>("events", state.m_sink);
    state.m_logger->flush_on(spdlog::level::warn);
    state.m_process = process;
    set_event_level(level);
}

void set_event_level(std::string const& level)
{
    global_state().m_logger->set_level(spdlog::level::from_str(level));
}

void log_event(
    core::observe::event id, std::initializer_list<event_field> fields)
{
    auto& state = global_state();
    auto const& entry = core::observe::entry_of(id);
    auto const level = to_spdlog(entry.m_level);
    if (!state.m_logger || !state.m_logger->should_log(level))
    {
        return;
    }
    auto const now = unix_now();
    if (!is_within_rate_limit(
            state,
            std::chrono::duration_cast<std::chrono::seconds>(now).count()))
    {
        state.m_dropped.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    line_buffer line;
    fmt::format_to(
        std::back_inserter(line), R"({{"time_ms":{},"process":)", now.count());
    append_string(line, state.m_process);
    fmt::format_to(
        std::back_inserter(line), R"(,"event":{},"level":"{}","name":"{}")",
        static_cast<unsigned>(id), spdlog::level::to_string_view(level).data(),
        entry.m_name);
    for (auto const& field : fields)
    {
        line.push_back(',');
        append_string(line, field.m_name);
        line.push_back(':');
        std::visit(value_appender{line}, field.m_value);
    }
    line.push_back('}');
    state.m_logger->log(level, std::string_view{line.data(), line.size()});
}

void flush_event_log()
{
    auto& state = global_state();
    if (!state.m_logger)
    {
        return;
    }
    auto const dropped = state.m_sink->take_dropped() +
                         state.m_dropped.exchange(0, std::memory_order_relaxed);
    if (dropped > 0)
    {
        log_event(
            core::observe::event::log_dropped,
            {{"lines", static_cast<std::int64_t>(dropped)}});
    }
    state.m_logger->flush();
}

} // namespace hibiscustide::net

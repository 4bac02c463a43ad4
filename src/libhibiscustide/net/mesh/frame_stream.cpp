#include "net/mesh/frame_stream.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/write.hpp>

#include "net/clock.hpp"
#include "net/failure_guard.hpp"
#include "net/mesh/codec.hpp"
#include "net/socket.hpp"

namespace hibiscustide::net::mesh
{

namespace
{

// Smallest buffer space for one read. While a long message is received, the
// space grows with the bytes that are buffered.
constexpr std::size_t min_read_bytes = 4'096;

// Longest fragment of a long message.
constexpr std::size_t max_fragment_bytes = 8'192;

// Size of the urgent frames above which no further one is passed to the socket
// in the same operation.
constexpr std::size_t max_written_bytes = 16'384;

} // namespace

frame_stream::frame_stream(asio::ip::tcp::socket socket)
    : m_socket{std::move(socket)},
      m_last_received_at{clock_now()}
{
    beast::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    enable_keepalive(m_socket.native_handle());
}

void frame_stream::start(message_handler on_message, closed_handler on_closed)
{
    m_on_message = std::move(on_message);
    m_on_closed = std::move(on_closed);
    auto self = shared_from_this();
    asio::co_spawn(
        m_socket.get_executor(),
        [self]() -> awaitable<void>
        {
            co_await self->read_loop();
        },
        [self](std::exception_ptr const& error)
        {
            self->close_if_failed(error);
        });
}

void frame_stream::send(message const& value)
{
    if (!m_open)
    {
        return;
    }
    auto const bytes = encode_message(value);
    bool const is_urgent = bytes.size() <= max_urgent_bytes &&
                           !std::holds_alternative<body_piece>(value);
    // A list of resumed requests must arrive before the requests that follow.
    bool const is_ordered = std::holds_alternative<run_request>(value) ||
                            std::holds_alternative<resume_requests>(value);
    if (is_urgent || is_ordered)
    {
        auto const* const request = std::get_if<run_request>(&value);
        queue_urgent(
            bytes,
            request == nullptr ? std::nullopt : std::optional{request->m_id});
    }
    else
    {
        queue_in_fragments(bytes);
    }
    start_writing();
}

void frame_stream::send_encoded(std::string_view bytes)
{
    if (!m_open)
    {
        return;
    }
    if (bytes.size() <= max_urgent_bytes)
    {
        queue_urgent(bytes, std::nullopt);
    }
    else
    {
        queue_in_fragments(bytes);
    }
    start_writing();
}

bool frame_stream::remove_unwritten(std::uint64_t request_id)
{
    auto const it = std::find_if(
        m_urgent_frames.begin(), m_urgent_frames.end(),
        [request_id](urgent_frame const& frame)
        {
            return frame.m_request_id == request_id;
        });
    if (it == m_urgent_frames.end())
    {
        return false;
    }
    m_urgent_frames.erase(it);
    return true;
}

void frame_stream::queue_urgent(
    std::string_view bytes, std::optional<std::uint64_t> request_id)
{
    auto frame = encode_frame_header({.m_length = bytes.size()});
    frame += bytes;
    m_urgent_frames.push_back(
        {.m_bytes = std::move(frame), .m_request_id = request_id});
}

void frame_stream::start_writing()
{
    if (std::exchange(m_writing, true))
    {
        return;
    }
    auto self = shared_from_this();
    asio::co_spawn(
        m_socket.get_executor(),
        [self]() -> awaitable<void>
        {
            co_await self->write_loop();
        },
        [self](std::exception_ptr const& error)
        {
            self->close_if_failed(error);
        });
}

void frame_stream::close()
{
    m_open = false;
    m_on_message = nullptr;
    m_on_closed = nullptr;
    beast::error_code ignored;
    m_socket.close(ignored);
}

bool frame_stream::is_open() const noexcept
{
    return m_open;
}

bool frame_stream::has_unsent() const noexcept
{
    return m_writing;
}

bool frame_stream::is_flushed()
{
    return !m_open ||
           (!m_writing && unconfirmed_bytes(m_socket.native_handle()) == 0);
}

core::time_point frame_stream::last_received_at() const noexcept
{
    return m_last_received_at;
}

awaitable<void> frame_stream::read_loop()
{
    while (m_open)
    {
        auto const size = std::max(min_read_bytes, m_buffer.size());
        auto const [error, count] =
            co_await m_socket.async_read_some(m_buffer.prepare(size), no_throw);
        if (error)
        {
            break;
        }
        m_buffer.commit(count);
        m_last_received_at = clock_now();
        if (!handle_frames())
        {
            break;
        }
    }
    close_on_error();
}

awaitable<void> frame_stream::write_loop()
{
    while (m_open && (!m_urgent_frames.empty() || !m_bulk_frames.empty()))
    {
        auto const bytes = take_next_bytes();
        auto const [error, count] =
            co_await asio::async_write(m_socket, asio::buffer(bytes), no_throw);
        if (error)
        {
            close_on_error();
        }
    }
    m_writing = false;
}

void frame_stream::queue_in_fragments(std::string_view message_bytes)
{
    while (!message_bytes.empty())
    {
        auto const part = message_bytes.substr(0, max_fragment_bytes);
        message_bytes.remove_prefix(part.size());
        auto const kind = message_bytes.empty() ? frame_kind::last_fragment
                                                : frame_kind::fragment;
        auto frame =
            encode_frame_header({.m_kind = kind, .m_length = part.size()});
        frame += part;
        m_bulk_frames.push_back(std::move(frame));
    }
}

// Urgent frames and one other. A frame that has been taken can no longer be
// removed, so the number of urgent ones is limited.
std::string frame_stream::take_next_bytes()
{
    std::string bytes;
    while (!m_urgent_frames.empty() && bytes.size() < max_written_bytes)
    {
        bytes += m_urgent_frames.front().m_bytes;
        m_urgent_frames.pop_front();
    }
    if (!m_bulk_frames.empty())
    {
        bytes += m_bulk_frames.front();
        m_bulk_frames.pop_front();
    }
    return bytes;
}

// Handles each complete frame. Returns false if the stream must be closed or
// has been closed.
bool frame_stream::handle_frames()
{
    while (m_buffer.size() >= frame_header_bytes)
    {
        auto const data = m_buffer.cdata();
        std::string_view const bytes{
            static_cast<char const*>(data.data()), data.size()};
        auto const header = decode_frame_header(bytes);
        if (header.m_length > max_message_bytes)
        {
            return false;
        }
        if (bytes.size() < frame_header_bytes + header.m_length)
        {
            break;
        }
        bool const can_continue = handle_frame(
            header, bytes.substr(frame_header_bytes, header.m_length));
        if (!can_continue || !m_open)
        {
            return false;
        }
        m_buffer.consume(frame_header_bytes + header.m_length);
    }
    return true;
}

// Passes the message that the frame contains or completes to the handler.
// Returns false if it is malformed or too long.
bool frame_stream::handle_frame(
    frame_header const& header, std::string_view bytes)
{
    std::string whole;
    if (header.m_kind != frame_kind::whole)
    {
        if (m_partial_message.size() + bytes.size() > max_message_bytes)
        {
            return false;
        }
        m_partial_message += bytes;
        if (header.m_kind != frame_kind::last_fragment)
        {
            return true;
        }
        whole = std::exchange(m_partial_message, {});
        bytes = whole;
    }
    auto value = decode_message(bytes);
    if (!value || !m_on_message)
    {
        return false;
    }
    // The copy keeps the handler alive if it closes the stream, which resets
    // m_on_message.
    auto const handler = m_on_message;
    handler(std::move(*value));
    return true;
}

// The message that caused an exception has been taken from the stream in part,
// so that the messages behind it cannot be read.
void frame_stream::close_if_failed(std::exception_ptr const& error)
{
    if (error)
    {
        log_failure("connection to a node", error);
        close_on_error();
    }
}

void frame_stream::close_on_error()
{
    if (!std::exchange(m_open, false))
    {
        return;
    }
    auto const handler = std::exchange(m_on_closed, nullptr);
    m_on_message = nullptr;
    beast::error_code ignored;
    m_socket.close(ignored);
    if (handler)
    {
        handler();
    }
}

} // namespace hibiscustide::net::mesh

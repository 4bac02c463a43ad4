#include "net/mesh/frame_stream.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include "net/clock.hpp"
#include "net/mesh/codec.hpp"
#include "net/socket.hpp"

namespace hibiscustide::net::mesh
{

namespace
{

// Smallest buffer space for one read. While a long message is received, the
// space grows with the bytes that are buffered.
constexpr std::size_t min_read_bytes = 4'096;

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
        asio::detached);
}

void frame_stream::send(message const& value)
{
    if (!m_open)
    {
        return;
    }
    m_write_buffer += encode_frame(value);
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
        asio::detached);
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
    while (m_open && !m_write_buffer.empty())
    {
        std::string const bytes = std::exchange(m_write_buffer, {});
        auto const [error, count] =
            co_await asio::async_write(m_socket, asio::buffer(bytes), no_throw);
        if (error)
        {
            close_on_error();
        }
    }
    m_writing = false;
}

// Passes each complete message to the handler. Returns false if the stream must
// be closed or has been closed: a message is malformed or too long, or the
// handler closed the stream.
bool frame_stream::handle_frames()
{
    while (m_buffer.size() >= frame_header_bytes)
    {
        auto const data = m_buffer.cdata();
        std::string_view const bytes{
            static_cast<char const*>(data.data()), data.size()};
        auto const length = frame_length(bytes);
        if (length > max_frame_bytes)
        {
            return false;
        }
        if (bytes.size() < frame_header_bytes + length)
        {
            break;
        }
        auto value = decode_message(bytes.substr(frame_header_bytes, length));
        m_buffer.consume(frame_header_bytes + length);
        if (!value || !m_on_message)
        {
            return false;
        }
        // The copy keeps the handler alive if it closes the stream, which
        // resets m_on_message.
        auto const handler = m_on_message;
        handler(std::move(*value));
        if (!m_open)
        {
            return false;
        }
    }
    return true;
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

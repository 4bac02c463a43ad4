#include "net/body_writer.hpp"

#include <exception>
#include <string>
#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include "net/clock.hpp"
#include "net/failure_guard.hpp"
#include "net/http_io.hpp"

namespace hibiscustide::net
{

namespace
{

namespace http = beast::http;

// Largest number of bytes of a body that are written at once.
constexpr std::size_t piece_bytes = 16'384;

} // namespace

body_writer::body_writer(
    beast::tcp_stream& stream, body_buffer_ptr body,
    core::time_point latest_start)
    : m_stream{stream},
      m_body{std::move(body)},
      m_latest_start{latest_start},
      m_changed{stream.get_executor()},
      m_end{stream.get_executor()}
{
    m_changed.expires_at(asio::steady_timer::time_point::max());
    m_end.expires_at(asio::steady_timer::time_point::max());
}

awaitable<void> body_writer::run(http_request header)
{
    try
    {
        co_await write(header);
    }
    catch (...)
    {
        log_failure("request with a body", std::current_exception());
        m_stream.close();
    }
    m_body->on_change(nullptr);
    m_has_ended = true;
    m_end.cancel();
}

awaitable<void> body_writer::write(http_request& header)
{
    m_body->on_change(
        [this]
        {
            m_changed.cancel();
        });
    if (clock_now() >= m_latest_start)
    {
        m_stream.close();
        co_return;
    }
    bool is_open = co_await write_header(header);
    while (is_open && !m_stopped && !m_complete)
    {
        is_open = co_await write_available();
        bool const has_failed =
            m_body->current_state() == body_buffer::state::failed;
        bool const is_waiting = is_open && !has_failed && !m_complete &&
                                m_position >= m_body->size();
        if (has_failed)
        {
            m_stream.close();
            break;
        }
        if (is_waiting && !m_stopped)
        {
            co_await m_changed.async_wait(no_throw);
        }
    }
}

void body_writer::stop()
{
    m_stopped = true;
    m_changed.cancel();
}

awaitable<void> body_writer::wait()
{
    while (!m_has_ended)
    {
        co_await m_end.async_wait(no_throw);
    }
}

bool body_writer::is_complete() const noexcept
{
    return m_complete;
}

bool body_writer::has_failed() const noexcept
{
    return m_failed;
}

bool body_writer::has_sent() const noexcept
{
    return m_sent_bytes > 0;
}

// Returns whether the write has succeeded.
bool body_writer::record_write(
    beast::error_code error, std::size_t count) noexcept
{
    m_sent_bytes += count;
    m_failed = m_failed || error;
    return !error;
}

awaitable<bool> body_writer::write_header(http_request& header)
{
    auto const length = m_body->length();
    m_is_chunked = !length.has_value();
    http::request<http::empty_body> message{std::move(header.base())};
    if (m_is_chunked)
    {
        message.chunked(true);
    }
    else
    {
        message.content_length(*length);
    }
    if (!header.m_long_fields.empty())
    {
        auto const text = head_text(message, header.m_long_fields);
        auto const [error, count] =
            co_await asio::async_write(m_stream, asio::buffer(text), no_throw);
        co_return record_write(error, count);
    }
    http::request_serializer<http::empty_body> serializer{message};
    auto const [error, count] =
        co_await http::async_write_header(m_stream, serializer, no_throw);
    co_return record_write(error, count);
}

// Writes the bytes that have arrived, and the end of the body if it is
// complete. Returns false if the connection has failed.
awaitable<bool> body_writer::write_available()
{
    while (!m_stopped)
    {
        // The buffer may change during the write.
        std::string const bytes{m_body->read(m_position, piece_bytes)};
        if (bytes.empty())
        {
            break;
        }
        if (!co_await write_piece(bytes))
        {
            co_return false;
        }
        m_position += bytes.size();
        m_body->release_before(m_position);
    }
    bool const is_last =
        m_body->current_state() == body_buffer::state::complete &&
        m_position == m_body->size();
    if (is_last && !m_stopped)
    {
        m_complete = co_await write_end();
        co_return m_complete;
    }
    co_return true;
}

awaitable<bool> body_writer::write_piece(std::string_view bytes)
{
    asio::const_buffer const buffer{bytes.data(), bytes.size()};
    if (m_is_chunked)
    {
        auto const [error, count] = co_await asio::async_write(
            m_stream, http::make_chunk(buffer), no_throw);
        co_return record_write(error, count);
    }
    auto const [error, count] =
        co_await asio::async_write(m_stream, buffer, no_throw);
    co_return record_write(error, count);
}

awaitable<bool> body_writer::write_end()
{
    if (!m_is_chunked)
    {
        co_return true;
    }
    auto const [error, count] =
        co_await asio::async_write(m_stream, http::make_chunk_last(), no_throw);
    co_return record_write(error, count);
}

} // namespace hibiscustide::net

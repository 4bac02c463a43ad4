/// \file
/// Writes a request whose body may still be arriving.
#ifndef HIBISCUSTIDE_NET_BODY_WRITER_HPP
#define HIBISCUSTIDE_NET_BODY_WRITER_HPP

#include <cstddef>
#include <memory>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <hibiscustide/core/time.hpp>

#include "net/body_buffer.hpp"
#include "net/http_types.hpp"

namespace hibiscustide::net
{

/// Writes the header of a request, and its body as it arrives in a body_buffer.
/// A body of known length is written with its length, any other in chunks. If
/// the body ends early, the connection is closed, so that its server cannot
/// take what it has received for the whole. Runs on one io_context.
class body_writer
{
public:
    /// The stream must outlive the writer. Nothing is written from
    /// `latest_start` on unless the first byte was written before.
    body_writer(
        beast::tcp_stream& stream, body_buffer_ptr body,
        core::time_point latest_start);

    /// Writes until the body is complete, has failed, or stop() is called. Must
    /// be called once.
    awaitable<void> run(http_request header);

    /// Ends run(), whose writes the caller has cancelled.
    void stop();

    /// Waits until run() has ended.
    awaitable<void> wait();

    /// Whether the whole request has been written.
    [[nodiscard]] bool is_complete() const noexcept;

    /// Whether a write has failed.
    [[nodiscard]] bool has_failed() const noexcept;

    /// Whether any byte of the request may have been sent.
    [[nodiscard]] bool has_sent() const noexcept;

private:
    awaitable<void> write(http_request& header);
    bool record_write(beast::error_code error, std::size_t count) noexcept;
    awaitable<bool> write_header(http_request& header);
    awaitable<bool> write_available();
    awaitable<bool> write_piece(std::string_view bytes);
    awaitable<bool> write_end();

    beast::tcp_stream& m_stream;
    body_buffer_ptr m_body;
    core::time_point m_latest_start;
    asio::steady_timer m_changed; ///< Cancelled when there may be progress.
    asio::steady_timer m_end;     ///< Cancelled when run() has ended.
    std::uint64_t m_position = 0; ///< Number of body bytes that were written.
    std::size_t m_sent_bytes = 0;
    bool m_is_chunked = false;
    bool m_complete = false;
    bool m_failed = false;
    bool m_stopped = false;
    bool m_has_ended = false; ///< Whether run() has ended.
};

} // namespace hibiscustide::net

#endif

/// \file
/// Reads and writes complete HTTP messages on a stream. All of Beast's parsers
/// are instantiated here.
#ifndef HIBISCUSTIDE_NET_HTTP_IO_HPP
#define HIBISCUSTIDE_NET_HTTP_IO_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "net/http_types.hpp"
#include <hibiscustide/core/time.hpp>

namespace hibiscustide::net
{

/// The maximum size of an accepted message.
struct message_limits
{
    std::uint32_t m_max_header_bytes = 16'384;
    std::size_t m_max_body_bytes = 1'048'576;
};

/// Waits until data arrives or the stream fails, at most for `timeout` if it is
/// given. Returns at once if the buffer already contains data.
awaitable<beast::error_code> wait_for_data(
    beast::tcp_stream& stream, beast::flat_buffer& buffer,
    std::optional<core::duration> timeout);

/// Reads a complete request within `timeout`.
awaitable<std::variant<http_request, beast::error_code>> read_request(
    beast::tcp_stream& stream, beast::flat_buffer& buffer,
    message_limits const& limits, core::duration timeout);

/// Reads a complete response before `deadline`. `is_head` states that it is the
/// response to a HEAD request and so has no body.
awaitable<std::variant<http_response, beast::error_code>> read_response(
    beast::tcp_stream& stream, beast::flat_buffer& buffer,
    message_limits const& limits, bool is_head, core::time_point deadline);

/// The result of writing a message.
struct write_result
{
    beast::error_code m_error;
    std::size_t m_written = 0; ///< Bytes passed to the kernel.
};

/// Writes a request before `deadline`.
awaitable<write_result> write_request(
    beast::tcp_stream& stream, http_request const& request,
    core::time_point deadline);

/// Writes a response within `timeout`.
awaitable<write_result> write_response(
    beast::tcp_stream& stream, http_response const& response,
    core::duration timeout);

/// Returns the status of the response to a request that could not be read: 431,
/// 413, 408 or 400. Returns `unknown` if the connection has ended, so that no
/// response can be sent.
[[nodiscard]] status status_for_read_error(beast::error_code error) noexcept;

} // namespace hibiscustide::net

#endif

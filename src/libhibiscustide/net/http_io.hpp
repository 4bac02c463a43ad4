/// \file
/// Reads and writes whole HTTP messages on a stream. The one place that
/// instantiates Beast's parsers and serializers.
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

/// How much of a message is accepted.
struct message_limits
{
    std::uint32_t m_max_header_bytes = 16'384;
    std::size_t m_max_body_bytes = 1'048'576;
};

/// Waits until the peer sends something, or gives an error; no longer than
/// `limit` where there is one. Data that is already in the buffer ends the wait
/// at once.
awaitable<beast::error_code> wait_for_data(
    beast::tcp_stream& stream, beast::flat_buffer& buffer,
    std::optional<core::duration> limit);

/// Reads one request whole within `limit`.
awaitable<std::variant<http_request, beast::error_code>> read_request(
    beast::tcp_stream& stream, beast::flat_buffer& buffer,
    message_limits const& limits, core::duration limit);

/// Reads one response whole by `deadline`. `head` tells that it answers a HEAD
/// request and so has no body.
awaitable<std::variant<http_response, beast::error_code>> read_response(
    beast::tcp_stream& stream, beast::flat_buffer& buffer,
    message_limits const& limits, bool head, core::time_point deadline);

/// What came of writing a message.
struct write_result
{
    beast::error_code m_error;
    std::size_t m_written = 0; ///< Bytes handed to the system.
};

awaitable<write_result> write_request(
    beast::tcp_stream& stream, http_request const& request,
    core::time_point deadline);

awaitable<write_result> write_response(
    beast::tcp_stream& stream, http_response const& response,
    core::duration limit);

/// What to answer to a request that could not be read: 431, 413, 408 or 400.
/// A code of `unknown` says that nobody is there to be answered.
[[nodiscard]] status status_for(beast::error_code error) noexcept;

} // namespace hibiscustide::net

#endif

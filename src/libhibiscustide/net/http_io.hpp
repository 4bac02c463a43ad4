/// \file
/// Reads and writes complete HTTP messages on a stream.
#ifndef HIBISCUSTIDE_NET_HTTP_IO_HPP
#define HIBISCUSTIDE_NET_HTTP_IO_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "net/http_types.hpp"
#include <hibiscustide/core/admission/buffer_quota.hpp>
#include <hibiscustide/core/time.hpp>

namespace hibiscustide::net
{

/// The maximum size of an accepted message.
struct message_limits
{
    std::uint32_t m_max_header_bytes = 16'384;
    std::size_t m_max_body_bytes = 1'048'576;
};

/// The number of bytes that a connection needs to hold before they are parsed:
/// a head, the size line of a chunk or the fields behind the last chunk. A
/// message with a longer part is refused, so that the buffer of a connection
/// takes no more than this, whatever its peer sends.
[[nodiscard]] std::size_t max_unparsed_bytes(
    message_limits const& limits) noexcept;

/// Waits until data arrives or the stream fails, at most for `timeout` if it is
/// given. Returns at once if the buffer already contains data.
awaitable<beast::error_code> wait_for_data(
    beast::tcp_stream& stream, beast::flat_buffer& buffer,
    std::optional<core::duration> timeout);

/// Reads a complete request within `timeout`.
awaitable<std::variant<http_request, beast::error_code>> read_request(
    beast::tcp_stream& stream, beast::flat_buffer& buffer,
    message_limits const& limits, core::duration timeout);

/// Reads a request whose body is passed on while it arrives.
class request_reader
{
public:
    explicit request_reader(message_limits const& limits);
    ~request_reader();

    request_reader(request_reader const&) = delete;
    request_reader& operator=(request_reader const&) = delete;

    /// Reads the request line and the header fields within `timeout`. After
    /// the error `http::error::buffer_overflow`, the caller may raise the
    /// limit of the buffer and call the function again; read_body likewise.
    awaitable<beast::error_code> read_header(
        beast::tcp_stream& stream, beast::flat_buffer& buffer,
        core::duration timeout);

    /// Reads the next bytes of the body, at most `max`, within `timeout`, and
    /// appends them to `bytes`. May append nothing without an error.
    awaitable<beast::error_code> read_body(
        beast::tcp_stream& stream, beast::flat_buffer& buffer,
        core::duration timeout, std::size_t max, std::string& bytes);

    /// Whether the whole request has been read.
    [[nodiscard]] bool is_done() const;

    /// Length of the body; nothing if it is sent in chunks.
    [[nodiscard]] std::optional<std::uint64_t> body_length() const;

    /// Length of the request line and the header fields.
    [[nodiscard]] std::size_t head_size() const noexcept;

    /// Returns the request without its body. May be called once.
    [[nodiscard]] http_request take_request();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// Writes the interim response that permits a client to send a body.
awaitable<beast::error_code> write_continue(
    beast::tcp_stream& stream, core::duration timeout);

/// Reads a complete response before `deadline` and skips interim responses.
/// `is_head` states that it is the response to a HEAD request and so has no
/// body. Fails with `http::error::body_limit` if the body exceeds the limits or
/// its share of a quota, with `http::error::header_limit` or
/// `http::error::buffer_overflow` if another part is too long, with
/// `http::error::bad_value` if the head contains a second status line, and with
/// a head_error if the head or that of an interim response is malformed.
awaitable<std::variant<http_response, beast::error_code>> read_response(
    beast::tcp_stream& stream, beast::flat_buffer& buffer,
    message_limits const& limits, core::admission::buffer_quota::share& share,
    bool is_head, core::time_point deadline);

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

/// Returns the head of a request as it is sent, with its long fields.
[[nodiscard]] std::string head_text(
    beast::http::request_header<> const& header,
    header_fields const& long_fields);

/// Writes a response within `timeout`.
awaitable<write_result> write_response(
    beast::tcp_stream& stream, http_response const& response,
    core::duration timeout);

/// Whether a part of the message exceeds its size limit.
[[nodiscard]] bool is_too_large(beast::error_code error) noexcept;

/// Whether the bytes that were read are not a message in the protocol. The end
/// of the connection within a message is no such error.
[[nodiscard]] bool is_parse_error(beast::error_code error) noexcept;

/// Returns the status of the response to a request that could not be read: 431,
/// 413, 408, 400, or 503 if there is no memory for it. Returns `unknown` if the
/// connection has ended, so that no response can be sent.
[[nodiscard]] status status_for_read_error(beast::error_code error) noexcept;

} // namespace hibiscustide::net

#endif

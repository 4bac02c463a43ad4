#include "net/http_io.hpp"

#include <algorithm>
#include <sstream>
#include <string_view>
#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "net/embedded_responses.hpp"
#include "net/head_check.hpp"
#include "net/message_parser.hpp"

namespace hibiscustide::net
{

namespace
{

namespace http = beast::http;

constexpr std::size_t initial_read_bytes = 2'048;

// Least limit of a buffer. Other code reads up to 4,096 bytes at once into an
// empty buffer.
constexpr std::size_t min_buffer_limit_bytes = 8'192;
constexpr unsigned http_1_1 = 11;

// Number of interim responses that may precede a response.
constexpr int max_interim_responses = 16;

bool contains_status_line(beast::string_view text)
{
    return find_status_line({text.data(), text.size()}, 0) !=
           std::string_view::npos;
}

bool is_interim(http_response const& response)
{
    return !is_final_status(response.result_int());
}

// Whether the head consists of the beginning of one response and of another
// response, so that the status belongs to one and other fields to the other. A
// server that stops within a head and goes on with the next response on the
// connection sends such a head.
bool has_two_status_lines(http_response const& response)
{
    return contains_status_line(response.reason()) ||
           std::any_of(
               response.begin(), response.end(),
               [](auto const& each)
               {
                   return contains_status_line(each.value());
               });
}

// Largest number of bytes that are read at once.
constexpr std::size_t max_read_bytes = 65'536;

struct head_result
{
    beast::error_code m_error;
    std::size_t m_removed = 0; // Bytes that were removed from the buffer.
};

// Reads the rest of a head, which the check and the parser have to accept.
// After a buffer overflow it may be called again.
template <typename Parser>
awaitable<head_result> read_head(
    beast::tcp_stream& stream, beast::flat_buffer& buffer, Parser& parser,
    head_check& check)
{
    head_result read;
    while (true)
    {
        if (buffer.size() > 0)
        {
            auto const unread = buffer.cdata();
            auto const violation = check.check(
                {static_cast<char const*>(unread.data()), unread.size()});
            if (violation)
            {
                read.m_error = make_error_code(*violation);
                co_return read;
            }
            auto const count = parser.put(unread, read.m_error);
            buffer.consume(count);
            check.on_removed(count);
            read.m_removed += count;
            if (parser.is_header_done() ||
                read.m_error != http::error::need_more)
            {
                co_return read;
            }
        }
        if (buffer.size() >= buffer.max_size())
        {
            read.m_error = http::error::buffer_overflow;
            co_return read;
        }
        auto const room = std::min(
            {max_read_bytes, buffer.max_size() - buffer.size(),
             std::max(initial_read_bytes, buffer.capacity() - buffer.size())});
        auto const [error, count] =
            co_await stream.async_read_some(buffer.prepare(room), no_throw);
        buffer.commit(count);
        if (error == asio::error::eof)
        {
            read.m_error = parser.got_some() ? http::error::partial_message
                                             : http::error::end_of_stream;
            co_return read;
        }
        if (error)
        {
            read.m_error = error;
            co_return read;
        }
    }
}

} // namespace

std::size_t max_unparsed_bytes(message_limits const& limits) noexcept
{
    return std::max<std::size_t>(
        limits.m_max_header_bytes, min_buffer_limit_bytes);
}

awaitable<beast::error_code> wait_for_data(
    beast::tcp_stream& stream, beast::flat_buffer& buffer,
    std::optional<core::duration> timeout)
{
    if (buffer.size() > 0)
    {
        co_return beast::error_code{};
    }
    if (timeout)
    {
        stream.expires_after(*timeout);
    }
    else
    {
        stream.expires_never();
    }
    auto const [error, count] = co_await stream.async_read_some(
        buffer.prepare(initial_read_bytes), no_throw);
    buffer.commit(count);
    co_return error;
}

awaitable<std::variant<http_request, beast::error_code>> read_request(
    beast::tcp_stream& stream, beast::flat_buffer& buffer,
    message_limits const& limits, core::duration timeout)
{
    request_parser<http::string_body> parser;
    parser.header_limit(limits.m_max_header_bytes);
    parser.body_limit(limits.m_max_body_bytes);
    head_check check{head_check::kind::request};
    stream.expires_after(timeout);
    auto const head = co_await read_head(stream, buffer, parser, check);
    if (head.m_error)
    {
        co_return head.m_error;
    }
    if (!parser.is_done())
    {
        auto const [error, count] =
            co_await http::async_read(stream, buffer, parser, no_throw);
        static_cast<void>(count);
        if (error)
        {
            co_return error;
        }
    }
    http_request request{parser.release()};
    request.m_long_fields = parser.take_long_fields();
    co_return request;
}

struct request_reader::implementation
{
    request_parser<http::buffer_body> m_parser;
    head_check m_check{head_check::kind::request};
    std::optional<std::uint64_t> m_body_length;
    std::size_t m_head_size = 0;
};

request_reader::request_reader(message_limits const& limits)
    : m_implementation{std::make_unique<implementation>()}
{
    m_implementation->m_parser.header_limit(limits.m_max_header_bytes);
    m_implementation->m_parser.body_limit(limits.m_max_body_bytes);
}

request_reader::~request_reader() = default;

awaitable<beast::error_code> request_reader::read_header(
    beast::tcp_stream& stream, beast::flat_buffer& buffer,
    core::duration timeout)
{
    auto& parser = m_implementation->m_parser;
    stream.expires_after(timeout);
    auto const read =
        co_await read_head(stream, buffer, parser, m_implementation->m_check);
    m_implementation->m_head_size += read.m_removed;
    if (!read.m_error && !parser.chunked())
    {
        m_implementation->m_body_length =
            parser.content_length_remaining().value_or(0);
    }
    co_return read.m_error;
}

awaitable<beast::error_code> request_reader::read_body(
    beast::tcp_stream& stream, beast::flat_buffer& buffer,
    core::duration timeout, std::size_t max, std::string& bytes)
{
    auto& parser = m_implementation->m_parser;
    auto const before = bytes.size();
    bytes.resize(before + max);
    parser.get().body().data = bytes.data() + before;
    parser.get().body().size = max;
    parser.get().body().more = true;
    stream.expires_after(timeout);
    auto [error, count] =
        co_await http::async_read_some(stream, buffer, parser, no_throw);
    static_cast<void>(count);
    bytes.resize(before + max - parser.get().body().size);
    // The parser reports with this error that the space is used up.
    if (error == http::error::need_buffer)
    {
        error = {};
    }
    co_return error;
}

bool request_reader::is_done() const
{
    return m_implementation->m_parser.is_done();
}

std::optional<std::uint64_t> request_reader::body_length() const
{
    return m_implementation->m_body_length;
}

std::size_t request_reader::head_size() const noexcept
{
    return m_implementation->m_head_size;
}

http_request request_reader::take_request()
{
    http_request request;
    auto& parser = m_implementation->m_parser;
    request.base() = std::move(parser.get().base());
    request.m_long_fields = parser.take_long_fields();
    return request;
}

awaitable<beast::error_code> write_continue(
    beast::tcp_stream& stream, core::duration timeout)
{
    http::response<http::empty_body> const response{
        status::continue_, http_1_1};
    stream.expires_after(timeout);
    auto const [error, count] =
        co_await http::async_write(stream, response, no_throw);
    static_cast<void>(count);
    co_return error;
}

// Reads a response, which may be an interim one.
static awaitable<std::variant<http_response, beast::error_code>>
read_any_response(
    beast::tcp_stream& stream, beast::flat_buffer& buffer,
    message_limits const& limits, core::admission::buffer_quota::share& share,
    bool is_head)
{
    response_parser<http::string_body> parser;
    parser.skip(is_head);
    parser.header_limit(limits.m_max_header_bytes);
    parser.body_limit(limits.m_max_body_bytes);
    head_check check{head_check::kind::response};
    auto const head = co_await read_head(stream, buffer, parser, check);
    if (head.m_error)
    {
        co_return head.m_error;
    }
    while (!parser.is_done())
    {
        auto const [error, count] =
            co_await http::async_read_some(stream, buffer, parser, no_throw);
        static_cast<void>(count);
        if (error)
        {
            co_return error;
        }
        // The string may have reserved twice its size.
        if (!share.grow_to(parser.get().body().capacity()))
        {
            co_return beast::error_code{http::error::body_limit};
        }
    }
    auto response = parser.release();
    if (has_two_status_lines(response))
    {
        co_return beast::error_code{http::error::bad_value};
    }
    co_return response;
}

awaitable<std::variant<http_response, beast::error_code>> read_response(
    beast::tcp_stream& stream, beast::flat_buffer& buffer,
    message_limits const& limits, core::admission::buffer_quota::share& share,
    bool is_head, core::time_point deadline)
{
    stream.expires_at(deadline);
    for (int n = 0; n <= max_interim_responses; ++n)
    {
        auto read =
            co_await read_any_response(stream, buffer, limits, share, is_head);
        auto const* const response = std::get_if<http_response>(&read);
        if (response == nullptr || !is_interim(*response))
        {
            co_return std::move(read);
        }
    }
    co_return beast::error_code{http::error::bad_status};
}

awaitable<write_result> write_request(
    beast::tcp_stream& stream, http_request const& request,
    core::time_point deadline)
{
    stream.expires_at(deadline);
    if (!request.m_long_fields.empty())
    {
        auto const text =
            head_text(request, request.m_long_fields) + request.body();
        auto const [error, count] =
            co_await asio::async_write(stream, asio::buffer(text), no_throw);
        co_return write_result{.m_error = error, .m_written = count};
    }
    auto const [error, count] =
        co_await http::async_write(stream, request, no_throw);
    co_return write_result{.m_error = error, .m_written = count};
}

std::string head_text(
    beast::http::request_header<> const& header,
    header_fields const& long_fields)
{
    constexpr std::string_view line_end = "\r\n";
    std::ostringstream stream;
    stream << header;
    auto text = stream.str();
    // The empty line follows the long fields.
    text.resize(text.size() - line_end.size());
    for (auto const& each : long_fields)
    {
        text += each.m_name + ": " + each.m_value;
        text += line_end;
    }
    text += line_end;
    return text;
}

awaitable<write_result> write_response(
    beast::tcp_stream& stream, http_response const& response,
    core::duration timeout)
{
    stream.expires_after(timeout);
    auto const [error, count] =
        co_await http::async_write(stream, response, no_throw);
    co_return write_result{.m_error = error, .m_written = count};
}

bool is_too_large(beast::error_code error) noexcept
{
    return error == http::error::body_limit ||
           error == http::error::header_limit ||
           error == http::error::buffer_overflow;
}

bool is_parse_error(beast::error_code error) noexcept
{
    bool const is_violation =
        error.category() == make_error_code(head_error::status).category();
    bool const is_from_parser =
        error.category() ==
        http::make_error_code(http::error::bad_field).category();
    return is_violation ||
           (is_from_parser && error != http::error::end_of_stream &&
            error != http::error::partial_message);
}

status status_for_read_error(beast::error_code error) noexcept
{
    if (error == http::error::header_limit)
    {
        return status::request_header_fields_too_large;
    }
    if (error == http::error::body_limit)
    {
        return status::payload_too_large;
    }
    if (error == beast::error::timeout)
    {
        return status::request_timeout;
    }
    if (error == asio::error::no_memory)
    {
        return status::service_unavailable;
    }
    return is_parse_error(error) ? status::bad_request : status::unknown;
}

} // namespace hibiscustide::net

// Requests of callers. The first byte of an input selects where the bytes are
// split.
#include "http_message.hpp"

#include <boost/beast/http/write.hpp>

#include "net/headers.hpp"
#include "net/malformed_heads.hpp"

namespace hibiscustide::fuzz
{

namespace
{

using outcome = http_outcome<net::http_request>;

// Body bytes that are read at once.
constexpr std::size_t body_piece_bytes = 7;

outcome read_whole(std::string_view bytes, std::size_t split)
{
    return read_http<net::http_request>(
        [](auto& stream,
           auto& buffer) -> net::awaitable<std::optional<net::http_request>>
        {
            auto result = co_await net::read_request(
                stream, buffer, http_limits, http_timeout);
            auto* const request = std::get_if<net::http_request>(&result);
            co_return request == nullptr ? std::nullopt
                                         : std::optional{std::move(*request)};
        },
        bytes, split);
}

net::awaitable<std::optional<net::http_request>> read_by_pieces(
    net::beast::tcp_stream& stream, net::beast::flat_buffer& buffer)
{
    net::request_reader reader{http_limits};
    auto error = co_await reader.read_header(stream, buffer, http_timeout);
    if (error)
    {
        co_return std::nullopt;
    }
    auto request = reader.take_request();
    auto const length = reader.body_length();
    while (!reader.is_done())
    {
        error = co_await reader.read_body(
            stream, buffer, http_timeout, body_piece_bytes, request.body());
        if (error)
        {
            co_return std::nullopt;
        }
    }
    require(
        !length || *length == request.body().size(),
        "the body has the announced length");
    co_return request;
}

// A request that is forwarded with a length is one request, and the same.
void require_forwardable(net::http_request request)
{
    net::headers::remove_hop_by_hop(request);
    request.version(11);
    request.content_length(request.body().size());
    auto const again = read_whole(to_wire(request), 0);
    require(
        again.m_message && again.m_rest.empty() &&
            again.m_message->method_string() == request.method_string() &&
            again.m_message->target() == request.target() &&
            again.m_message->body() == request.body() &&
            to_text(*again.m_message) == to_text(request),
        "a forwarded request has the same line, fields and body");
}

std::string make_seed(
    char selector, net::beast::http::verb method, std::string body,
    bool chunked)
{
    net::http_request request{method, "/a/b?c=d", 11};
    request.set("Host", "x.example");
    request.set("X-Id", "a1");
    request.body() = std::move(body);
    if (chunked)
    {
        request.chunked(true);
    }
    else
    {
        request.prepare_payload();
    }
    return selector + to_wire(request);
}

} // namespace

std::vector<std::string> make_seeds()
{
    using net::beast::http::verb;
    auto const pipelined = make_seed('\x80', verb::get, "", false) +
                           make_seed('\x80', verb::get, "", false).substr(1);
    std::string const with_trailer =
        "\x70POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
        "Connection: X-Id\r\nX-Id: 1\r\n\r\n"
        "3;a=b\r\nabc\r\n0\r\nX-Trailer: t\r\n\r\n";
    std::vector<std::string> seeds{
        make_seed('\x20', verb::get, "", false),
        make_seed('\xa0', verb::post, "a body of some bytes", false),
        make_seed('\xc0', verb::post, "a body in one chunk", true),
        pipelined,
        with_trailer,
        "\x70GET / HTTP/1.0\r\nA: b\r\n c\r\nExpect: 100-continue\r\n\r\n"};
    for (auto const& each : net::malformed_requests())
    {
        seeds.push_back("\x40" + each.m_bytes);
    }
    return seeds;
}

void run_input(std::string_view bytes)
{
    if (bytes.empty())
    {
        return;
    }
    auto const text = bytes.substr(1);
    auto const split = split_of(bytes);
    auto const whole = read_whole(text, 0);
    auto const split_whole = read_whole(text, split);
    auto const pieces =
        read_http<net::http_request>(read_by_pieces, text, split);
    require(
        whole.m_message.has_value() == split_whole.m_message.has_value() &&
            whole.m_message.has_value() == pieces.m_message.has_value(),
        "a split request is accepted like a whole one");
    if (!whole.m_message)
    {
        return;
    }
    auto const& request = *whole.m_message;
    require(
        to_wire(request) == to_wire(*split_whole.m_message),
        "a split request is the same as a whole one");
    require(
        request.method_string() == pieces.m_message->method_string() &&
            request.target() == pieces.m_message->target() &&
            request.body() == pieces.m_message->body(),
        "a request that is read by pieces is the same as a whole one");
    require(
        whole.m_rest == split_whole.m_rest && whole.m_rest == pieces.m_rest,
        "the next request begins at the same byte");
    require(
        request.body().size() <= http_limits.m_max_body_bytes,
        "the body is within its limit");
    require(!has_line_end(request.target()), "the target is a single line");
    require_plain_fields(request);
    require_forwardable(request);
    require_forwardable(*pieces.m_message);
}

} // namespace hibiscustide::fuzz

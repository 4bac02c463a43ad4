// Responses of targets. The first byte of an input selects where the bytes are
// split and whether they answer a HEAD request.
#include "http_message.hpp"

#include <boost/beast/http/write.hpp>

#include "net/clock.hpp"
#include "net/head_check.hpp"
#include "net/headers.hpp"
#include "net/malformed_heads.hpp"

namespace hibiscustide::fuzz
{

namespace
{

using outcome = http_outcome<net::http_response>;

outcome read(std::string_view bytes, std::size_t split, bool is_head)
{
    return read_http<net::http_response>(
        [is_head](auto& stream, auto& buffer)
            -> net::awaitable<std::optional<net::http_response>>
        {
            core::admission::buffer_quota quota;
            core::admission::buffer_quota::share share{quota};
            auto result = co_await net::read_response(
                stream, buffer, http_limits, share, is_head,
                net::clock_now() + http_timeout);
            auto* const response = std::get_if<net::http_response>(&result);
            co_return response == nullptr ? std::nullopt
                                          : std::optional{std::move(*response)};
        },
        bytes, split);
}

// A response that is forwarded with a length is the same to its receiver.
void require_forwardable(net::http_response response)
{
    bool const has_body = response.result_int() >= 200 &&
                          response.result_int() != 204 &&
                          response.result_int() != 304;
    if (!has_body)
    {
        require(response.body().empty(), "the status permits the body");
        return;
    }
    net::headers::remove_hop_by_hop(response);
    response.content_length(response.body().size());
    auto const again = read(to_wire(response), 0, false);
    require(
        again.m_message && again.m_rest.empty() &&
            again.m_message->result_int() == response.result_int() &&
            again.m_message->body() == response.body() &&
            to_text(*again.m_message) == to_text(response),
        "a forwarded response has the same status, fields and body");
}

std::string make_seed(
    char selector, net::status status, std::string body, bool chunked)
{
    net::http_response response{status, 11};
    response.set("X-Id", "a1");
    response.body() = std::move(body);
    if (chunked)
    {
        response.chunked(true);
    }
    else
    {
        response.prepare_payload();
    }
    return selector + to_wire(response);
}

} // namespace

std::vector<std::string> make_seeds()
{
    auto const two =
        make_seed('\x80', net::status::ok, "first", false) +
        make_seed('\x80', net::status::ok, "late", false).substr(1);
    net::http_response until_end{net::status::ok, 10};
    until_end.body() = "ends with the connection";
    std::string const with_trailer =
        "\x70HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3;a=b\r\nabc\r\n0\r\nX-Trailer: t\r\n\r\n";
    std::vector<std::string> seeds{
        make_seed('\x20', net::status::ok, "body", false),
        make_seed('\x60', net::status::ok, "body in one chunk", true),
        make_seed('\xa1', net::status::ok, "", false),
        make_seed('\x10', net::status::no_content, "", false),
        make_seed('\x10', net::status::not_modified, "", false),
        make_seed('\x10', net::status::continue_, "", false),
        two,
        "\x30" + to_wire(until_end),
        with_trailer,
        "\x70HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 1\r\n\r\nx"};
    for (auto const& each : net::malformed_responses())
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
    bool const is_head = (static_cast<unsigned char>(bytes.front()) & 1U) != 0;
    auto const text = bytes.substr(1);
    auto const whole = read(text, 0, is_head);
    auto const pieces = read(text, split_of(bytes), is_head);
    require(
        whole.m_message.has_value() == pieces.m_message.has_value(),
        "a split response is accepted like a whole one");
    if (!whole.m_message)
    {
        return;
    }
    auto const& response = *whole.m_message;
    require(
        net::is_final_status(response.result_int()),
        "a status is from 200 to 599");
    require(
        to_wire(response) == to_wire(*pieces.m_message) &&
            whole.m_rest == pieces.m_rest,
        "a split response is the same as a whole one");
    require(
        response.body().size() <= http_limits.m_max_body_bytes,
        "the body is within its limit");
    require_plain_fields(response);
    net::field_check fields;
    for (auto const& each : response)
    {
        std::string const name{each.name_string()};
        std::string const value{each.value()};
        require(
            !fields.add(name, value), "the fields follow RFC 9110 and 9112");
    }
    require(!has_line_end(response.reason()), "a reason is a single line");
    if (!is_head)
    {
        require_forwardable(response);
    }
}

} // namespace hibiscustide::fuzz

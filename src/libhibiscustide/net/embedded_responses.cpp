#include "net/embedded_responses.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace hibiscustide::net
{

namespace
{

namespace http = beast::http;

constexpr std::string_view version_prefix = "HTTP/1.";

// The shortest start of a status line that ends_within_head() recognises.
constexpr std::string_view protocol_prefix = "HTTP/";

// Length of the start of a status line: the version, a space and a digit.
constexpr std::size_t status_line_start = version_prefix.size() + 3;

// Number of status lines within a body that are examined. A body that quotes
// more of them is not searched further.
constexpr std::size_t max_status_lines = 32;

// Longer heads are not recognised.
constexpr std::uint32_t max_head_bytes = 16'384;

bool is_digit(char character) noexcept
{
    return character >= '0' && character <= '9';
}

// Whether the text is the start of a status line, or begins like one and ends
// before it is complete.
bool begins_like_status_line(std::string_view text) noexcept
{
    auto const common = std::min(text.size(), version_prefix.size());
    auto const is_expected = [text](std::size_t position, auto matches)
    {
        return position >= text.size() || matches(text[position]);
    };
    auto const is_space = [](char character)
    {
        return character == ' ';
    };
    auto const minor = version_prefix.size();
    return text.substr(0, common) == version_prefix.substr(0, common) &&
           is_expected(minor, is_digit) && is_expected(minor + 1, is_space) &&
           is_expected(minor + 2, is_digit);
}

// A response that begins within other bytes.
struct embedded_response
{
    http_response m_head;
    bool m_is_cut = false;       // Whether the head is not complete.
    std::size_t m_head_size = 0; // In bytes; 0 if the head is cut.
    bool m_is_chunked = false;
    std::optional<std::uint64_t> m_body_size; // Nothing if there is no length.
};

// Parses a complete head at the start of the bytes.
std::optional<embedded_response> parse_head(std::string_view bytes)
{
    http::response_parser<http::empty_body> parser;
    parser.header_limit(max_head_bytes);
    beast::error_code error;
    auto const size =
        parser.put(asio::const_buffer{bytes.data(), bytes.size()}, error);
    if (!parser.is_header_done())
    {
        return std::nullopt;
    }
    embedded_response found{
        .m_head_size = size, .m_is_chunked = parser.chunked()};
    found.m_head.base() = parser.get().base();
    auto const status = parser.get().result();
    bool const has_no_body = found.m_head.result_int() / 100 == 1 ||
                             status == http::status::no_content ||
                             status == http::status::not_modified;
    if (has_no_body)
    {
        found.m_body_size = 0;
    }
    else if (auto const length = parser.content_length())
    {
        found.m_body_size = *length;
    }
    return found;
}

// Parses the response at the start of the bytes, whose head may be cut.
std::optional<embedded_response> parse_response(std::string_view bytes)
{
    if (auto found = parse_head(bytes))
    {
        return found;
    }
    bool const is_cut = bytes.size() < max_head_bytes &&
                        bytes.find("\r\n\r\n") == std::string_view::npos;
    if (!is_cut)
    {
        return std::nullopt;
    }
    auto const last_line_end = bytes.rfind("\r\n");
    if (last_line_end == std::string_view::npos)
    {
        return embedded_response{.m_is_cut = true};
    }
    std::string complete_lines{bytes.substr(0, last_line_end)};
    complete_lines += "\r\n\r\n";
    auto found = parse_head(complete_lines);
    if (found)
    {
        found->m_is_cut = true;
    }
    return found;
}

// Whether the response, which begins at the position, ends within the body, in
// which the last one in chunks ends at `last_chunk`.
bool ends_in_body(
    embedded_response const& found, std::size_t position, std::string_view body,
    std::size_t last_chunk)
{
    auto const head_end = position + found.m_head_size;
    if (found.m_is_cut || head_end > body.size())
    {
        return false;
    }
    if (found.m_body_size)
    {
        return *found.m_body_size <= body.size() - head_end;
    }
    // The last chunk may follow the head, which ends with a line end.
    constexpr std::string_view line_end = "\r\n";
    return found.m_is_chunked && last_chunk != std::string_view::npos &&
           last_chunk + line_end.size() >= head_end;
}

// Positions in the body at which a status line begins. It may end in `rest`.
std::vector<std::size_t> find_status_lines(
    std::string_view body, std::string_view rest)
{
    std::vector<std::size_t> positions;
    auto position = find_status_line(body, 0);
    while (position != std::string_view::npos &&
           positions.size() < max_status_lines)
    {
        positions.push_back(position);
        position = find_status_line(body, position + status_line_start);
    }
    auto const tail_size = std::min(body.size(), status_line_start - 1);
    auto const tail_begin = body.size() - tail_size;
    std::string boundary{body.substr(tail_begin)};
    boundary += rest.substr(0, status_line_start);
    auto const in_boundary = find_status_line(boundary, 0);
    if (in_boundary < tail_size)
    {
        positions.push_back(tail_begin + in_boundary);
    }
    return positions;
}

} // namespace

std::size_t find_status_line(std::string_view text, std::size_t from) noexcept
{
    auto position = text.find(version_prefix, from);
    while (position != std::string_view::npos &&
           text.size() - position >= status_line_start)
    {
        if (begins_like_status_line(text.substr(position)))
        {
            return position;
        }
        position = text.find(version_prefix, position + 1);
    }
    return std::string_view::npos;
}

bool may_contain_response(std::string_view body) noexcept
{
    if (find_status_line(body, 0) != std::string_view::npos)
    {
        return true;
    }
    auto const tail_size = std::min(body.size(), status_line_start - 1);
    for (auto left = tail_size; left > 0; --left)
    {
        if (begins_like_status_line(body.substr(body.size() - left)))
        {
            return true;
        }
    }
    return false;
}

bool ends_within_head(std::string_view body)
{
    auto position = body.rfind(protocol_prefix);
    for (std::size_t n = 0;
         n < max_status_lines && position != std::string_view::npos; ++n)
    {
        auto const tail = body.substr(position);
        if (begins_like_status_line(tail))
        {
            auto const found = parse_response(tail);
            return found && found->m_is_cut;
        }
        position = position == 0 ? std::string_view::npos
                                 : body.rfind(protocol_prefix, position - 1);
    }
    return false;
}

embedded_responses find_embedded_responses(
    std::string_view body, std::string_view rest)
{
    embedded_responses responses;
    // A copy that follows a whole body begins with a status line of its own.
    auto const continuation =
        begins_like_status_line(rest) ? std::string_view{} : rest;
    auto const positions = find_status_lines(body, continuation);
    auto const last_chunk = positions.empty() ? std::string_view::npos
                                              : body.rfind("\r\n0\r\n\r\n");
    for (auto const position : positions)
    {
        std::string bytes{body.substr(position, max_head_bytes)};
        bytes += continuation.substr(0, max_head_bytes - bytes.size());
        auto found = parse_response(bytes);
        if (!found)
        {
            continue;
        }
        responses.m_extends_past_body =
            responses.m_extends_past_body ||
            (!continuation.empty() &&
             !ends_in_body(*found, position, body, last_chunk));
        responses.m_heads.push_back(std::move(found->m_head));
    }
    return responses;
}

} // namespace hibiscustide::net

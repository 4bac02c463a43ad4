#include "net/head_check.hpp"

#include <algorithm>
#include <charconv>
#include <string>

#include <boost/beast/core/string.hpp>

namespace hibiscustide::net
{

namespace
{

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view blanks = " \t";

constexpr unsigned min_status = 100;
constexpr unsigned min_final_status = 200;
constexpr unsigned max_status = 599;
constexpr unsigned switching_protocols = 101;
constexpr std::size_t status_digits = 3;

constexpr char delete_byte = 0x7f;

bool is_digit(char each) noexcept
{
    return each >= '0' && each <= '9';
}

bool is_token_byte(char each) noexcept
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    bool const is_letter =
        (each >= 'a' && each <= 'z') || (each >= 'A' && each <= 'Z');
    return is_letter || is_digit(each) ||
           others.find(each) != std::string_view::npos;
}

bool is_control_byte(char each) noexcept
{
    return static_cast<unsigned char>(each) < ' ' || each == delete_byte;
}

std::string_view trim(std::string_view text) noexcept
{
    auto const begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos)
    {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(blanks) + 1 - begin);
}

bool is_name(std::string_view text, std::string_view name) noexcept
{
    return beast::iequals(
        {text.data(), text.size()}, {name.data(), name.size()});
}

class head_error_category : public boost::system::error_category
{
public:
    [[nodiscard]] char const* name() const noexcept override
    {
        return "hibiscustide.head";
    }

    [[nodiscard]] std::string message(int value) const override
    {
        return std::string{to_string(static_cast<head_error>(value - 1))};
    }
};

} // namespace

std::string_view to_string(head_error error) noexcept
{
    switch (error)
    {
    case head_error::line_ending:
        return "a line that does not end with CR LF";
    case head_error::request_line:
        return "malformed request line";
    case head_error::version:
        return "unsupported version";
    case head_error::status:
        return "invalid status";
    case head_error::reason:
        return "control byte in the reason";
    case head_error::folded_line:
        return "folded line";
    case head_error::no_colon:
        return "a line without a colon";
    case head_error::field_name:
        return "invalid field name";
    case head_error::field_value:
        return "control byte in a field value";
    case head_error::content_length:
        return "invalid Content-Length";
    case head_error::several_lengths:
        return "repeated Content-Length";
    case head_error::transfer_encoding:
        return "unsupported Transfer-Encoding";
    case head_error::length_and_chunks:
        return "both Content-Length and Transfer-Encoding";
    case head_error::several_hosts:
        return "repeated Host";
    }
    return "malformed head";
}

beast::error_code make_error_code(head_error error) noexcept
{
    static head_error_category const category;
    // 0 would be no error.
    return {static_cast<int>(error) + 1, category};
}

bool is_token(std::string_view text) noexcept
{
    return !text.empty() &&
           std::all_of(text.begin(), text.end(), is_token_byte);
}

bool is_field_value(std::string_view text) noexcept
{
    return std::none_of(
        text.begin(), text.end(),
        [](char each)
        {
            return is_control_byte(each) && each != '\t';
        });
}

bool is_request_target(std::string_view text) noexcept
{
    return !text.empty() && std::none_of(
                                text.begin(), text.end(),
                                [](char each)
                                {
                                    return is_control_byte(each) || each == ' ';
                                });
}

bool is_response_status(unsigned status) noexcept
{
    return status >= min_status && status <= max_status &&
           status != switching_protocols;
}

bool is_final_status(unsigned status) noexcept
{
    return status >= min_final_status && is_response_status(status);
}

std::optional<head_error> field_check::add(
    std::string_view name, std::string_view value) noexcept
{
    if (!is_token(name))
    {
        return head_error::field_name;
    }
    if (!is_field_value(value))
    {
        return head_error::field_value;
    }
    if (is_name(name, "Content-Length"))
    {
        return add_length(trim(value));
    }
    if (is_name(name, "Transfer-Encoding"))
    {
        return add_encoding(trim(value));
    }
    if (is_name(name, "Host"))
    {
        bool const is_repeated = m_has_host;
        m_has_host = true;
        return is_repeated ? std::optional{head_error::several_hosts}
                           : std::nullopt;
    }
    return std::nullopt;
}

std::optional<head_error> field_check::add_length(
    std::string_view value) noexcept
{
    if (m_has_length)
    {
        return head_error::several_lengths;
    }
    if (m_has_transfer_encoding)
    {
        return head_error::length_and_chunks;
    }
    m_has_length = true;
    std::uint64_t length = 0;
    auto const* const end = value.data() + value.size();
    // An unsigned number has no sign here, and an overflow is an error.
    auto const [parsed, error] = std::from_chars(value.data(), end, length);
    if (value.empty() || error != std::errc{} || parsed != end)
    {
        return head_error::content_length;
    }
    return std::nullopt;
}

// RFC 9112, section 6.1: a message in an unknown coding has an unknown length.
std::optional<head_error> field_check::add_encoding(
    std::string_view value) noexcept
{
    if (m_has_length)
    {
        return head_error::length_and_chunks;
    }
    if (m_has_transfer_encoding || !is_name(value, "chunked"))
    {
        return head_error::transfer_encoding;
    }
    m_has_transfer_encoding = true;
    return std::nullopt;
}

bool are_valid_fields(header_fields const& fields) noexcept
{
    field_check check;
    return std::none_of(
        fields.begin(), fields.end(),
        [&check](header_field const& each)
        {
            return check.add(each.m_name, each.m_value).has_value();
        });
}

std::optional<head_error> head_check::check(std::string_view unread) noexcept
{
    while (!m_is_complete)
    {
        auto const end = unread.find('\n', m_checked);
        if (end == std::string_view::npos)
        {
            return std::nullopt;
        }
        auto const line = unread.substr(m_checked, end + 1 - m_checked);
        if (!line.ends_with(line_end))
        {
            return head_error::line_ending;
        }
        if (auto const error =
                check_line(line.substr(0, line.size() - line_end.size())))
        {
            return error;
        }
        m_checked = end + 1;
    }
    return std::nullopt;
}

std::optional<head_error> head_check::check_line(std::string_view line) noexcept
{
    if (m_is_first_line)
    {
        m_is_first_line = false;
        return m_kind == kind::request ? check_request_line(line)
                                       : check_status_line(line);
    }
    if (line.empty())
    {
        m_is_complete = true;
        return check_end();
    }
    return check_field(line);
}

std::optional<head_error> head_check::check_request_line(
    std::string_view line) noexcept
{
    auto const method_end = line.find(' ');
    auto const target_end = line.rfind(' ');
    if (method_end == std::string_view::npos || method_end == target_end)
    {
        return head_error::request_line;
    }
    auto const method = line.substr(0, method_end);
    auto const target =
        line.substr(method_end + 1, target_end - method_end - 1);
    if (!is_token(method) || !is_request_target(target))
    {
        return head_error::request_line;
    }
    return check_version(line.substr(target_end + 1));
}

std::optional<head_error> head_check::check_status_line(
    std::string_view line) noexcept
{
    auto const version_end = line.find(' ');
    if (version_end == std::string_view::npos)
    {
        return head_error::version;
    }
    if (auto const error = check_version(line.substr(0, version_end)))
    {
        return error;
    }
    auto const text = line.substr(version_end + 1);
    auto const digits = text.substr(0, status_digits);
    bool const is_number = digits.size() == status_digits &&
                           std::all_of(digits.begin(), digits.end(), is_digit);
    // A blank follows the status also if there is no reason.
    if (!is_number || text.substr(status_digits, 1) != " ")
    {
        return head_error::status;
    }
    unsigned status = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), status);
    if (!is_response_status(status))
    {
        return head_error::status;
    }
    return is_field_value(text) ? std::nullopt
                                : std::optional{head_error::reason};
}

std::optional<head_error> head_check::check_version(
    std::string_view version) noexcept
{
    m_is_http_1_0 = version == "HTTP/1.0";
    return m_is_http_1_0 || version == "HTTP/1.1"
               ? std::nullopt
               : std::optional{head_error::version};
}

std::optional<head_error> head_check::check_field(
    std::string_view line) noexcept
{
    if (blanks.find(line.front()) != std::string_view::npos)
    {
        return head_error::folded_line;
    }
    auto const colon = line.find(':');
    if (colon == std::string_view::npos)
    {
        return head_error::no_colon;
    }
    auto const name = line.substr(0, colon);
    auto const value = line.substr(colon + 1);
    // The parser refuses such a field as too large if its value is interpreted.
    if (value.size() > max_stored_bytes && is_token(name))
    {
        return is_field_value(value) ? std::nullopt
                                     : std::optional{head_error::field_value};
    }
    return m_fields.add(name, value);
}

// RFC 9112, section 6.1: version 1.0 has no chunks.
std::optional<head_error> head_check::check_end() const noexcept
{
    return m_is_http_1_0 && m_fields.has_transfer_encoding()
               ? std::optional{head_error::transfer_encoding}
               : std::nullopt;
}

} // namespace hibiscustide::net

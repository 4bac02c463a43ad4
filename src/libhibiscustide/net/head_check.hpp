/// \file
/// The rules of RFC 9110 and RFC 9112 for the head of a message: its first line
/// and its fields.
///
/// Beast's parser alone is not enough. It joins folded lines, permits equal
/// repeated lengths, any three digits as a status and unknown transfer codings.
/// Two recipients of such a head may take it for different messages.
#ifndef HIBISCUSTIDE_NET_HEAD_CHECK_HPP
#define HIBISCUSTIDE_NET_HEAD_CHECK_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "net/http_types.hpp"

namespace hibiscustide::net
{

/// A violation of the rules.
enum class head_error : std::uint8_t
{
    line_ending,       ///< A line does not end with CR and LF.
    request_line,      ///< Not a method, a target and a version.
    version,           ///< Neither HTTP/1.0 nor HTTP/1.1.
    status,            ///< Not from 100 to 599, or 101.
    reason,            ///< The reason contains a control byte.
    folded_line,       ///< A line begins with a blank or a tab.
    no_colon,          ///< A line is not a field.
    field_name,        ///< The name of a field is not a token.
    field_value,       ///< The value of a field contains a control byte.
    content_length,    ///< The length is not a number.
    several_lengths,   ///< Content-Length occurs twice, also if it is equal.
    transfer_encoding, ///< The body is not sent in plain chunks.
    length_and_chunks, ///< Both Content-Length and Transfer-Encoding.
    several_hosts,     ///< Host occurs twice.
};

/// Returns a description, for example "repeated Content-Length".
[[nodiscard]] std::string_view to_string(head_error error) noexcept;

/// The error of a read that found the violation. It counts as a parse error.
[[nodiscard]] beast::error_code make_error_code(head_error error) noexcept;

/// Whether the text is a token (RFC 9110, section 5.6.2), such as the name of a
/// field or a method.
[[nodiscard]] bool is_token(std::string_view text) noexcept;

/// Whether the text contains no control byte except tab.
[[nodiscard]] bool is_field_value(std::string_view text) noexcept;

/// Whether the text can be the target of a request: not empty, and without
/// blanks and control bytes.
[[nodiscard]] bool is_request_target(std::string_view text) noexcept;

/// Whether a response may have the status: 100 to 599, except 101, which no
/// request asks for. RFC 9110, section 15, defines no class for a greater
/// number and has clients treat it as a server error, so that its meaning,
/// and whether the request has run, depends on the recipient. Other numbers
/// within the classes, such as 299 and 599, are valid.
[[nodiscard]] bool is_response_status(unsigned status) noexcept;

/// As is_response_status, without interim responses.
[[nodiscard]] bool is_final_status(unsigned status) noexcept;

/// Checks the fields of one head, in their order.
class field_check
{
public:
    /// Returns the violation of a field that follows the fields of earlier
    /// calls, if any. Blanks and tabs around the value are ignored.
    [[nodiscard]] std::optional<head_error> add(
        std::string_view name, std::string_view value) noexcept;

    [[nodiscard]] bool has_transfer_encoding() const noexcept
    {
        return m_has_transfer_encoding;
    }

private:
    std::optional<head_error> add_length(std::string_view value) noexcept;
    std::optional<head_error> add_encoding(std::string_view value) noexcept;

    bool m_has_length = false;
    bool m_has_transfer_encoding = false;
    bool m_has_host = false;
};

/// Whether the fields could occur together in the head of a message.
[[nodiscard]] bool are_valid_fields(header_fields const& fields) noexcept;

/// Checks a head line by line while its bytes arrive.
class head_check
{
public:
    enum class kind : std::uint8_t
    {
        request,
        response,
    };

    explicit head_check(kind of_message) noexcept
        : m_kind{of_message}
    {
    }

    /// Checks the lines that are complete. `unread` contains the bytes of the
    /// message that have arrived and were not removed; it may go on behind the
    /// head. A byte that belongs to no complete line is checked again in the
    /// next call. Returns the first violation.
    [[nodiscard]] std::optional<head_error> check(
        std::string_view unread) noexcept;

    /// States that the first bytes of `unread` were removed.
    void on_removed(std::size_t count) noexcept
    {
        m_checked -= count;
    }

private:
    std::optional<head_error> check_line(std::string_view line) noexcept;
    std::optional<head_error> check_request_line(
        std::string_view line) noexcept;
    std::optional<head_error> check_status_line(std::string_view line) noexcept;
    std::optional<head_error> check_version(std::string_view version) noexcept;
    std::optional<head_error> check_field(std::string_view line) noexcept;
    [[nodiscard]] std::optional<head_error> check_end() const noexcept;

    kind m_kind;
    std::size_t m_checked = 0; // Bytes of `unread` in checked lines.
    bool m_is_first_line = true;
    bool m_is_http_1_0 = false;
    bool m_is_complete = false;
    field_check m_fields;
};

} // namespace hibiscustide::net

#endif

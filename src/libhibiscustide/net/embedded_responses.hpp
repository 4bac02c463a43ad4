/// \file
/// Finds responses within the body of another response.
#ifndef HIBISCUSTIDE_NET_EMBEDDED_RESPONSES_HPP
#define HIBISCUSTIDE_NET_EMBEDDED_RESPONSES_HPP

#include <cstddef>
#include <string_view>
#include <vector>

#include "net/http_types.hpp"

namespace hibiscustide::net
{

/// Position of the first start of a status line, such as "HTTP/1.1 2", at or
/// after `from`; npos if there is none.
[[nodiscard]] std::size_t find_status_line(
    std::string_view text, std::size_t from) noexcept;

/// Responses that begin within the body of another response.
struct embedded_responses
{
    /// Their heads. A head that is cut has the fields that are complete.
    std::vector<http_response> m_heads;
    /// Whether one of them goes on in the bytes that follow the body.
    bool m_extends_past_body = false;
};

/// Whether a response may begin within the body, so that the bytes that follow
/// the body are needed to find it.
[[nodiscard]] bool may_contain_response(std::string_view body) noexcept;

/// Whether the body ends within what may be the head of a response: whether it
/// is one, only the bytes that follow the body show. The start of a status line
/// counts from "HTTP/" on.
[[nodiscard]] bool ends_within_head(std::string_view body);

/// Finds the responses that begin within `body`. `rest` contains the bytes that
/// have arrived behind it.
[[nodiscard]] embedded_responses find_embedded_responses(
    std::string_view body, std::string_view rest);

} // namespace hibiscustide::net

#endif

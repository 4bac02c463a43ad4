/// \file
/// An IP address with a port, and its conversion from and to text.
#ifndef HIBISCUSTIDE_CORE_ENDPOINT_HPP
#define HIBISCUSTIDE_CORE_ENDPOINT_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscustide::core
{

/// An IP address and port to connect to or to listen on.
struct endpoint
{
    std::string m_address; ///< IPv4 address, or IPv6 without brackets.
    std::uint16_t m_port = 0;

    friend auto operator<=>(endpoint const&, endpoint const&) = default;
};

/// Parses an endpoint such as "1.2.3.4:80" or "[::1]:80". Returns std::nullopt
/// for any other text, including host names, which are not resolved.
[[nodiscard]] std::optional<endpoint> parse_endpoint(std::string_view text);

/// Whether a connection to the endpoint can reach exactly one machine: it has a
/// port, and an address that is neither unspecified nor reserved nor that of a
/// group of machines, nor valid on one link only.
[[nodiscard]] bool is_connectable(endpoint const& value) noexcept;

/// Formats an endpoint so that parse_endpoint can parse it.
[[nodiscard]] std::string to_string(endpoint const& value);

} // namespace hibiscustide::core

#endif

/// \file
/// The types of the HTTP messages that pass through a node. Bodies are held in
/// memory as a whole, up to the size limit in the settings.
#ifndef HIBISCUSTIDE_NET_HTTP_TYPES_HPP
#define HIBISCUSTIDE_NET_HTTP_TYPES_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace hibiscustide::net
{

namespace asio = boost::asio;
namespace beast = boost::beast;

/// A header field of a message.
struct header_field
{
    std::string m_name;
    std::string m_value;

    friend auto operator<=>(header_field const&, header_field const&) = default;
};

using header_fields = std::vector<header_field>;

/// Length of the longest field name or value that a message of the library can
/// store. The library throws an exception for a longer one.
inline constexpr std::size_t max_stored_bytes =
    std::numeric_limits<std::uint16_t>::max() - 2;

/// A request. Fields that the message of the library cannot store are kept in
/// m_long_fields. Fields that nodes interpret are never among them.
struct http_request : beast::http::request<beast::http::string_body>
{
    using message_type = beast::http::request<beast::http::string_body>;
    using message_type::message_type;

    http_request() = default;

    explicit http_request(message_type&& other)
        : message_type{std::move(other)}
    {
    }

    /// In the order of their arrival, behind all other fields.
    header_fields m_long_fields;

    /// IP address of the client. Set in requests that an http_server with a
    /// streaming handler has received.
    std::string m_client_address;
};

using http_response = beast::http::response<beast::http::string_body>;

using beast::http::field;
using beast::http::status;

template <typename Value>
using awaitable = asio::awaitable<Value>;

/// Completion token for operations that return their error as a value instead
/// of throwing an exception.
inline constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);

} // namespace hibiscustide::net

#endif

/// \file
/// The types of the HTTP messages that pass through a node. Bodies are held in
/// memory as a whole, up to the size limit in the settings.
#ifndef HIBISCUSTIDE_NET_HTTP_TYPES_HPP
#define HIBISCUSTIDE_NET_HTTP_TYPES_HPP

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

using http_request = beast::http::request<beast::http::string_body>;
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

/// \file
/// The HTTP messages that pass through a node. Bodies are held whole, within
/// the bound that the settings give.
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

/// Makes an operation give its error as a value in place of throwing it.
inline constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);

} // namespace hibiscustide::net

#endif

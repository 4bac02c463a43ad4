/// \file
/// A parser for the messages of clients and servers that keep to no limit.
#ifndef HIBISCUSTIDE_NET_MESSAGE_PARSER_HPP
#define HIBISCUSTIDE_NET_MESSAGE_PARSER_HPP

#include <cstddef>
#include <cstdint>
#include <exception>
#include <limits>

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include "net/http_types.hpp"

namespace hibiscustide::net
{

/// Length of the longest field name or value that a message of the library can
/// store. The library throws an exception for a longer one.
inline constexpr std::size_t max_stored_bytes =
    std::numeric_limits<std::uint16_t>::max() - 2;

/// Parses a message. Fields behind the last chunk are discarded. A field of the
/// head that cannot be stored is an error, `http::error::header_limit`. No
/// input causes an exception, which would leave the operation that reads the
/// message and skip the coroutine that waits for it.
template <bool IsRequest, typename Body>
class message_parser : public beast::http::parser<IsRequest, Body>
{
    // RFC 9110, section 6.5, permits to discard trailer fields. They must not
    // become fields of the head: there they would count for the status, the
    // length and the identity of the message, and no limit applies to them.
    void on_field_impl(
        field name, beast::string_view name_string, beast::string_view value,
        beast::error_code& error) override
    {
        if (this->is_header_done())
        {
            return;
        }
        if (name_string.size() > max_stored_bytes ||
            value.size() > max_stored_bytes)
        {
            error = beast::http::error::header_limit;
            return;
        }
        try
        {
            this->get().insert(name, name_string, value);
        }
        catch (std::exception const&)
        {
            error = beast::http::error::buffer_overflow;
        }
    }
};

template <typename Body>
using request_parser = message_parser<true, Body>;

template <typename Body>
using response_parser = message_parser<false, Body>;

} // namespace hibiscustide::net

#endif

/// \file
/// A parser for the messages of clients and servers that keep to no limit.
#ifndef HIBISCUSTIDE_NET_MESSAGE_PARSER_HPP
#define HIBISCUSTIDE_NET_MESSAGE_PARSER_HPP

#include <exception>
#include <string_view>
#include <utility>

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include "net/headers.hpp"
#include "net/http_types.hpp"

namespace hibiscustide::net
{

/// Parses a message. Fields behind the last chunk are discarded. Fields of a
/// request that are too long for the message are kept apart. Such a field of a
/// response, or one that nodes interpret, is an error,
/// `http::error::header_limit`. No input causes an exception, which would leave
/// the operation that reads the message and skip the coroutine that waits for
/// it.
template <bool IsRequest, typename Body>
class message_parser : public beast::http::parser<IsRequest, Body>
{
public:
    /// Returns the fields that are too long for the message. May be called
    /// once.
    [[nodiscard]] header_fields take_long_fields()
    {
        return std::move(m_long_fields);
    }

private:
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
        try
        {
            store(name, name_string, value, error);
        }
        catch (std::exception const&)
        {
            error = beast::http::error::buffer_overflow;
        }
    }

    void store(
        field name, beast::string_view name_string, beast::string_view value,
        beast::error_code& error)
    {
        std::string_view const value_text{value.data(), value.size()};
        std::string_view const name_text{
            name_string.data(), name_string.size()};
        if (headers::can_store(m_long_fields, name_text, value_text))
        {
            this->get().insert(name, name_string, value);
        }
        else if (!IsRequest || headers::is_interpreted(name))
        {
            error = beast::http::error::header_limit;
        }
        else
        {
            headers::append(m_long_fields, name_text, value_text);
        }
    }

    header_fields m_long_fields;
};

template <typename Body>
using request_parser = message_parser<true, Body>;

template <typename Body>
using response_parser = message_parser<false, Body>;

} // namespace hibiscustide::net

#endif

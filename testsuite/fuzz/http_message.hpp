/// \file
/// Runs coroutines that read or write one HTTP message over a socket pair.
#ifndef HIBISCUSTIDE_FUZZ_HTTP_MESSAGE_HPP
#define HIBISCUSTIDE_FUZZ_HTTP_MESSAGE_HPP

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "byte_stream.hpp"
#include "net/http_io.hpp"

namespace hibiscustide::fuzz
{

/// Small limits, so that short inputs reach them.
inline constexpr net::message_limits http_limits{
    .m_max_header_bytes = 1'024, .m_max_body_bytes = 512};

/// No input waits: its end arrives at once.
inline constexpr std::chrono::seconds http_timeout{60};

/// What a reader made of an input.
template <typename Message>
struct http_outcome
{
    std::optional<Message> m_message; ///< Nothing if the input was rejected.
    std::string m_rest;               ///< Bytes behind the message.
};

template <typename Message>
using http_reader = std::function<net::awaitable<std::optional<Message>>(
    net::beast::tcp_stream&, net::beast::flat_buffer&)>;

/// Reads one message from the bytes.
template <typename Message>
http_outcome<Message> read_http(
    http_reader<Message> const& read, std::string_view bytes, std::size_t split)
{
    static net::asio::io_context context;
    http_outcome<Message> outcome;
    byte_stream input{context};
    net::beast::tcp_stream stream{input.take_socket()};
    net::beast::flat_buffer buffer;
    auto const run = [&]() -> net::awaitable<void>
    {
        outcome.m_message = co_await read(stream, buffer);
    };
    input.run(run(), bytes, split);
    // Bytes that the reader has not taken from the socket belong to the rest,
    // too. The whole input has been written, so that no read has to wait.
    std::array<char, 4'096> taken{};
    auto count = ::recv(
        stream.socket().native_handle(), taken.data(), taken.size(),
        MSG_DONTWAIT);
    outcome.m_rest = net::beast::buffers_to_string(buffer.data());
    while (count > 0)
    {
        outcome.m_rest.append(taken.data(), static_cast<std::size_t>(count));
        count = ::recv(
            stream.socket().native_handle(), taken.data(), taken.size(),
            MSG_DONTWAIT);
    }
    return outcome;
}

/// Whether a text contains a byte that ends a line or a text.
[[nodiscard]] inline bool has_line_end(net::beast::string_view text)
{
    return std::any_of(
        text.begin(), text.end(),
        [](char each)
        {
            return each == '\r' || each == '\n' || each == '\0';
        });
}

/// Checks that no field can be taken for two when it is forwarded.
inline void require_plain_fields(net::beast::http::fields const& fields)
{
    for (auto const& each : fields)
    {
        require(
            !has_line_end(each.name_string()) && !has_line_end(each.value()),
            "a field is a single line");
    }
}

/// Returns the fields as one text, in which they can be compared.
[[nodiscard]] inline std::string to_text(net::beast::http::fields const& fields)
{
    std::string text;
    for (auto const& each : fields)
    {
        text += std::string{each.name_string()} + ": " +
                std::string{each.value()} + "\n";
    }
    return text;
}

/// Returns a message as it is sent.
template <typename Message>
[[nodiscard]] std::string to_wire(Message const& message)
{
    std::ostringstream out;
    out << message;
    return out.str();
}

} // namespace hibiscustide::fuzz

#endif

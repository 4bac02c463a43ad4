/// \file
/// Socket operations that Asio does not offer.
#ifndef HIBISCUSTIDE_NET_SOCKET_HPP
#define HIBISCUSTIDE_NET_SOCKET_HPP

#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include <hibiscustide/core/endpoint.hpp>

namespace hibiscustide::net
{

/// Converts an endpoint. Precondition: parse_endpoint returned it.
[[nodiscard]] boost::asio::ip::tcp::endpoint to_asio(
    core::endpoint const& value);

/// Whether the peer has closed the connection or the connection has failed.
/// Reads no data.
[[nodiscard]] bool is_closed_by_peer(int descriptor) noexcept;

/// Whether the peer has ended the connection without a reset, so that all bytes
/// that it sent have arrived. False if this is not known.
[[nodiscard]] bool is_ended_in_order(int descriptor) noexcept;

/// Whether data has arrived that has not been read.
[[nodiscard]] bool has_unread_data(int descriptor) noexcept;

/// Number of bytes that were passed to the kernel and that the peer's kernel
/// has not confirmed; 0 if it is not available.
[[nodiscard]] std::size_t unconfirmed_bytes(int descriptor) noexcept;

/// Whether the connection is open and has no unread data. Only then can an idle
/// connection be used for a request.
[[nodiscard]] bool is_idle(int descriptor) noexcept;

/// Opens, binds and starts a listener. With `reuse_port`, several listeners can
/// share one port. Returns an error message with the address if this fails and
/// std::nullopt otherwise.
[[nodiscard]] std::optional<std::string> open_listener(
    boost::asio::ip::tcp::acceptor& acceptor, core::endpoint const& listen,
    bool reuse_port);

/// Lets the kernel choose the port of a bound socket when it connects, so that
/// one port can be used for connections to several servers.
void set_bind_no_port(int descriptor) noexcept;

/// Lets the kernel detect within a few seconds that the peer is unreachable:
/// through data that stays unacknowledged and, on an idle connection, through
/// keep-alive probes.
void enable_keepalive(int descriptor) noexcept;

} // namespace hibiscustide::net

#endif

/// \file
/// Small operations on sockets that Asio does not offer.
#ifndef HIBISCUSTIDE_NET_SOCKET_HPP
#define HIBISCUSTIDE_NET_SOCKET_HPP

#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include <hibiscustide/core/endpoint.hpp>

namespace hibiscustide::net
{

/// Precondition: the endpoint came from parse_endpoint.
[[nodiscard]] boost::asio::ip::tcp::endpoint to_asio(
    core::endpoint const& value);

/// Whether the peer has closed the connection or it has failed. Reads nothing.
[[nodiscard]] bool is_closed_by_peer(int native) noexcept;

/// Whether the connection is open and nothing waits to be read on it: the
/// state in which an idle connection may carry a request.
[[nodiscard]] bool is_idle(int native) noexcept;

/// Opens, binds and listens. With `reuse_port` several listeners share one
/// port. The address and the reason where it can't be done.
[[nodiscard]] std::optional<std::string> open_listener(
    boost::asio::ip::tcp::acceptor& acceptor, core::endpoint const& listen,
    bool reuse_port);

/// Lets the system choose the port of a bound socket when it connects, so
/// that one port can serve connections to several servers.
void set_bind_no_port(int native) noexcept;

/// Lets the system notice within some seconds that the peer is gone: sent data
/// that stays unacknowledged and, on an idle connection, probes.
void enable_keepalive(int native) noexcept;

} // namespace hibiscustide::net

#endif

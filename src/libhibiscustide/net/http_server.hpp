/// \file
/// An HTTP/1.1 server on one listening address.
#ifndef HIBISCUSTIDE_NET_HTTP_SERVER_HPP
#define HIBISCUSTIDE_NET_HTTP_SERVER_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <variant>

#include <boost/asio/ip/tcp.hpp>

#include "net/body_buffer.hpp"
#include "net/cancel_scope.hpp"
#include "net/http_io.hpp"
#include "net/http_types.hpp"
#include <hibiscustide/core/admission/buffer_quota.hpp>
#include <hibiscustide/core/endpoint.hpp>

namespace hibiscustide::net
{

struct http_server_options
{
    core::endpoint m_listen;
    message_limits m_limits;
    bool m_reuse_port = false; ///< Lets several threads listen on one port.
    std::size_t m_max_connections = 10'000;
    std::chrono::milliseconds m_idle_timeout{60'000};
    std::chrono::milliseconds m_read_timeout{15'000};
    std::chrono::milliseconds m_write_timeout{30'000};
    /// Maximum number of requests of one connection that are processed
    /// concurrently. Responses are sent in the order of the requests.
    std::size_t m_max_pipelined = 1;
    /// For the requests of all connections of a streaming_handler: unparsed
    /// bytes, heads and the parts of bodies that are not passed on. Each
    /// connection has a small buffer in addition. A request that does not fit
    /// is refused with status 503.
    std::size_t m_max_request_bytes = 16'777'216;
};

/// Handles one request. The scope is cancelled if the caller disconnects before
/// the response.
using http_handler = std::function<awaitable<http_response>(
    http_request&, std::shared_ptr<cancel_scope> const&)>;

/// Handles one request whose body may still be arriving. The body is null if
/// it is short, and part of the request then. If the handler returns before the
/// body has arrived, the connection is closed after the response.
using streaming_handler = std::function<awaitable<http_response>(
    http_request&, body_buffer_ptr const&,
    std::shared_ptr<cancel_scope> const&)>;

/// A server reads the body of each request completely before it calls an
/// http_handler, and passes a long body on while it arrives to a
/// streaming_handler.
using request_handler = std::variant<http_handler, streaming_handler>;

/// Creates the response to a request that could not be read, from its status
/// and the name of the error.
using malformed_handler =
    std::function<http_response(status, std::string_view error)>;

/// A listener and its connections. Runs on one io_context.
class http_server : public std::enable_shared_from_this<http_server>
{
public:
    http_server(
        asio::io_context& context, http_server_options options,
        request_handler handler, malformed_handler malformed);

    /// Opens the listener and starts to accept connections. Returns an error
    /// message if the listener cannot be opened and std::nullopt otherwise.
    [[nodiscard]] std::optional<std::string> start();

    /// Sets the limits and timeouts that apply to requests of clients.
    void set_limits(
        message_limits const& limits, std::chrono::milliseconds idle_timeout,
        std::chrono::milliseconds read_timeout) noexcept;

    /// Begins a graceful shutdown: a connection is closed after a response if
    /// no further request has arrived on it. New connections are still served.
    void begin_drain();

    /// Stops accepting connections. Connections that the kernel has established
    /// by now are still accepted, so that their requests are not lost.
    void stop_accepting();

    /// Closes the connections on which no request is in progress. Must be
    /// called some time after `stop_accepting`, because a client that has just
    /// connected may still be sending its request.
    void close_idle();

    /// The number of connections on which a request is being read or processed.
    [[nodiscard]] std::size_t busy_connections() const noexcept;

    /// The number of connections on which the last response was written and the
    /// client has a short time to read it. Closing them could reset them.
    [[nodiscard]] std::size_t closing_connections() const noexcept;

    /// The number of open connections.
    [[nodiscard]] std::size_t open_connections() const noexcept;

private:
    struct session;
    struct received_request;
    class session_guard;
    class response_guard;
    using session_ptr = std::shared_ptr<session>;
    using request_ptr = std::shared_ptr<received_request>;

    awaitable<void> accept_loop();
    awaitable<void> close_idle_loop();
    void start_session(asio::ip::tcp::socket socket);
    awaitable<void> serve(session_ptr connection);
    static awaitable<void> discard_input(session& connection);
    awaitable<bool> read_next(session_ptr const& connection);
    awaitable<bool> read_whole(session_ptr const& connection);
    awaitable<bool> read_streaming(session_ptr const& connection);
    template <typename Read>
    awaitable<beast::error_code> read_growing(session& connection, Read read);
    awaitable<beast::error_code> read_short_body(
        session& connection, request_reader& reader, std::string& bytes);
    awaitable<bool> permit_body(
        session_ptr const& connection, std::uint64_t sequence,
        body_buffer_ptr const& body);
    awaitable<bool> read_body(
        session_ptr const& connection, request_reader& reader,
        body_buffer_ptr const& body);
    std::uint64_t start_response(
        session_ptr const& connection, request_ptr const& received);
    awaitable<void> respond(
        session_ptr connection, std::uint64_t sequence, request_ptr received,
        std::shared_ptr<cancel_scope> scope);
    awaitable<http_response> handle_or_fail(
        http_request& request, body_buffer_ptr const& body,
        std::shared_ptr<cancel_scope> const& scope);
    awaitable<http_response> handle(
        http_request& request, body_buffer_ptr const& body,
        std::shared_ptr<cancel_scope> const& scope);
    awaitable<void> write_responses(session_ptr connection);
    void reject(session_ptr const& connection, beast::error_code const& error);

    asio::io_context& m_context;
    http_server_options m_options;
    request_handler m_handler;
    malformed_handler m_malformed;
    asio::ip::tcp::acceptor m_acceptor;
    core::admission::buffer_quota m_request_quota;
    std::unordered_set<std::shared_ptr<session>> m_sessions;
    bool m_draining = false;
    bool m_stopped = false; ///< No further request is read.
};

} // namespace hibiscustide::net

#endif

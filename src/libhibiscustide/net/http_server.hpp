/// \file
/// Serves HTTP/1.1 on one listener.
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

#include <boost/asio/ip/tcp.hpp>

#include "net/cancel_scope.hpp"
#include "net/http_io.hpp"
#include "net/http_types.hpp"
#include <hibiscustide/core/endpoint.hpp>

namespace hibiscustide::net
{

struct http_server_options
{
    core::endpoint m_listen;
    message_limits m_limits;
    bool m_reuse_port = false; ///< Several threads listen on one port.
    std::size_t m_max_connections = 10'000;
    std::chrono::milliseconds m_idle_timeout{60'000};
    std::chrono::milliseconds m_read_timeout{15'000};
    std::chrono::milliseconds m_write_timeout{30'000};
    /// Requests of one connection that are answered side by side; the answers
    /// go out in the order of the requests.
    std::size_t m_max_pipelined = 1;
};

/// Answers one request. The scope tells when the caller leaves meanwhile.
using http_handler = std::function<awaitable<http_response>(
    http_request&, std::shared_ptr<cancel_scope> const&)>;

/// The answer to a request that could not be read.
using malformed_handler = std::function<http_response(status)>;

/// One listener and its connections, on one io_context.
class http_server : public std::enable_shared_from_this<http_server>
{
public:
    http_server(
        asio::io_context& context, http_server_options options,
        http_handler handler, malformed_handler malformed);

    /// Opens the listener and starts to accept. The reason where it can't be
    /// opened, nothing otherwise.
    [[nodiscard]] std::optional<std::string> start();

    /// Changes what clients may send and how slowly.
    void set_limits(
        message_limits const& limits, std::chrono::milliseconds idle_timeout,
        std::chrono::milliseconds read_timeout) noexcept;

    /// Begins a graceful shutdown: an answer with no request behind it closes
    /// its connection. New connections are still served.
    void begin_drain();

    /// No more connections are accepted. Those that the system has completed
    /// by now are still taken, so that their requests are not lost.
    void stop_accepting();

    /// Closes the connections on which no request is under way. Comes some
    /// time after `stop_accepting`, since a client that has just connected
    /// has its request on the way.
    void close_idle();

    /// Connections on which a request is being read or answered.
    [[nodiscard]] std::size_t busy_connections() const noexcept;

    /// Open connections.
    [[nodiscard]] std::size_t open_connections() const noexcept;

private:
    struct session;
    using session_ptr = std::shared_ptr<session>;

    awaitable<void> accept_loop();
    awaitable<void> close_idle_loop();
    void take(asio::ip::tcp::socket socket);
    awaitable<void> serve(session_ptr connection);
    static awaitable<void> discard_rest(session& connection);
    awaitable<bool> read_next(session_ptr const& connection);
    awaitable<void> answer(
        session_ptr connection, std::uint64_t place,
        std::shared_ptr<http_request> request,
        std::shared_ptr<cancel_scope> scope);
    awaitable<void> write_in_order(session_ptr connection);
    void reject(session_ptr const& connection, status why);

    asio::io_context& m_context;
    http_server_options m_options;
    http_handler m_handler;
    malformed_handler m_malformed;
    asio::ip::tcp::acceptor m_acceptor;
    std::unordered_set<std::shared_ptr<session>> m_sessions;
    bool m_draining = false;
    bool m_finished = false;
};

} // namespace hibiscustide::net

#endif

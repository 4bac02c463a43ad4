/// \file
/// Keeps connections to one HTTP server and makes calls over them.
#ifndef HIBISCUSTIDE_NET_CONNECTION_POOL_HPP
#define HIBISCUSTIDE_NET_CONNECTION_POOL_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "net/cancel_scope.hpp"
#include "net/http_io.hpp"
#include "net/http_types.hpp"
#include <hibiscustide/core/endpoint.hpp>
#include <hibiscustide/core/time.hpp>
#include <hibiscustide/core/verdict.hpp>

namespace hibiscustide::net
{

struct connection_pool_options
{
    core::endpoint m_remote;
    /// The address that connections come from; any where it is empty.
    std::string m_local_address;
    std::size_t m_max_connections = 1'000;
    /// An idle connection is closed after this long. Servers of this project
    /// keep one open for longer, so that none is closed under a request.
    std::chrono::milliseconds m_idle_timeout{1'000};
    std::chrono::milliseconds m_connect_timeout{1'000};
    message_limits m_limits{.m_max_body_bytes = 8'388'608};
    /// Whether a response answers the request. One that doesn't is an answer
    /// that came late or twice: it is skipped. Empty: any response does.
    std::function<bool(http_request const&, http_response const&)>
        m_matches_request;
};

/// Why an exchange gave no response, and whether a byte of the request had
/// left by then.
struct exchange_failure
{
    bool m_sent = false;
    core::reason m_reason = core::reason::connection_broken;
};

using exchange_result = std::variant<http_response, exchange_failure>;

/// Connections to one server, one call at a time on each. Lives on one
/// io_context and outlives its calls.
class connection_pool
{
public:
    connection_pool(asio::io_context& context, connection_pool_options options);
    ~connection_pool();

    connection_pool(connection_pool const&) = delete;
    connection_pool& operator=(connection_pool const&) = delete;

    /// Sends the request and reads the whole response by the deadline. When
    /// the scope is cancelled, closes the connection, by which the server can
    /// tell. `scope` may be null. A connection that has been idle for longer
    /// than `max_idle` is not used: the server may close it under the request.
    awaitable<exchange_result> exchange(
        http_request const& request, core::time_point deadline,
        cancel_scope* scope, core::duration max_idle = core::duration::max());

    /// Closes the idle connections: the server is leaving or has started anew.
    void close_idle();

    /// Sets the most connections open at once.
    void set_max_connections(std::size_t max_connections) noexcept;

    /// Connections that are open.
    [[nodiscard]] std::size_t open_connections() const noexcept;

    /// Connections opened so far.
    [[nodiscard]] std::uint64_t total_opened() const noexcept;

private:
    struct connection;

    awaitable<std::variant<std::unique_ptr<connection>, exchange_failure>>
    acquire(core::time_point deadline, core::duration max_idle);
    [[nodiscard]] std::unique_ptr<connection> acquire_idle(
        core::duration max_idle);
    awaitable<std::variant<http_response, beast::error_code>> read_answer(
        connection& used, http_request const& request,
        core::time_point deadline);
    void release(std::unique_ptr<connection> used);
    void close_expired(core::time_point now);

    asio::io_context& m_context;
    connection_pool_options m_options;
    std::deque<std::unique_ptr<connection>> m_idle;
    std::shared_ptr<std::size_t> m_open_count =
        std::make_shared<std::size_t>(0);
    std::uint64_t m_total_opened = 0;
};

} // namespace hibiscustide::net

#endif

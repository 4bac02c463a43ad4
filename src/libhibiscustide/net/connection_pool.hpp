/// \file
/// A pool of connections to one HTTP server.
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
#include <string_view>
#include <variant>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "net/body_buffer.hpp"
#include "net/cancel_scope.hpp"
#include "net/http_io.hpp"
#include "net/http_types.hpp"
#include <hibiscustide/core/admission/buffer_quota.hpp>
#include <hibiscustide/core/endpoint.hpp>
#include <hibiscustide/core/time.hpp>
#include <hibiscustide/core/verdict.hpp>

namespace hibiscustide::net
{

/// Why bytes that a server sent are not the response to a request.
enum class discard_reason
{
    other_request, ///< A whole response to another request; it is skipped.
    malformed,     ///< Not a response in the protocol.
    surplus,       ///< Bytes that follow the response.
    /// The beginning of a response, which ends with the bytes of another one.
    several_responses,
};

[[nodiscard]] std::string_view to_string(discard_reason value) noexcept;

struct connection_pool_options
{
    core::endpoint m_remote;
    /// Local address of the connections. Any address if empty.
    std::string m_local_address;
    std::size_t m_max_connections = 1'000;
    /// Time after which an idle connection is closed. The servers of this
    /// project keep idle connections open for longer, so that they do not close
    /// a connection while a request is being sent on it.
    std::chrono::milliseconds m_idle_timeout{1'000};
    std::chrono::milliseconds m_connect_timeout{1'000};
    message_limits m_limits{.m_max_body_bytes = 8'388'608};
    core::admission::buffer_quota_options m_response_quota;
    /// Whether a response belongs to the request. A response that does not is a
    /// late or duplicate response to an earlier request and is skipped. If the
    /// function is empty, every response is accepted.
    std::function<bool(http_request const&, http_response const&)>
        m_matches_request;
    /// Identifier of a request, which is equal if the same request is sent
    /// again; nothing if it has none. A request is not sent again on the same
    /// connection, because a copy of its first response cannot be distinguished
    /// from the second one. If the function is empty, no request is sent again.
    std::function<std::optional<std::uint64_t>(http_request const&)>
        m_request_id;
    /// Returns the identifier of the request that a response names, or nothing.
    /// If it is set, a response is refused if its body contains the head of a
    /// response to a request that was sent on the connection, or the start of a
    /// response that extends past the body. A server that breaks off a response
    /// and sends another one on the connection causes such a body.
    std::function<std::optional<std::uint64_t>(http_response const&)>
        m_response_id;
    /// Called with the request during which bytes were discarded. May be empty.
    std::function<void(http_request const&, discard_reason)> m_on_discarded;
};

/// Why an exchange returned no response, and whether any byte of the request
/// may have been sent.
struct exchange_failure
{
    bool m_sent = false;
    core::reason m_reason = core::reason::connection_broken;
};

using exchange_result = std::variant<http_response, exchange_failure>;

/// A pool of connections to one server, each of which carries one exchange at a
/// time. Runs on one io_context and must outlive its exchanges.
class connection_pool
{
public:
    connection_pool(asio::io_context& context, connection_pool_options options);
    ~connection_pool();

    connection_pool(connection_pool const&) = delete;
    connection_pool& operator=(connection_pool const&) = delete;

    /// Sends the request and reads the complete response before the deadline.
    /// Closes the connection if the scope is cancelled, so that the server can
    /// detect the cancellation. `scope` may be null. A connection that has been
    /// idle for longer than `max_idle` is not used, because the server may
    /// close it while the request is being sent.
    awaitable<exchange_result> exchange(
        http_request const& request, core::time_point deadline,
        cancel_scope* scope, core::duration max_idle = core::duration::max());

    /// Sends a request whose body may still be arriving; otherwise like the
    /// function above. If the body fails, the exchange fails with
    /// `connection_broken`, and the server does not get a complete request. The
    /// rest of the body is not read after the response has arrived.
    awaitable<exchange_result> exchange(
        http_request header, body_buffer_ptr const& body,
        core::time_point deadline, cancel_scope* scope,
        core::duration max_idle);

    /// Closes the idle connections, because the server is shutting down or has
    /// restarted.
    void close_idle();

    /// Sets the maximum number of open connections.
    void set_max_connections(std::size_t max_connections) noexcept;

    /// The number of open connections.
    [[nodiscard]] std::size_t open_connections() const noexcept;

    /// The number of connections opened since the pool was created.
    [[nodiscard]] std::uint64_t total_opened() const noexcept;

private:
    struct connection;
    using request_id = std::optional<std::uint64_t>;

    awaitable<std::variant<std::unique_ptr<connection>, exchange_failure>>
    acquire(
        request_id id, core::time_point deadline, cancel_scope* scope,
        core::duration max_idle);
    awaitable<std::variant<std::unique_ptr<connection>, exchange_failure>>
    acquire_unscoped(
        request_id id, core::time_point deadline, core::duration max_idle);
    [[nodiscard]] std::unique_ptr<connection> acquire_idle(
        request_id id, core::duration max_idle);
    [[nodiscard]] bool has_room_for_connection();
    [[nodiscard]] request_id id_of(http_request const& request) const;
    awaitable<std::variant<http_response, beast::error_code>> read_or_fail(
        connection& used, http_request const& request,
        core::time_point deadline);
    awaitable<std::variant<http_response, beast::error_code>>
    read_matching_response(
        connection& used, http_request const& request,
        core::time_point deadline);
    [[nodiscard]] static bool is_cut(
        connection& used, http_response const& response, bool has_write_failed);
    void release_if_reusable(
        std::unique_ptr<connection> used, http_request const& request,
        http_response const& response, bool is_request_written);
    [[nodiscard]] bool may_continue(http_response const& response) const;
    awaitable<void> wait_for_rest(connection& used, core::time_point deadline);
    [[nodiscard]] bool contains_other_response(
        connection& used, http_response const& response) const;
    void report_discarded(
        http_request const& request, discard_reason why) const;
    void release(std::unique_ptr<connection> used);
    void close_expired(core::time_point now);

    asio::io_context& m_context;
    connection_pool_options m_options;
    std::deque<std::unique_ptr<connection>> m_idle;
    std::shared_ptr<std::size_t> m_open_count =
        std::make_shared<std::size_t>(0);
    /// Shared, because an exchange that is aborted at process exit may outlive
    /// the pool.
    std::shared_ptr<core::admission::buffer_quota> m_response_quota;
    std::uint64_t m_total_opened = 0;
};

} // namespace hibiscustide::net

#endif

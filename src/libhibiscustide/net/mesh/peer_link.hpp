/// \file
/// Sends requests to the target_gate of another node.
#ifndef HIBISCUSTIDE_NET_MESH_PEER_LINK_HPP
#define HIBISCUSTIDE_NET_MESH_PEER_LINK_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <hibiscustide/core/endpoint.hpp>
#include <hibiscustide/core/time.hpp>

#include "net/body_buffer.hpp"
#include "net/mesh/frame_stream.hpp"
#include "net/mesh/messages.hpp"

namespace hibiscustide::net::mesh
{

/// Numbers the requests and connections of one node to all gates in ascending
/// order. Gates identify requests by these numbers, so a link that replaces an
/// earlier one to the same gate must not use them again.
class link_numbers
{
public:
    [[nodiscard]] std::uint64_t next_request() noexcept
    {
        return ++m_request;
    }

    [[nodiscard]] std::uint64_t next_connection() noexcept
    {
        return ++m_connection;
    }

private:
    std::uint64_t m_request = 0;
    std::uint64_t m_connection = 0;
};

struct peer_link_options
{
    core::endpoint m_remote;     ///< The peer server of the other node.
    std::string m_local_address; ///< Source address of the connections.
    hello m_hello;               ///< Identifies this node.
    /// Shared by all links of this node.
    std::shared_ptr<link_numbers> m_numbers = std::make_shared<link_numbers>();
    /// Called for published changes that the other node sends.
    std::function<void(core::directory::item_changes&&)> m_on_changes;
};

/// Sends requests to the target_gate of one other node (the gate), which runs
/// them at its target, and receives their results over a connection that is
/// opened on first use.
///
/// A connection is used only after the hello of the gate has arrived on it,
/// since its incarnation shows later whether the gate has restarted and lost
/// its requests.
///
/// A connection that breaks or stops responding is replaced, and the outcomes
/// of the requests that were sent on it are requested from the gate. A
/// connection that is only silent stays open until its replacement can be used,
/// since it may respond again. So silence alone never ends a request that was
/// sent. Its outcome is unknown only if the gate has ended or restarted; see
/// is_lost() for retries until then. Runs on one io_context.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    using done_handler = std::function<void(run_result)>;

    peer_link(asio::io_context& context, peer_link_options options);

    /// Sends the request, and its body in the pieces that the gate grants.
    /// `body` is null if the request contains its whole body. Calls `done`
    /// once, unless the request is cancelled. Returns the id that cancel()
    /// takes.
    std::uint64_t run(
        run_request request, body_buffer_ptr body, done_handler done);

    /// Cancels the request, whose result is no longer needed.
    void cancel(std::uint64_t id);

    /// Requests the changes that were published after the state `after`.
    void request_changes(core::directory::published_state const& after);

    /// Closes the link. Pending requests end: a request that was sent may have
    /// run, any other did not run.
    void close();

    /// Number of requests without a result.
    [[nodiscard]] std::size_t pending() const noexcept;

    /// Returns false while a ping has been unanswered for longer than a round
    /// trip takes. The time for which it waits in this node does not count.
    [[nodiscard]] bool is_responsive(core::time_point now) const noexcept;

    /// Whether the gate has been out of reach for so long that idempotent
    /// requests which were sent to it should also be sent to another gate.
    [[nodiscard]] bool is_lost(core::time_point now) const noexcept;

private:
    struct pending_request
    {
        done_handler m_done;
        /// When the request is refused if it could not be sent.
        core::time_point m_send_deadline;
        core::time_point m_queued_at;
        run_request m_message; ///< Kept until it is sent.
        bool m_sent = false;
        body_buffer_ptr m_body;            ///< Null if the message contains it.
        std::uint64_t m_body_position = 0; ///< Number of bytes that were sent.
        std::uint64_t m_body_limit = 0;    ///< Number of bytes that may be.
    };

    using stream_ptr = std::shared_ptr<frame_stream>;

    /// The result of an attempt to open a connection.
    enum class connect_result : std::uint8_t
    {
        usable,       ///< A connection can be used; perhaps an earlier one.
        closed,       ///< The gate closed the connection before its hello.
        out_of_reach, ///< The gate does not answer.
        refused,      ///< No process listens at the gate's address.
    };

    awaitable<void> connect_loop();
    awaitable<connect_result> connect();
    awaitable<connect_result> wait_for_hello();
    awaitable<void> monitor_loop();
    void start_connecting();
    void start_monitoring();
    void open_stream(asio::ip::tcp::socket socket);
    void on_message(stream_ptr const& stream, message&& value);
    void on_hello(hello const& greeting);
    void on_closed(stream_ptr const& stream);
    void on_connect_failed(connect_result why);
    void check_connection(core::time_point now);
    void drop_connection();
    void fail_lost_requests(core::reason why);
    void resume_sent_requests();
    void send_unsent_requests();
    void finish_sent_bodies();
    /// Removes the request and passes the result to its handler.
    void complete(std::uint64_t id, run_result result);
    [[nodiscard]] bool is_usable() const noexcept;
    [[nodiscard]] bool is_silent(core::time_point now) const noexcept;
    [[nodiscard]] std::size_t sent_requests() const noexcept;
    void log_unreachable(std::string const& error) const;
    void log_silent(core::time_point now) const;
    void log_responsive(core::time_point now) const;
    void refuse_expired(core::time_point now);
    void refuse_unsent();
    void send_now(pending_request& request);
    void on_grant(body_grant const& grant);
    void send_granted_pieces(std::uint64_t id);
    void finish_body(pending_request& request);

    asio::io_context& m_context;
    peer_link_options m_options;
    stream_ptr m_stream;  ///< The hello of the gate has arrived on it.
    stream_ptr m_opening; ///< Waits for the hello of the gate.
    asio::steady_timer m_monitor_timer;
    asio::steady_timer m_hello_timer; ///< Cancelled when m_opening changes.
    std::map<std::uint64_t, pending_request> m_pending;
    /// Random number that the gate's node chose at its start; 0 before the
    /// first hello.
    std::uint64_t m_incarnation = 0;
    /// When the last ping was sent. Reset once bytes have been received since.
    std::optional<core::time_point> m_ping_sent_at;
    /// When the last ping was found to have left this node; nothing before.
    std::optional<core::time_point> m_ping_flushed_at;
    /// Since when the connection has been silent, or broken with requests
    /// pending.
    std::optional<core::time_point> m_lost_since;
    core::directory::published_state m_requested_after;
    int m_timeout_factor = 1; ///< Of the timeouts for connecting.
    bool m_changes_requested = false;
    bool m_connecting = false;
    bool m_monitoring = false;
    bool m_closed = false;
};

} // namespace hibiscustide::net::mesh

#endif

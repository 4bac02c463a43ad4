/// \file
/// Serves the requests that other nodes send to the local target_gate.
#ifndef HIBISCUSTIDE_NET_MESH_PEER_SERVER_HPP
#define HIBISCUSTIDE_NET_MESH_PEER_SERVER_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <hibiscustide/core/admission/sender_table.hpp>
#include <hibiscustide/core/admission/transit_delay.hpp>
#include <hibiscustide/core/directory/change_exchange.hpp>

#include "net/mesh/frame_stream.hpp"
#include "net/mesh/incoming_bodies.hpp"
#include "net/mesh/messages.hpp"
#include "net/mesh/request_key.hpp"
#include "net/mesh/target_gate.hpp"

namespace hibiscustide::net::mesh
{

struct peer_server_options
{
    core::endpoint m_listen;
    hello m_hello; ///< Identifies this node.
    /// Passes the changes that were published after a state to `reply`, at once
    /// or later.
    std::function<void(
        core::directory::published_state const& after,
        std::function<void(core::directory::item_changes)> reply)>
        m_changes_after;
    /// Bytes per second that the link of this VM receives.
    double m_link_rate = 125e6;
};

/// Accepts connections from other nodes and passes their requests to the
/// target_gate, which runs them at the local target.
/// The state of a request is kept after its connection has ended, so that the
/// sender can request the outcome on another connection. Runs on one
/// io_context.
class peer_server
{
public:
    peer_server(
        asio::io_context& context, peer_server_options options,
        target_gate& gate);

    /// Opens the listener and starts to accept connections. Returns the error
    /// if the listener cannot be opened.
    [[nodiscard]] std::optional<std::string> start();

    /// Number of connections on which a result has not reached the sender yet.
    [[nodiscard]] std::size_t unsent_results();

private:
    struct session;
    using session_ptr = std::shared_ptr<session>;

    struct request_state
    {
        target_gate::ticket m_ticket = 0;
        std::optional<run_result> m_result;
        core::time_point m_ended_at{};
        bool m_ended = false;
        bool m_idempotent = false;
    };

    awaitable<void> accept_loop();
    awaitable<void> cleanup_loop();
    void start_session(asio::ip::tcp::socket socket);
    void on_message(session_ptr const& sender, message&& value);
    void on_request_message(session_ptr const& sender, message&& value);
    void on_hello(session_ptr const& sender, hello const& greeting);
    [[nodiscard]] bool make_current(session_ptr const& sender);
    void on_run(session_ptr const& sender, run_request&& request);
    void subtract_transit_delay(
        std::uint64_t incarnation, run_request& request);
    void on_cancel(request_key const& key);
    void on_changes_request(
        session_ptr const& sender, changes_request const& requested);
    void send_changes(
        frame_stream& stream, core::directory::item_changes const& changes);
    void send_grant(request_key const& key, std::uint64_t limit);
    void on_resume(session_ptr const& sender, resume_requests const& resume);
    void cancel_unlisted(
        std::uint64_t incarnation, resume_requests const& resume);
    void remove_old_records(core::time_point now);
    void on_result(request_key const& key, run_result&& result);
    void on_closed(session_ptr const& closed_session);
    /// Gives up requests of a sender that does not reconnect in time.
    awaitable<void> await_reconnect(session_ptr closed_session);
    [[nodiscard]] std::vector<target_gate::ticket> active_tickets(
        std::uint64_t incarnation) const;

    asio::io_context& m_context;
    peer_server_options m_options;
    target_gate& m_gate;
    asio::ip::tcp::acceptor m_acceptor;
    core::admission::sender_table m_senders;
    /// By sender incarnation.
    std::map<std::uint64_t, core::admission::transit_delay> m_transit_delays;
    incoming_bodies m_bodies;
    std::map<request_key, request_state> m_requests;
    std::map<std::uint64_t, session_ptr> m_sessions; ///< By sender incarnation.
    core::directory::change_reply_budget m_change_replies;
    std::size_t m_replies_in_preparation = 0;
};

} // namespace hibiscustide::net::mesh

#endif

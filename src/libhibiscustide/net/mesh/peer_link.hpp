/// \file
/// The way to the gate of another node.
#ifndef HIBISCUSTIDE_NET_MESH_PEER_LINK_HPP
#define HIBISCUSTIDE_NET_MESH_PEER_LINK_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <hibiscustide/core/endpoint.hpp>
#include <hibiscustide/core/time.hpp>

#include "net/mesh/frame_stream.hpp"
#include "net/mesh/messages.hpp"

namespace hibiscustide::net::mesh
{

struct peer_link_options
{
    core::endpoint m_remote;
    std::string m_local_address; ///< Connections come from it.
    hello m_hello;               ///< Names this node.
    std::function<void(core::directory::item_changes&&)> m_on_changes;
};

/// Sends requests to one gate and gets their results over a connection that is
/// opened when it is first needed.
///
/// A connection that breaks or falls silent is replaced, and the gate is asked
/// what became of the requests sent over it. So a lost connection ends in a
/// certainty, and only a gate that can't be reached, or has started anew,
/// leaves a request open. Lives on one io_context.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    using done_handler = std::function<void(run_result)>;

    peer_link(asio::io_context& context, peer_link_options options);

    /// Sends the request; `done` is called once, unless it is cancelled. Gives
    /// the name by which it can be cancelled.
    std::uint64_t run(run_request request, done_handler done);

    /// Nobody waits for the request any more.
    void cancel(std::uint64_t id);

    /// Asks for what was published after the revision.
    void request_changes(std::uint64_t after);

    /// Ends the link: what was sent may have run.
    void close();

    /// Requests without a result.
    [[nodiscard]] std::size_t pending() const noexcept;

    /// False while the node has left a ping unanswered for longer than a round
    /// trip takes.
    [[nodiscard]] bool is_responsive(core::time_point now) const noexcept;

private:
    struct pending_request
    {
        done_handler m_done;
        core::time_point m_give_up_at; ///< Where the gate can't be reached.
        message m_message;             ///< Kept until it is sent.
        std::uint64_t m_sent_over = 0; ///< Number of the connection; 0: unsent.

        [[nodiscard]] bool is_sent() const noexcept
        {
            return m_sent_over != 0;
        }
    };

    awaitable<void> connect_loop();
    awaitable<bool> connect();
    awaitable<void> watch_loop();
    void begin_connecting();
    void begin_watching();
    void greet();
    void on_message(message&& value);
    void on_hello(hello const& from);
    void on_closed();
    void settle(std::uint64_t id, run_result result);
    void give_up(core::time_point now, bool connect_failed);
    void send_now(pending_request& request);

    asio::io_context& m_context;
    peer_link_options m_options;
    std::shared_ptr<frame_stream> m_stream;
    asio::steady_timer m_watch;
    std::map<std::uint64_t, pending_request> m_pending;
    std::uint64_t m_next_id = 1;
    std::uint64_t m_connection = 0;  ///< Number of the newest connection.
    std::uint64_t m_incarnation = 0; ///< Of the gate; 0 before its first hello.
    std::optional<core::time_point> m_pinged_at; ///< Since something came.
    std::uint64_t m_wanted_after = 0;
    bool m_changes_wanted = false;
    bool m_connecting = false;
    bool m_watching = false;
    bool m_closed = false;
};

} // namespace hibiscustide::net::mesh

#endif

/// \file
/// Serves the requests of other nodes at the own gate.
#ifndef HIBISCUSTIDE_NET_MESH_PEER_SERVER_HPP
#define HIBISCUSTIDE_NET_MESH_PEER_SERVER_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "net/mesh/frame_stream.hpp"
#include "net/mesh/messages.hpp"
#include "net/mesh/target_gate.hpp"

namespace hibiscustide::net::mesh
{

struct peer_server_options
{
    core::endpoint m_listen;
    hello m_hello; ///< Names this node.
    /// Gives what was published after a revision to `reply`, at once or later.
    std::function<void(
        std::uint64_t after,
        std::function<void(core::directory::item_changes)> reply)>
        m_changes_after;
};

/// Accepts connections of other nodes. What became of each request is
/// remembered past the end of its connection, so that its sender can ask for
/// it over another one. Lives on one io_context.
class peer_server
{
public:
    peer_server(
        asio::io_context& context, peer_server_options options,
        target_gate& gate);

    /// Opens the listener. The reason where it can't be opened.
    [[nodiscard]] std::optional<std::string> start();

private:
    struct session;
    using session_ptr = std::shared_ptr<session>;

    // A request of one sender, by its incarnation and its name there.
    struct run_key
    {
        std::uint64_t m_incarnation = 0;
        std::uint64_t m_id = 0;

        friend auto operator<=>(run_key const&, run_key const&) = default;
    };

    struct run_state
    {
        target_gate::ticket m_ticket = 0;
        std::optional<run_result> m_result;
        core::time_point m_ended_at{};
        bool m_ended = false;
        bool m_idempotent = false;
    };

    awaitable<void> accept_loop();
    awaitable<void> forget_loop();
    void take(asio::ip::tcp::socket socket);
    void on_message(session_ptr const& from, message&& value);
    void on_run(session_ptr const& from, run_request&& request);
    void on_resume(session_ptr const& from, resume_requests const& wanted);
    void on_result(run_key const& key, run_result&& result);
    void on_closed(std::uint64_t incarnation);
    awaitable<void> cancel_unclaimed(std::uint64_t incarnation);

    asio::io_context& m_context;
    peer_server_options m_options;
    target_gate& m_gate;
    asio::ip::tcp::acceptor m_acceptor;
    std::map<run_key, run_state> m_runs;
    std::map<std::uint64_t, session_ptr> m_sessions; ///< By incarnation.
};

} // namespace hibiscustide::net::mesh

#endif

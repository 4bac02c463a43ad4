/// \file
/// The thread that serves callers and other nodes.
#ifndef HIBISCUSTIDE_NET_MESH_TRAFFIC_THREAD_HPP
#define HIBISCUSTIDE_NET_MESH_TRAFFIC_THREAD_HPP

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <hibiscustide/core/config/mesh_settings.hpp>

#include "net/http_server.hpp"
#include "net/mesh/directory_sync.hpp"
#include "net/mesh/dispatcher.hpp"
#include "net/mesh/node_table.hpp"
#include "net/mesh/peer_server.hpp"
#include "net/mesh/status_exchange.hpp"
#include "net/mesh/target_gate.hpp"

namespace hibiscustide::net::mesh
{

/// What the traffic thread tells the control thread. Called on the traffic
/// thread.
struct traffic_handlers
{
    /// A node says whether it reads and whether the service was away.
    std::function<void(
        std::string const& address, bool same_domain, node_status const&)>
        m_on_status;
    std::function<void(core::directory::item_changes&&)> m_on_changes;
    /// A peer asks for what was published.
    std::function<void(
        std::uint64_t after,
        std::function<void(core::directory::item_changes)> reply)>
        m_changes_after;
};

/// Owns an io_context and all that serves requests on it.
class traffic_thread
{
public:
    traffic_thread(
        core::config::mesh_settings const& settings,
        protocol const& wire_protocol, metrics& counts,
        traffic_handlers handlers);
    ~traffic_thread();

    traffic_thread(traffic_thread const&) = delete;
    traffic_thread& operator=(traffic_thread const&) = delete;

    /// Opens the listeners and starts the thread; the reason where it can't.
    [[nodiscard]] std::optional<std::string> start();

    // The following may be called from any thread.

    void update(directory_update const& update);

    /// Asks the nodes that the settings name for all that is published.
    void request_changes_from_seeds();

    /// Gives a peer what it asked for.
    void reply(
        std::function<void(core::directory::item_changes)> const& to,
        core::directory::item_changes changes);

    /// The target gets no new requests, callers are still served.
    void begin_drain();
    void stop_accepting();
    void close_idle();

    /// Requests and connections that are busy; awaits the traffic thread.
    awaitable<std::size_t> active_count();
    awaitable<Json::Value> state();

    /// Ends the thread at once.
    void stop();

private:
    void on_status(std::string const& address, node_status const& status);
    void request_missing_changes();
    void apply(directory_update const& update);

    asio::io_context m_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work_guard;
    core::config::mesh_settings m_settings;
    traffic_handlers m_handlers;
    std::uint64_t m_incarnation;
    node_table m_nodes;
    core::admission::poison_request_detector m_poison_detector;
    target_gate m_gate;
    dispatcher m_dispatcher;
    peer_server m_peer_server;
    status_exchange m_status_exchange;
    std::shared_ptr<http_server> m_caller_server;
    std::uint64_t m_revision = 0;
    core::time_point m_changes_requested_at{};
    std::thread m_thread;
};

} // namespace hibiscustide::net::mesh

#endif

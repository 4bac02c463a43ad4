/// \file
/// The thread that serves callers and peers.
#ifndef HIBISCUSTIDE_NET_MESH_TRAFFIC_THREAD_HPP
#define HIBISCUSTIDE_NET_MESH_TRAFFIC_THREAD_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <hibiscustide/core/config/mesh_settings.hpp>
#include <hibiscustide/core/directory/change_exchange.hpp>

#include "net/http_server.hpp"
#include "net/mesh/directory_sync.hpp"
#include "net/mesh/dispatcher.hpp"
#include "net/mesh/node_table.hpp"
#include "net/mesh/peer_server.hpp"
#include "net/mesh/quota_client.hpp"
#include "net/mesh/status_exchange.hpp"
#include "net/mesh/target_gate.hpp"

namespace hibiscustide::net::mesh
{

/// Callbacks to the control side of the node. They are called on the traffic
/// thread.
struct traffic_handlers
{
    /// A peer has sent its status.
    std::function<void(
        std::string const& address, bool same_domain, node_status const&)>
        m_on_status;
    /// A peer has sent published changes.
    std::function<void(
        std::string const& address, core::directory::item_changes&&)>
        m_on_changes;
    /// A peer requests the changes after a state. `reply` may be called later
    /// through traffic_thread::reply.
    std::function<void(
        core::directory::published_state const& after,
        std::function<void(core::directory::item_changes)> reply)>
        m_changes_after;
};

/// Owns an io_context, the thread that runs it, and the components that serve
/// requests on it.
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

    /// Opens the listeners and starts the thread. Returns an error message if a
    /// listener cannot be opened.
    [[nodiscard]] std::optional<std::string> start();

    // The following functions may be called from any thread.

    /// Applies a new directory.
    void update(directory_update const& update);

    /// The settings name another service of the local target.
    void set_service(std::string const& name);

    /// Requests all published items from the next seed.
    void request_changes_from_seeds();

    /// Requests the changes after a state from the next `count` seeds other
    /// than the one with the address `excluded`.
    void request_changes_from_seeds(
        std::size_t count, std::string const& excluded,
        core::directory::published_state const& after);

    /// Sends the requested changes to a peer.
    void reply(
        std::function<void(core::directory::item_changes)> const& send_reply,
        core::directory::item_changes changes);

    /// Refuses new and waiting requests to the local target. Callers are still
    /// served as far as their requests can end in time, but their connections
    /// are closed after the next response.
    void begin_drain(core::admission::stop_window const& stop);

    /// Reports the requests at which the local target is still at work as
    /// possibly run.
    void end_running();

    /// Stops accepting callers' connections.
    void stop_accepting();

    /// Closes the callers' connections that have no request in progress.
    void close_idle();

    /// Number of callers' connections with a request in progress or an answer
    /// on its way, plus requests that wait or run at the local target, plus
    /// connections of peers with results on their way.
    awaitable<std::size_t> active_count();

    /// State dump for the administration endpoint.
    awaitable<Json::Value> state();

    /// Stops the thread without waiting for requests.
    void stop();

private:
    void on_status(std::string const& address, node_status const& status);
    void request_missing_changes();
    void request_changes_from_next_seed(
        std::string const& excluded,
        core::directory::published_state const& after);
    void apply(directory_update const& update);

    asio::io_context m_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work_guard;
    core::config::mesh_settings m_settings;
    traffic_handlers m_handlers;
    std::uint64_t m_incarnation;
    node_table m_nodes;
    core::admission::poison_request_detector m_poison_detector;
    target_gate m_gate;
    quota_client m_quotas;
    dispatcher m_dispatcher;
    peer_server m_peer_server;
    status_exchange m_status_exchange;
    std::shared_ptr<http_server> m_caller_server;
    core::directory::published_state m_published;
    core::directory::change_requests m_change_requests;
    std::size_t m_next_seed = 0;
    std::mt19937_64 m_random;
    std::thread m_thread;
};

} // namespace hibiscustide::net::mesh

#endif

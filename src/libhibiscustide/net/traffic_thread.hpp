/// \file
/// A thread that serves callers and peers.
#ifndef HIBISCUSTIDE_NET_TRAFFIC_THREAD_HPP
#define HIBISCUSTIDE_NET_TRAFFIC_THREAD_HPP

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <hibiscustide/core/config/node_settings.hpp>

#include "net/http_server.hpp"
#include "net/ingress.hpp"

namespace hibiscustide::net
{

/// Returns the JSON-RPC response to a request body. Runs on the control thread.
using rpc_request_handler = std::function<awaitable<std::string>(std::string)>;

/// Owns an io_context and the ingress and listeners that run on it. All traffic
/// threads of a node listen on the same ports.
class traffic_thread
{
public:
    traffic_thread(
        core::config::node_settings const& settings, std::uint64_t seed,
        gate& local_gate, order_registry& orders, metrics& counts,
        rpc_request_handler rpc);
    ~traffic_thread();

    traffic_thread(traffic_thread const&) = delete;
    traffic_thread& operator=(traffic_thread const&) = delete;

    /// Opens the listeners and starts the thread. Returns an error message if
    /// this fails and std::nullopt otherwise.
    [[nodiscard]] std::optional<std::string> start();

    // The following functions may be called from any thread.

    void change_fleet(std::shared_ptr<core::release::fleet const> fleet);
    void begin_drain();
    void stop_accepting();
    void close_idle();

    /// The number of busy connections. The caller waits for the traffic thread,
    /// which never waits for the caller.
    awaitable<std::size_t> busy_connections();

    /// The numbers of connections and the state of the peers as JSON.
    awaitable<Json::Value> state();

    /// Stops the thread without waiting for requests in progress.
    void stop();

private:
    awaitable<http_response> serve_peer(
        http_request& request, std::shared_ptr<cancel_scope> const& scope);

    asio::io_context m_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    metrics& m_counts;
    rpc_request_handler m_rpc;
    ingress m_ingress;
    std::shared_ptr<http_server> m_caller_server;
    std::shared_ptr<http_server> m_peer_server;
    std::thread m_thread;
};

} // namespace hibiscustide::net

#endif

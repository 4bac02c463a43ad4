/// \file
/// One thread that serves callers and peers.
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

/// Answers a JSON-RPC body; runs on the control thread.
using rpc_answerer = std::function<awaitable<std::string>(std::string)>;

/// Owns an io_context, the ingress on it and its listeners. All threads of a
/// node listen on the same ports.
class traffic_thread
{
public:
    traffic_thread(
        core::config::node_settings const& settings, std::uint64_t seed,
        gate& local_gate, order_registry& orders, metrics& counts,
        rpc_answerer rpc);
    ~traffic_thread();

    traffic_thread(traffic_thread const&) = delete;
    traffic_thread& operator=(traffic_thread const&) = delete;

    /// Opens the listeners and starts the thread; the reason where it can't.
    [[nodiscard]] std::optional<std::string> start();

    // The following may be called from any thread.

    void change_fleet(std::shared_ptr<core::release::fleet const> fleet);
    void begin_drain();
    void stop_accepting();
    void close_idle();

    /// Connections that are busy; awaits the traffic thread, not the reverse.
    awaitable<std::size_t> busy();

    /// What this thread knows of its peers.
    awaitable<Json::Value> state();

    /// Ends the thread at once.
    void stop();

private:
    awaitable<http_response> answer_peer(
        http_request& request, std::shared_ptr<call_scope> const& scope);

    asio::io_context m_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    metrics& m_counts;
    rpc_answerer m_rpc;
    ingress m_ingress;
    std::shared_ptr<http_server> m_caller_server;
    std::shared_ptr<http_server> m_peer_server;
    std::thread m_thread;
};

} // namespace hibiscustide::net

#endif

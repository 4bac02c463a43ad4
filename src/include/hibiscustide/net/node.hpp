/// \file
/// The node of the program hibnode, which takes its configuration from release
/// notes. It consists of the ingress, which receives the requests of callers
/// and chooses their targets, and the gate, which limits the requests that run
/// at the local target.
#ifndef HIBISCUSTIDE_NET_NODE_HPP
#define HIBISCUSTIDE_NET_NODE_HPP

#include <memory>
#include <optional>
#include <string>

#include <hibiscustide/core/config/node_settings.hpp>

namespace hibiscustide::net
{

/// A load balancer node, which runs on the same VM as its target.
///
/// `start` opens the three listeners (callers, peers, administration). `run`
/// serves them until SIGTERM, SIGINT or a call of `stop`, and then shuts down
/// gracefully: new requests for the local target are refused at once, callers
/// are served for the duration of the drain notice, with each answer closing
/// its connection, and requests in flight may finish until the drain limit.
///
/// The thread that calls `run` is the control thread. It owns the mutable state
/// of the node; the traffic threads hold immutable snapshots.
class node
{
public:
    explicit node(core::config::node_settings settings);
    ~node();

    node(node const&) = delete;
    node& operator=(node const&) = delete;

    /// Opens the listeners. Returns an error message if one of them cannot be
    /// opened, and std::nullopt otherwise.
    [[nodiscard]] std::optional<std::string> start();

    /// Serves until the node has stopped. Must be called once, after `start`.
    void run();

    /// Begins the graceful shutdown. May be called from any thread.
    void stop();

private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace hibiscustide::net

#endif

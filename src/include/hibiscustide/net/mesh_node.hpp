/// \file
/// The node of the program hibmesh, which reads the configuration and the other
/// nodes from a directory that the platform's publishing service publishes.
#ifndef HIBISCUSTIDE_NET_MESH_NODE_HPP
#define HIBISCUSTIDE_NET_MESH_NODE_HPP

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include <hibiscustide/core/config/mesh_settings.hpp>

namespace hibiscustide::net
{

namespace mesh
{
struct publisher;
struct protocol;
} // namespace mesh

/// Creates the client of the publishing service. Its coroutines run on the
/// given io_context, which belongs to the node's control thread.
using publisher_factory =
    std::function<mesh::publisher(boost::asio::io_context&)>;

/// Reloads the settings. Returns nothing if they are invalid, which the
/// function logs itself, and may return nothing if they are unchanged.
using settings_reader =
    std::function<std::optional<core::config::mesh_settings>()>;

/// A load balancer node with one local target. Serves callers, peers, readiness
/// checks and administration until SIGTERM or SIGINT, and then shuts down
/// gracefully. SIGHUP reloads the settings.
class mesh_node
{
public:
    /// `wire_protocol` defines the HTTP fields that callers and targets use.
    mesh_node(
        core::config::mesh_settings settings, mesh::protocol wire_protocol,
        publisher_factory const& make_publisher,
        settings_reader reload_settings);
    ~mesh_node();

    mesh_node(mesh_node const&) = delete;
    mesh_node& operator=(mesh_node const&) = delete;

    /// Opens the listeners. Returns an error message if one cannot be opened.
    [[nodiscard]] std::optional<std::string> start();

    /// Serves until the node has shut down.
    void run();

private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace hibiscustide::net

#endif

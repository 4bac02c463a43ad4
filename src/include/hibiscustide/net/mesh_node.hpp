/// \file
/// A node that finds its fleet in a directory.
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

/// Makes the publisher that the node reads, on the node's control thread.
using publisher_factory =
    std::function<mesh::publisher(boost::asio::io_context&)>;

/// Reads the settings again; nothing where they are as they were or are wrong,
/// which the reader logs itself.
using settings_reader =
    std::function<std::optional<core::config::mesh_settings>()>;

/// The node beside one target: serves callers, other nodes, readiness and
/// administration until SIGTERM, and then stops gracefully.
class mesh_node
{
public:
    /// `wire` says how callers and targets speak.
    mesh_node(
        core::config::mesh_settings settings, mesh::protocol wire_protocol,
        publisher_factory const& make_publisher,
        settings_reader reload_settings);
    ~mesh_node();

    mesh_node(mesh_node const&) = delete;
    mesh_node& operator=(mesh_node const&) = delete;

    /// Opens the listeners. The reason where one can't be opened.
    [[nodiscard]] std::optional<std::string> start();

    /// Serves until the node has stopped.
    void run();

private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace hibiscustide::net

#endif

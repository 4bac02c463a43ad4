/// \file
/// The nodes of the fleet and their last status.
#ifndef HIBISCUSTIDE_NET_MESH_NODE_TABLE_HPP
#define HIBISCUSTIDE_NET_MESH_NODE_TABLE_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <json/value.h>

#include <hibiscustide/core/directory/directory.hpp>
#include <hibiscustide/core/routing/placement.hpp>

#include "net/mesh/messages.hpp"
#include "net/mesh/peer_link.hpp"

namespace hibiscustide::net::mesh
{

/// A node and its local target.
struct node_entry
{
    std::string m_address; ///< IP address.
    std::string m_failure_domain;
    bool m_is_self = false;
    bool m_same_domain = false;
    core::routing::target_view m_view;
    std::shared_ptr<peer_link> m_link; ///< Null for this node.
    /// Random number that the node chose at its start, from its last status.
    std::uint64_t m_incarnation = 0;
    /// Latest in any status of the node.
    core::directory::published_state m_published;
    bool m_is_reader = false; ///< Whether it reads the publishing service.
    core::time_point m_last_status_at{};

    /// Whether the node answers pings in time, as far as is known. Always true
    /// for this node.
    [[nodiscard]] bool is_responsive(core::time_point now) const noexcept
    {
        return !m_link || m_link->is_responsive(now);
    }
};

using node_entry_ptr = std::shared_ptr<node_entry>;

/// Parameters of a node_table.
struct node_table_options
{
    std::string m_address; ///< IP address of this node.
    std::string m_failure_domain;
    std::uint16_t m_port = 0;        ///< Peer port of every node.
    std::uint64_t m_incarnation = 0; ///< Of this node; new at each start.
    /// Called with the changes that a peer sends.
    std::function<void(
        std::string const& address, core::directory::item_changes&&)>
        m_on_changes;
};

/// The nodes of the fleet by IP address, including this node. A node has the
/// same IP address as its target, so the directory's targets identify the
/// nodes. Runs on one io_context.
class node_table
{
public:
    node_table(asio::io_context& context, node_table_options options);

    /// Adds and removes nodes and updates the members of each service.
    void set_directory(core::directory::directory_ptr const& current);

    /// The hash that identifies this node's failure domain in status messages.
    [[nodiscard]] std::uint32_t domain_hash() const noexcept;

    /// Stores the status of a node. An unknown node is added, since its target
    /// may not be registered yet.
    void on_status(
        std::string const& address, node_status const& status,
        core::time_point now);

    /// Returns the nodes whose targets may get requests for the service.
    [[nodiscard]] std::vector<node_entry_ptr> const& members_of(
        std::string_view service) const;

    /// Median of the shares of the slots that the other nodes of the service
    /// report as measured; nothing if none reports one.
    [[nodiscard]] std::optional<double> measured_share_of(
        std::string_view service) const;

    /// Returns the node with this address, or null.
    [[nodiscard]] node_entry_ptr find(std::string const& address) const;

    /// Returns the node with this address; adds it if it is unknown.
    [[nodiscard]] node_entry_ptr find_or_add(std::string const& address);

    [[nodiscard]] std::map<std::string, node_entry_ptr> const& all()
        const noexcept;

    [[nodiscard]] node_entry_ptr const& self() const noexcept;

    [[nodiscard]] Json::Value to_json() const;

private:
    asio::io_context& m_context;
    node_table_options m_options;
    std::shared_ptr<link_numbers> m_numbers = std::make_shared<link_numbers>();
    std::map<std::string, node_entry_ptr> m_nodes;
    std::map<std::string, std::vector<node_entry_ptr>, std::less<>> m_members;
    node_entry_ptr m_self;
};

} // namespace hibiscustide::net::mesh

#endif

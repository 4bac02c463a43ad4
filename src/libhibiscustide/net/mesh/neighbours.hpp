/// \file
/// The nodes of the fleet as this node sees them.
#ifndef HIBISCUSTIDE_NET_MESH_NEIGHBOURS_HPP
#define HIBISCUSTIDE_NET_MESH_NEIGHBOURS_HPP

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

/// One node and the target beside it.
struct neighbour
{
    std::string m_address; ///< IP address.
    std::string m_failure_domain;
    bool m_is_self = false;
    bool m_same_domain = false;
    core::routing::target_view m_view;
    std::shared_ptr<peer_link> m_link; ///< Null for the node itself.
    std::uint64_t m_incarnation = 0;   ///< By its last status.
    std::uint64_t m_revision = 0;
    bool m_reads = false;
    core::time_point m_heard_at{};

    /// Whether requests that are sent to it now will be read, as far as is
    /// known.
    [[nodiscard]] bool is_responsive(core::time_point now) const noexcept
    {
        return !m_link || m_link->is_responsive(now);
    }
};

using neighbour_ptr = std::shared_ptr<neighbour>;

struct neighbours_options
{
    std::string m_address; ///< Of this node.
    std::string m_failure_domain;
    std::uint16_t m_port = 0; ///< Where every node serves other nodes.
    std::uint64_t m_incarnation = 0;
    std::function<void(core::directory::item_changes&&)> m_on_changes;
};

/// Nodes are found by the addresses of their targets: a target's node has the
/// same IP address. Lives on one io_context.
class neighbours
{
public:
    neighbours(asio::io_context& context, neighbours_options options);

    /// Adds and removes nodes, and finds the members of each service.
    void change_directory(core::directory::directory_ptr const& now_in_force);

    /// What stands for the own failure domain in statuses.
    [[nodiscard]] std::uint32_t domain() const noexcept;

    /// Takes over what a node says of itself. One that is not known yet is
    /// added: its target may not have registered.
    void on_status(
        std::string const& address, node_status const& status,
        core::time_point now);

    /// Nodes whose targets may get requests for the service.
    [[nodiscard]] std::vector<neighbour_ptr> const& members_of(
        std::string_view service) const;

    /// The node with the address; null where it is not known.
    [[nodiscard]] neighbour_ptr find(std::string const& address) const;

    /// The node with the address, added if it is not known.
    [[nodiscard]] neighbour_ptr meet(std::string const& address);

    [[nodiscard]] std::map<std::string, neighbour_ptr> const& all()
        const noexcept;

    [[nodiscard]] neighbour_ptr const& self() const noexcept;

    [[nodiscard]] Json::Value to_json() const;

private:
    asio::io_context& m_context;
    neighbours_options m_options;
    std::map<std::string, neighbour_ptr> m_nodes;
    std::map<std::string, std::vector<neighbour_ptr>, std::less<>> m_members;
    neighbour_ptr m_self;
};

} // namespace hibiscustide::net::mesh

#endif

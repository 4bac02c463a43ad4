/// \file
/// The targets among which a traffic thread chooses.
#ifndef HIBISCUSTIDE_NET_PEER_TABLE_HPP
#define HIBISCUSTIDE_NET_PEER_TABLE_HPP

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <json/value.h>

#include <hibiscustide/core/release/fleet.hpp>
#include <hibiscustide/core/retry/retry_budget.hpp>
#include <hibiscustide/core/routing/target_load.hpp>

#include "net/connection_pool.hpp"

namespace hibiscustide::net
{

/// A target, the estimate of its load and the connections to its node.
struct peer
{
    peer(
        asio::io_context& context, core::release::target_spec target,
        std::string const& local_address);

    core::release::target_spec m_target;
    core::routing::target_load m_load;
    connection_pool m_pool;
};

/// A service and its members, according to the release note in force. Valid
/// until the next call of `peer_table::change_fleet`.
struct service_members
{
    core::release::service_spec m_spec;
    std::vector<std::shared_ptr<peer>> m_members;
    /// Shared with the peer_table, because the budget outlives the list of
    /// members.
    std::shared_ptr<core::retry::retry_budget> m_retry_budget;
};

/// The services and peers that one traffic thread has used. Entries are created
/// on first use, so the size of the table depends on the services that the node
/// calls and not on the size of the fleet. Not thread-safe.
class peer_table
{
public:
    peer_table(asio::io_context& context, std::string local_address);

    /// Applies a new fleet. The loads and connections of targets that remain in
    /// the fleet are kept.
    void change_fleet(std::shared_ptr<core::release::fleet const> fleet);

    [[nodiscard]] core::release::fleet const& fleet() const noexcept;

    /// Returns the service with its members that are in service, or null if the
    /// fleet has no service of this name.
    [[nodiscard]] std::shared_ptr<service_members const> members_of(
        std::string_view service);

    /// Returns the peer beside the target `name` whose node has the address
    /// `node`, even if the target is withdrawn. Creates the peer if necessary.
    /// Returns null if there is no such peer and `node` is not a valid address.
    [[nodiscard]] std::shared_ptr<peer> find_peer(
        std::string const& name, std::string const& node);

    [[nodiscard]] Json::Value to_json(core::time_point now) const;

private:
    [[nodiscard]] std::shared_ptr<peer> find_or_create_peer(
        core::release::target_spec const& target);
    void erase_removed();

    asio::io_context& m_context;
    std::string m_local_address;
    std::shared_ptr<core::release::fleet const> m_fleet;
    std::unordered_map<std::string, std::shared_ptr<service_members const>>
        m_services;
    std::unordered_map<std::string, std::shared_ptr<core::retry::retry_budget>>
        m_budgets;
    std::unordered_map<std::string, std::shared_ptr<peer>> m_peers;
};

} // namespace hibiscustide::net

#endif

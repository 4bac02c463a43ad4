/// \file
/// The targets that one traffic thread may choose from.
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

/// One target and the way to its node.
struct peer
{
    peer(
        asio::io_context& context, core::release::target_spec target,
        std::string const& local_address);

    core::release::target_spec m_target;
    core::routing::target_load m_load;
    connection_pool m_pool;
};

/// One service with its members. Valid until the next change of fleet.
struct service_members
{
    core::release::service_spec m_spec;
    std::vector<std::shared_ptr<peer>> m_members;
    /// Shared, because it outlives the list of members.
    std::shared_ptr<core::retry::retry_budget> m_retries;
};

/// Keeps detail only of the services that were called, so its size follows
/// what the node calls and not the size of the fleet. Used on one thread.
class peer_table
{
public:
    peer_table(asio::io_context& context, std::string local_address);

    /// Another note is in force. Loads and connections of targets that stay
    /// are kept.
    void change_fleet(std::shared_ptr<core::release::fleet const> fleet);

    [[nodiscard]] core::release::fleet const& fleet() const noexcept;

    /// The service with its members in service; null where the note has none
    /// of this name.
    [[nodiscard]] std::shared_ptr<service_members const> find(
        std::string_view service);

    /// The peer beside the target, also of one that is withdrawn; null where
    /// `name` is not known and `node` is no address.
    [[nodiscard]] std::shared_ptr<peer> find_peer(
        std::string const& name, std::string const& node);

    [[nodiscard]] Json::Value to_json(core::time_point now) const;

private:
    [[nodiscard]] std::shared_ptr<peer> peer_for(
        core::release::target_spec const& target);
    void forget_unused();

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

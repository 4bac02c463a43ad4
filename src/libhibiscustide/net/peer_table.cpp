#include "net/peer_table.hpp"

#include <utility>

#include <hibiscustide/core/endpoint.hpp>

namespace hibiscustide::net
{

namespace
{

connection_pool_options pool_options(
    std::string const& node, std::string const& local_address)
{
    return {
        .m_remote = core::parse_endpoint(node).value_or(core::endpoint{}),
        .m_local_address = local_address};
}

} // namespace

peer::peer(
    asio::io_context& context, core::release::target_spec target,
    std::string const& local_address)
    : m_target{std::move(target)},
      m_pool{context, pool_options(m_target.m_node, local_address)}
{
}

peer_table::peer_table(asio::io_context& context, std::string local_address)
    : m_context{context},
      m_local_address{std::move(local_address)},
      m_fleet{std::make_shared<core::release::fleet const>()}
{
}

void peer_table::change_fleet(std::shared_ptr<core::release::fleet const> fleet)
{
    m_fleet = std::move(fleet);
    m_services.clear();
    erase_removed();
}

core::release::fleet const& peer_table::fleet() const noexcept
{
    return *m_fleet;
}

std::shared_ptr<service_members const> peer_table::members_of(
    std::string_view service)
{
    std::string const name{service};
    auto const existing = m_services.find(name);
    if (existing != m_services.end())
    {
        return existing->second;
    }
    auto const* const spec = m_fleet->find_service(name);
    if (spec == nullptr)
    {
        return nullptr;
    }
    auto& budget = m_budgets[name];
    if (!budget)
    {
        budget = std::make_shared<core::retry::retry_budget>();
    }
    auto created = std::make_shared<service_members>();
    created->m_spec = *spec;
    created->m_retry_budget = budget;
    for (auto const* member : m_fleet->targets_in_service(name))
    {
        created->m_members.push_back(find_or_create_peer(*member));
    }
    m_services.emplace(name, created);
    return created;
}

std::shared_ptr<peer> peer_table::find_peer(
    std::string const& name, std::string const& node)
{
    auto const existing = m_peers.find(name);
    if (existing != m_peers.end() && existing->second->m_target.m_node == node)
    {
        return existing->second;
    }
    if (!core::parse_endpoint(node))
    {
        return nullptr;
    }
    return find_or_create_peer({.m_name = name, .m_node = node});
}

Json::Value peer_table::to_json(core::time_point now) const
{
    Json::Value value{Json::objectValue};
    for (auto const& [name, member] : m_peers)
    {
        auto& entry = value[name] = Json::Value{Json::objectValue};
        entry["node"] = member->m_target.m_node;
        entry["available"] = member->m_load.is_available(now);
        entry["in_flight"] = member->m_load.in_flight();
        entry["estimated_use"] = member->m_load.estimated_utilisation(now);
        entry["connections"] = Json::UInt64{member->m_pool.open_connections()};
    }
    return value;
}

std::shared_ptr<peer> peer_table::find_or_create_peer(
    core::release::target_spec const& target)
{
    auto& entry = m_peers[target.m_name];
    // A replacement VM may have the same name and a different address.
    if (!entry || entry->m_target.m_node != target.m_node)
    {
        entry = std::make_shared<peer>(m_context, target, m_local_address);
    }
    entry->m_target = target;
    return entry;
}

void peer_table::erase_removed()
{
    std::erase_if(
        m_peers,
        [&](auto const& entry)
        {
            return m_fleet->find_target(entry.first) == nullptr;
        });
    std::erase_if(
        m_budgets,
        [&](auto const& entry)
        {
            return m_fleet->find_service(entry.first) == nullptr;
        });
}

} // namespace hibiscustide::net

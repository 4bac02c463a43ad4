#include "net/mesh/node_table.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include <hibiscustide/core/hash.hpp>

#include "net/clock.hpp"

namespace hibiscustide::net::mesh
{

namespace
{

// A node without a target in the directory is kept for this long after its last
// status.
constexpr std::chrono::milliseconds status_lifetime{3'000};

} // namespace

node_table::node_table(asio::io_context& context, node_table_options options)
    : m_context{context},
      m_options{std::move(options)},
      m_self{std::make_shared<node_entry>()}
{
    m_self->m_address = m_options.m_address;
    m_self->m_failure_domain = m_options.m_failure_domain;
    m_self->m_is_self = true;
    m_self->m_same_domain = true;
    m_nodes.emplace(m_options.m_address, m_self);
}

void node_table::set_directory(core::directory::directory_ptr const& current)
{
    auto const now = clock_now();
    std::set<std::string> in_directory{m_options.m_address};
    m_members.clear();
    for (auto const& target : current->targets())
    {
        auto const& address = target.m_address.m_address;
        in_directory.insert(address);
        auto const node = find_or_add(address);
        node->m_failure_domain = target.m_failure_domain;
        node->m_same_domain =
            target.m_failure_domain == m_options.m_failure_domain;
        auto const* const newest = current->find_by_address(target.m_address);
        if (newest == &target && current->is_in_service(target))
        {
            m_members[target.m_service].push_back(node);
        }
    }
    for (auto it = m_nodes.begin(); it != m_nodes.end();)
    {
        // A node whose target was removed may still be running requests.
        auto const& link = it->second->m_link;
        bool const has_pending_requests = link && link->pending() > 0;
        bool const has_recent_status =
            now - it->second->m_last_status_at < status_lifetime;
        if (in_directory.contains(it->first) || has_pending_requests ||
            has_recent_status)
        {
            ++it;
            continue;
        }
        link->close();
        it = m_nodes.erase(it);
    }
}

std::uint32_t node_table::domain_hash() const noexcept
{
    return static_cast<std::uint32_t>(
        core::hash_of(m_options.m_failure_domain));
}

void node_table::on_status(
    std::string const& address, node_status const& status, core::time_point now)
{
    bool const is_new = find(address) == nullptr;
    auto const node = find_or_add(address);
    if (node->m_is_self)
    {
        return;
    }
    if (is_new)
    {
        node->m_same_domain = status.m_domain_hash == domain_hash();
    }
    if (node->m_incarnation != status.m_incarnation)
    {
        node->m_incarnation = status.m_incarnation;
        node->m_view = {};
    }
    node->m_last_status_at = now;
    core::directory::published_state const published{
        .m_era = status.m_era, .m_revision = status.m_revision};
    node->m_published = std::max(node->m_published, published);
    node->m_is_reader = status.m_is_reader;
    node->m_view.on_report(
        status.m_target, status.m_sequence, now, status.m_reports_every_change);
}

std::vector<node_entry_ptr> const& node_table::members_of(
    std::string_view service) const
{
    static std::vector<node_entry_ptr> const none;
    auto const it = m_members.find(service);
    return it == m_members.end() ? none : it->second;
}

std::optional<double> node_table::measured_share_of(
    std::string_view service) const
{
    std::vector<std::uint32_t> percents;
    for (auto const& node : members_of(service))
    {
        auto const percent = node->m_view.report().m_measured_share_percent;
        if (!node->m_is_self && percent > 0)
        {
            percents.push_back(percent);
        }
    }
    if (percents.empty())
    {
        return std::nullopt;
    }
    auto const middle = percents.begin() +
                        static_cast<std::ptrdiff_t>((percents.size() - 1) / 2);
    std::nth_element(percents.begin(), middle, percents.end());
    return *middle / 100.0;
}

node_entry_ptr node_table::find(std::string const& address) const
{
    auto const it = m_nodes.find(address);
    return it == m_nodes.end() ? nullptr : it->second;
}

node_entry_ptr node_table::find_or_add(std::string const& address)
{
    auto& node = m_nodes[address];
    if (node)
    {
        return node;
    }
    node = std::make_shared<node_entry>();
    node->m_address = address;
    peer_link_options options{
        .m_remote = {.m_address = address, .m_port = m_options.m_port},
        .m_local_address = m_options.m_address,
        .m_hello =
            {.m_node = m_options.m_address,
             .m_incarnation = m_options.m_incarnation},
        .m_numbers = m_numbers,
        .m_on_changes = [on_changes = m_options.m_on_changes,
                         address](core::directory::item_changes&& changes)
        {
            on_changes(address, std::move(changes));
        }};
    node->m_link = std::make_shared<peer_link>(m_context, std::move(options));
    return node;
}

std::map<std::string, node_entry_ptr> const& node_table::all() const noexcept
{
    return m_nodes;
}

node_entry_ptr const& node_table::self() const noexcept
{
    return m_self;
}

Json::Value node_table::to_json() const
{
    Json::Value list{Json::arrayValue};
    auto const now = clock_now();
    for (auto const& [address, node] : m_nodes)
    {
        Json::Value value{Json::objectValue};
        auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(
            now - node->m_last_status_at);
        value["address"] = address;
        value["failure_domain"] = node->m_failure_domain;
        value["era"] = Json::UInt64{node->m_published.m_era};
        value["revision"] = Json::UInt64{node->m_published.m_revision};
        value["reads"] = node->m_is_reader;
        value["heard_ms_ago"] = Json::Int64{age.count()};
        value["load"] = node->m_view.load();
        value["slowness_percent"] = node->m_view.report().m_speed.m_slowness;
        value["open"] = node->m_view.report().m_open;
        list.append(value);
    }
    return list;
}

} // namespace hibiscustide::net::mesh

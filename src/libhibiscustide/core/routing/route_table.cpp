#include <hibiscustide/core/routing/route_table.hpp>

#include <algorithm>
#include <utility>

namespace hibiscustide::core::routing
{

weighted_round_robin::weighted_round_robin(
    std::vector<directory::weighted_service> const& services)
    : m_credit(services.size(), 0)
{
    for (auto const& part : services)
    {
        m_weights.push_back(part.m_weight);
        m_total += part.m_weight;
    }
}

std::size_t weighted_round_robin::next() noexcept
{
    std::size_t chosen = 0;
    for (std::size_t n = 0; n < m_weights.size(); ++n)
    {
        m_credit[n] += m_weights[n];
        if (m_credit[n] > m_credit[chosen])
        {
            chosen = n;
        }
    }
    if (!m_credit.empty())
    {
        m_credit[chosen] -= m_total;
    }
    return chosen;
}

route_table::route_table(std::shared_ptr<directory::configuration const> config)
    : m_config{std::move(config)}
{
    for (auto const& route : m_config->m_routes)
    {
        entry added{
            .m_route = &route,
            .m_round_robin = weighted_round_robin{route.m_services}};
        m_hosts[route.m_host].emplace(route.m_path_prefix, std::move(added));
    }
}

route_table::entry* route_table::find(
    std::string_view host, std::string_view path)
{
    auto const host_routes = m_hosts.find(host.substr(0, host.find(':')));
    if (host_routes == m_hosts.end())
    {
        return nullptr;
    }
    path = path.substr(0, path.find('?'));
    // Each prefix ends with a slash, so a matching prefix ends at a slash of
    // the path. The longest prefix is tried first.
    auto end = path.rfind('/');
    while (end != std::string_view::npos)
    {
        auto const it = host_routes->second.find(path.substr(0, end + 1));
        if (it != host_routes->second.end())
        {
            return &it->second;
        }
        end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1);
    }
    return nullptr;
}

} // namespace hibiscustide::core::routing

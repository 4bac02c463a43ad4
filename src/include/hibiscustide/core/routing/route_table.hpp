/// \file
/// Finds the route of a request and the service that receives it.
#ifndef HIBISCUSTIDE_CORE_ROUTING_ROUTE_TABLE_HPP
#define HIBISCUSTIDE_CORE_ROUTING_ROUTE_TABLE_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <hibiscustide/core/directory/configuration.hpp>

namespace hibiscustide::core::routing
{

/// Distributes the requests of one route over its services by smooth weighted
/// round robin: after any number of requests, the count of each service is
/// within one request of its weighted share.
class weighted_round_robin
{
public:
    explicit weighted_round_robin(
        std::vector<directory::weighted_service> const& services);

    /// Returns the position of the service for the next request.
    [[nodiscard]] std::size_t next() noexcept;

private:
    std::vector<std::int64_t> m_weights;
    std::vector<std::int64_t> m_credit;
    std::int64_t m_total = 0;
};

/// The routes of one configuration, by host and longest prefix. Not
/// thread-safe, since each entry holds the state of its round robin.
class route_table
{
public:
    /// A route and the distribution of its requests. The service of a request
    /// is m_route->m_services at the position that m_round_robin.next()
    /// returns.
    struct entry
    {
        directory::route const* m_route = nullptr;
        weighted_round_robin m_round_robin;
    };

    route_table() = default;
    explicit route_table(
        std::shared_ptr<directory::configuration const> config);

    /// Returns the route of the host with the longest prefix that the path
    /// begins with, or null. A port after the host and a query after the path
    /// are ignored.
    [[nodiscard]] entry* find(std::string_view host, std::string_view path);

private:
    using by_prefix = std::map<std::string, entry, std::less<>>;

    std::shared_ptr<directory::configuration const> m_config;
    std::map<std::string, by_prefix, std::less<>> m_hosts;
};

} // namespace hibiscustide::core::routing

#endif

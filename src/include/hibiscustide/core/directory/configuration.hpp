/// \file
/// Routes, services and limits in force, as operators publish them.
#ifndef HIBISCUSTIDE_CORE_DIRECTORY_CONFIGURATION_HPP
#define HIBISCUSTIDE_CORE_DIRECTORY_CONFIGURATION_HPP

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscustide::core::directory
{

/// A share of a route's requests and the service that gets it.
struct weighted_service
{
    std::string m_service;
    std::uint32_t m_weight = 1; ///< Relative to the other parts of the route.

    friend auto operator<=>(weighted_service const&, weighted_service const&) =
        default;
};

/// Requests of one host whose path begins with one prefix.
struct route
{
    std::string m_name;
    std::string m_host;
    std::string m_path_prefix; ///< Begins and ends with '/'.
    bool m_idempotent = false; ///< May run more than once.
    std::chrono::milliseconds m_timeout{0};
    std::chrono::milliseconds m_latency_objective{0};
    std::uint32_t m_priority = 0;    ///< 0 is the most urgent.
    std::uint32_t m_max_targets = 1; ///< Targets that one request may reach.
    std::vector<weighted_service> m_services; ///< At least one.

    friend auto operator<=>(route const&, route const&) = default;
};

/// What is common to the targets of one service.
struct service
{
    std::string m_name;
    std::string m_health_path;
    std::uint32_t m_max_connections = 0; ///< Of each target.
    std::chrono::milliseconds m_warm_up{0};
    double m_cold_rate = 0; ///< Requests a second that a cold target bears.

    friend auto operator<=>(service const&, service const&) = default;
};

/// What a client may send, and how slowly.
struct client_limits
{
    std::uint32_t m_max_header_bytes = 16'384;
    std::uint64_t m_max_body_bytes = 1'048'576;
    std::chrono::milliseconds m_header_timeout{3'000};
    std::chrono::milliseconds m_idle_timeout{15'000};

    friend auto operator<=>(client_limits const&, client_limits const&) =
        default;
};

/// One published version, whole.
struct configuration
{
    std::uint64_t m_version = 0; ///< 0: none was published yet.
    std::vector<route> m_routes;
    std::vector<service> m_services; ///< Sorted by name.
    client_limits m_limits;

    friend auto operator<=>(configuration const&, configuration const&) =
        default;
};

/// The service with this name, or null. Owned by the configuration.
[[nodiscard]] service const* find_service(
    configuration const& in, std::string_view name) noexcept;

} // namespace hibiscustide::core::directory

#endif

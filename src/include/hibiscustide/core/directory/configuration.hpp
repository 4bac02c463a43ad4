/// \file
/// The configuration that operators publish: routes, services and limits.
///
/// The namespace `directory` holds what hibmesh, one of the two node programs,
/// reads from the platform's publishing service: the configuration and the
/// registered targets. hibnode applies release notes instead, see core/release.
#ifndef HIBISCUSTIDE_CORE_DIRECTORY_CONFIGURATION_HPP
#define HIBISCUSTIDE_CORE_DIRECTORY_CONFIGURATION_HPP

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hibiscustide/core/directory/key_digest.hpp>

namespace hibiscustide::core::directory
{

/// A service of a route and its weight in the route's traffic split.
struct weighted_service
{
    std::string m_service;
    /// Relative to the other services of the route.
    std::uint32_t m_weight = 1;

    friend auto operator<=>(weighted_service const&, weighted_service const&) =
        default;
};

/// Requests to one host whose path begins with one prefix, and how they are
/// handled.
struct route
{
    std::string m_name;
    std::string m_host;        ///< Value of the Host header.
    std::string m_path_prefix; ///< Begins and ends with '/'.
    bool m_idempotent = false; ///< Requests may run more than once.
    /// Maximum time for the whole request with all its attempts.
    std::chrono::milliseconds m_timeout{0};
    /// Time after which an answer counts as late.
    std::chrono::milliseconds m_latency_objective{0};
    std::uint32_t m_priority = 0; ///< 0 is the highest priority.
    /// Maximum number of targets that may run one idempotent request, the first
    /// one included. A target that refused the request without running it does
    /// not count.
    std::uint32_t m_max_targets = 1;
    std::vector<weighted_service> m_services; ///< At least one.
    /// Whether requests need no API key although there are organisations.
    bool m_authentication_exempt = false;

    friend auto operator<=>(route const&, route const&) = default;
};

/// Settings shared by all targets of one service.
struct service
{
    std::string m_name;
    std::string m_health_path; ///< Path of the targets' health checks.
    /// Maximum number of connections that one target accepts in total. Its node
    /// leaves a few of them to probes and to other clients.
    std::uint32_t m_max_connections = 0;
    /// Time from the start of a target until it is warm. A target is cold, and
    /// its request rate is limited, as long as its health answers report a
    /// remaining warm-up time.
    std::chrono::milliseconds m_warm_up{0};
    /// Requests per second that a cold target can handle.
    double m_cold_rate = 0;

    friend auto operator<=>(service const&, service const&) = default;
};

/// A customer of the users' platform, whose callers send its API keys.
struct organisation
{
    std::string m_name; ///< Not empty; a valid value of a header field.
    std::vector<key_digest> m_keys;
    /// Replaces the priority of the routes.
    std::optional<std::uint32_t> m_priority;
    double m_rate = 0;  ///< Requests per second; 0: no limit.
    double m_burst = 0; ///< Requests above the rate.

    friend auto operator<=>(organisation const&, organisation const&) = default;
};

/// Limits on the size of client requests and on the time clients may take to
/// send them.
struct client_limits
{
    std::uint32_t m_max_header_bytes = 16'384;
    std::uint64_t m_max_body_bytes = 1'048'576;
    std::chrono::milliseconds m_header_timeout{3'000};
    std::chrono::milliseconds m_idle_timeout{15'000};

    friend auto operator<=>(client_limits const&, client_limits const&) =
        default;
};

/// One complete published version of the configuration.
struct configuration
{
    std::uint64_t m_version = 0; ///< 0 if none was published yet.
    std::vector<route> m_routes;
    std::vector<service> m_services; ///< Sorted by name.
    client_limits m_limits;
    /// Sorted by name. If there are any, requests need an API key of one of
    /// them, except on routes that are exempt.
    std::vector<organisation> m_organisations;

    friend auto operator<=>(configuration const&, configuration const&) =
        default;
};

/// Returns the service with this name, or null. The configuration owns it.
[[nodiscard]] service const* find_service(
    configuration const& config, std::string_view name) noexcept;

/// Returns the organisation with this name, or null. The configuration owns it.
[[nodiscard]] organisation const* find_organisation(
    configuration const& config, std::string_view name) noexcept;

} // namespace hibiscustide::core::directory

#endif

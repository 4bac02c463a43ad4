/// \file
/// The settings of hibnode, the node program that takes its configuration from
/// release notes.
#ifndef HIBISCUSTIDE_CORE_CONFIG_NODE_SETTINGS_HPP
#define HIBISCUSTIDE_CORE_CONFIG_NODE_SETTINGS_HPP

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

#include <hibiscustide/core/endpoint.hpp>
#include <hibiscustide/core/error.hpp>

namespace hibiscustide::core::config
{

/// Unchecked settings from flags and environment variables. Each member holds
/// the text of one setting; node_settings describes the values.
struct node_settings_text
{
    std::string m_name;
    std::string m_failure_domain;
    std::string m_caller_listen;
    std::string m_peer_listen;
    std::string m_admin_listen;
    std::string m_target;
    std::string m_platform;
    std::string m_policy = "sampled-load";
    std::string m_log_level = "info";
    std::string m_traffic_threads = "1";
    std::string m_drain_notice_ms = "2000";
    std::string m_drain_limit_ms = "30000";
    std::string m_max_body_bytes = "1048576";
    std::string m_expected_nodes = "5700";
};

/// Checked settings.
struct node_settings
{
    std::string m_name;           ///< Of the target beside the node.
    std::string m_failure_domain; ///< Of the VM on which the node runs.
    endpoint m_caller_listen;     ///< Address for callers.
    endpoint m_peer_listen;       ///< Address for other nodes.
    endpoint m_admin_listen;      ///< Address for metrics and state dumps.
    endpoint m_target;            ///< Address of the target beside the node.
    endpoint m_platform;     ///< The platform, which serves the release notes.
    std::string m_policy;    ///< Name of the policy that chooses targets.
    std::string m_log_level; ///< Least level of the events that are logged.
    std::uint32_t m_traffic_threads = 1; ///< Threads that serve requests.
    /// How long callers are still served after a graceful shutdown has begun.
    std::chrono::milliseconds m_drain_notice{0};
    /// Maximum time after the drain notice for requests in flight to finish.
    std::chrono::milliseconds m_drain_limit{0};
    std::size_t m_max_body_bytes = 0; ///< Maximum size of a request body.
    /// Size of the fleet that is assumed until the first release note arrives.
    std::uint32_t m_expected_nodes = 0;

    friend auto operator<=>(node_settings const&, node_settings const&) =
        default;
};

/// Checks every setting; returns one error for each invalid setting, with the
/// name of its flag.
[[nodiscard]] value_or_errors<node_settings> check_settings(
    node_settings_text const& text);

} // namespace hibiscustide::core::config

#endif

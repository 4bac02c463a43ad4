/// \file
/// The settings of a node that finds its fleet in a directory.
#ifndef HIBISCUSTIDE_CORE_CONFIG_MESH_SETTINGS_HPP
#define HIBISCUSTIDE_CORE_CONFIG_MESH_SETTINGS_HPP

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include <hibiscustide/core/endpoint.hpp>
#include <hibiscustide/core/error.hpp>

namespace hibiscustide::core::config
{

/// Settings as read from flags, environment variables and a file.
struct mesh_settings_text
{
    std::string m_name;
    std::string m_failure_domain;
    std::string m_service;
    std::string m_target;
    std::string m_caller_listen;
    std::string m_ready_listen;
    std::string m_peer_address;
    std::string m_peer_ports;
    std::string m_publisher;
    std::string m_seeds;
    std::string m_first_start = "false";
    std::string m_log_level = "info";
    std::string m_probe_interval_ms = "40";
    std::string m_cold_overage = "1";
    std::string m_cold_slack = "0";
    std::string m_address_reuse_s = "0";
    std::string m_retry_ratio = "0.2";
    std::string m_retry_window_s = "10";
    std::string m_retry_slack = "10";
    std::string m_stop_limit_ms = "5300";
};

/// Settings as the node uses them.
struct mesh_settings
{
    std::string m_name;
    std::string m_failure_domain;
    std::string m_service; ///< Of the target beside the node.
    endpoint m_target;
    endpoint m_caller_listen;
    endpoint m_ready_listen;
    endpoint m_peer_listen;  ///< The first of the ports between nodes.
    endpoint m_admin_listen; ///< The last of them.
    endpoint m_publisher;
    std::vector<endpoint>
        m_seeds; ///< Nodes to ask first; their ports are not used.
    bool m_first_start = false; ///< The whole fleet starts for the first time.
    std::string m_log_level;
    std::chrono::milliseconds m_probe_interval{40};
    double m_cold_overage = 1; ///< Borne above a cold target's published rate.
    double m_cold_slack = 0;   ///< Requests on top of that in any one second.
    /// A target's address passes to another service no sooner than this after
    /// its end.
    std::chrono::seconds m_address_reuse{0};
    double m_retry_ratio = 0.2; ///< Second attempts for each request.
    std::chrono::seconds m_retry_window{10};
    double m_retry_slack = 0; ///< On top of the ratio, for the fleet.
    std::chrono::milliseconds m_stop_limit{0}; ///< From SIGTERM to the end.

    friend auto operator<=>(mesh_settings const&, mesh_settings const&) =
        default;
};

/// Checks every setting and gives all that are wrong, each by its name.
[[nodiscard]] value_or_errors<mesh_settings> check_settings(
    mesh_settings_text const& text);

} // namespace hibiscustide::core::config

#endif

/// \file
/// The settings of hibmesh, the node program that reads its configuration from
/// a directory.
#ifndef HIBISCUSTIDE_CORE_CONFIG_MESH_SETTINGS_HPP
#define HIBISCUSTIDE_CORE_CONFIG_MESH_SETTINGS_HPP

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include <hibiscustide/core/endpoint.hpp>
#include <hibiscustide/core/error.hpp>
#include <hibiscustide/core/quota/quota_fleet.hpp>

namespace hibiscustide::core::config
{

/// Unchecked settings from flags, environment variables and a file. Each member
/// holds the text of one setting; mesh_settings describes the values.
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
    std::string m_grace_s; ///< If it is a number, determines the stop limit.
    std::string m_link_mbps = "1000";
    std::string m_quota_window_s = "5";
    std::string m_quota_overage = "0";
    std::string m_quota_slack = "0";
};

/// Checked settings.
struct mesh_settings
{
    std::string m_name;           ///< Name of the node in its logs.
    std::string m_failure_domain; ///< Of the VM on which the node runs.
    std::string m_service;        ///< Of the target beside the node.
    endpoint m_target;            ///< Address of that target.
    endpoint m_caller_listen;     ///< Address for callers.
    endpoint m_ready_listen; ///< Reports whether the node is ready to serve.
    /// Address for other nodes: the peer address with the first port of
    /// --peer-ports.
    endpoint m_peer_listen;
    /// Address for metrics and state dumps: the peer address with the last port
    /// of --peer-ports.
    endpoint m_admin_listen;
    /// Address of the service that publishes the directory.
    endpoint m_publisher;
    /// Nodes that are asked first for the directory. Only their IP addresses
    /// are used, not their ports.
    std::vector<endpoint> m_seeds;
    /// Whether the whole fleet starts for the first time.
    bool m_first_start = false;
    std::string m_log_level; ///< Least level of the events that are logged.
    /// Time between two health probes of the target.
    std::chrono::milliseconds m_probe_interval{40};
    /// Request rate of a cold target, as a multiple of its published rate.
    double m_cold_overage = 1;
    /// Requests that a cold target may get in any one second in addition to
    /// that rate.
    double m_cold_slack = 0;
    /// Least time from a target's end until its address may belong to another
    /// service.
    std::chrono::milliseconds m_address_reuse{0};
    /// Largest number of second attempts, as a multiple of the requests in one
    /// window.
    double m_retry_ratio = 0.2;
    std::chrono::milliseconds m_retry_window{10'000}; ///< Length of the window.
    /// Second attempts of the fleet in one window in addition to the ratio.
    double m_retry_slack = 0;
    std::chrono::milliseconds m_stop_limit{0}; ///< From SIGTERM to exit.
    /// Capacity of the network link of the VM, in Mbit/s.
    double m_link_mbps = 1'000;
    /// Window, overage and slack of the quotas of organisations.
    quota::quota_options m_quota;

    friend auto operator<=>(mesh_settings const&, mesh_settings const&) =
        default;
};

/// The settings of a node, and an error for each one whose text was replaced by
/// a default or by the nearest allowed value.
struct checked_mesh_settings
{
    mesh_settings m_settings;
    field_errors m_replaced;

    friend auto operator<=>(
        checked_mesh_settings const&, checked_mesh_settings const&) = default;
};

/// Checks every setting. A setting that has a default value gets it if its text
/// cannot be read, and the nearest allowed value if its number is out of range:
/// a node that does not start for such a setting is lost until an operator
/// corrects it. Returns one error for each invalid setting without a default
/// value. Errors have the names of flags.
[[nodiscard]] value_or_errors<checked_mesh_settings> check_settings(
    mesh_settings_text const& text);

} // namespace hibiscustide::core::config

#endif

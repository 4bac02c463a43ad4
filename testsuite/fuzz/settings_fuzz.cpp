// Settings of both node programs. The input holds one setting on each line, in
// the order of the members below.
#include <functional>
#include <variant>

#include <hibiscustide/core/config/mesh_settings.hpp>
#include <hibiscustide/core/config/node_settings.hpp>

#include "fuzz_target.hpp"

namespace hibiscustide::fuzz
{

namespace
{

namespace config = core::config;

std::vector<std::reference_wrapper<std::string>> members(
    config::mesh_settings_text& text)
{
    return {
        text.m_name,
        text.m_failure_domain,
        text.m_service,
        text.m_target,
        text.m_caller_listen,
        text.m_ready_listen,
        text.m_peer_address,
        text.m_peer_ports,
        text.m_publisher,
        text.m_seeds,
        text.m_first_start,
        text.m_log_level,
        text.m_cold_overage,
        text.m_cold_slack,
        text.m_retry_ratio,
        text.m_retry_window_s,
        text.m_retry_slack,
        text.m_stop_limit_ms,
        text.m_grace_s,
        text.m_link_mbps,
        text.m_address_reuse_s,
        text.m_probe_interval_ms,
        text.m_quota_window_s,
        text.m_quota_overage,
        text.m_quota_slack};
}

std::vector<std::reference_wrapper<std::string>> members(
    config::node_settings_text& text)
{
    return {text.m_name,           text.m_failure_domain,
            text.m_policy,         text.m_target,
            text.m_caller_listen,  text.m_peer_listen,
            text.m_admin_listen,   text.m_platform,
            text.m_log_level,      text.m_traffic_threads,
            text.m_drain_limit_ms, text.m_drain_notice_ms,
            text.m_max_body_bytes, text.m_expected_nodes};
}

template <typename Text>
Text read_lines(std::string_view bytes)
{
    Text text;
    for (std::string& member : members(text))
    {
        auto const end = bytes.find('\n');
        member = bytes.substr(0, end);
        bytes.remove_prefix(
            end == std::string_view::npos ? bytes.size() : end + 1);
    }
    return text;
}

template <typename Text>
std::string write_lines(Text text)
{
    std::string lines;
    for (std::string const& member : members(text))
    {
        lines += member + "\n";
    }
    return lines;
}

// Returns the checked settings, or nothing if they are invalid.
template <typename Settings, typename Text>
std::optional<Settings> check(Text const& text)
{
    auto const checked = config::check_settings(text);
    if (auto const* const settings = std::get_if<Settings>(&checked))
    {
        return *settings;
    }
    auto const& errors = std::get<core::field_errors>(checked);
    require(!errors.empty(), "rejected settings have an error");
    static_cast<void>(core::to_string(errors));
    return std::nullopt;
}

} // namespace

std::vector<std::string> make_seeds()
{
    config::mesh_settings_text mesh{
        .m_name = "node-1",
        .m_failure_domain = "a",
        .m_service = "lookup",
        .m_target = "10.0.0.1:8080",
        .m_caller_listen = "10.0.0.1:80",
        .m_ready_listen = "10.0.0.1:81",
        .m_peer_address = "10.0.0.1",
        .m_peer_ports = "7000,7015",
        .m_publisher = "[::1]:2400",
        .m_seeds = "10.0.0.1:7000,10.0.0.2:7000",
        .m_grace_s = "6"};
    config::node_settings_text node{
        .m_name = "lookup-1",
        .m_failure_domain = "a",
        .m_caller_listen = "10.0.0.1:80",
        .m_peer_listen = "10.0.0.1:81",
        .m_admin_listen = "10.0.0.1:82",
        .m_target = "10.0.0.1:8080",
        .m_platform = "10.0.0.2:2400"};
    return {write_lines(mesh), write_lines(node)};
}

void run_input(std::string_view bytes)
{
    auto const mesh = check<config::checked_mesh_settings>(
        read_lines<config::mesh_settings_text>(bytes));
    if (mesh)
    {
        auto const& settings = mesh->m_settings;
        require(
            settings.m_peer_listen.m_port < settings.m_admin_listen.m_port,
            "the ports of a node differ");
        require(
            settings.m_retry_ratio >= 0 && settings.m_retry_ratio <= 1 &&
                settings.m_retry_slack >= 0 && settings.m_link_mbps > 0 &&
                settings.m_cold_overage > 0 && settings.m_cold_slack >= 0,
            "numbers are within their bounds");
        require(
            settings.m_stop_limit.count() >= 0, "a time limit is not negative");
    }
    auto const node = check<config::node_settings>(
        read_lines<config::node_settings_text>(bytes));
    if (node)
    {
        require(node->m_traffic_threads > 0, "there is a traffic thread");
        require(node->m_max_body_bytes > 0, "bodies have a limit");
    }
}

} // namespace hibiscustide::fuzz

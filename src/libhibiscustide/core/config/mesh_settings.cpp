#include <hibiscustide/core/config/mesh_settings.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <string_view>
#include <utility>

#include <hibiscustide/core/admission/stop_window.hpp>
#include <hibiscustide/core/config/setting_checker.hpp>

namespace hibiscustide::core::config
{

namespace
{

constexpr auto boolean_values =
    std::to_array<std::string_view>({"true", "false"});
constexpr auto log_levels =
    std::to_array<std::string_view>({"debug", "info", "warn", "error"});

constexpr bounds<std::uint64_t> port_bounds{1, 65'535};
constexpr bounds<double> probe_ms_bounds{5, 10'000};
constexpr bounds<double> window_s_bounds{1, 86'400};
constexpr bounds<double> reuse_s_bounds{0, 86'400};
constexpr bounds<double> stop_ms_bounds{0, 86'400'000};
constexpr bounds<double> grace_s_bounds{0, 86'400};
constexpr bounds<double> ratio_bounds{0, 1};
constexpr bounds<double> overage_bounds{0.1, 10};
constexpr bounds<double> quota_overage_bounds{0, 10};
constexpr bounds<double> slack_bounds{0, 1e6};
constexpr bounds<double> link_mbps_bounds{0.1, 1e6};

std::chrono::milliseconds from_ms(double number)
{
    return std::chrono::milliseconds{std::llround(number)};
}

std::chrono::milliseconds from_s(double number)
{
    constexpr double ms_of_s = 1'000;
    return from_ms(number * ms_of_s);
}

struct port_range
{
    std::uint16_t m_first = 0;
    std::uint16_t m_last = 0;
};

// Parses "FIRST,LAST", a range of at least two ports.
port_range read_ports(setting_checker& checker, std::string const& text)
{
    auto const comma = text.find(',');
    if (comma == std::string::npos)
    {
        checker.add_error(
            "--peer-ports", "'" + text + "' does not have the form FIRST,LAST");
        return {};
    }
    auto const first = checker.whole_number(
        "--peer-ports", text.substr(0, comma), port_bounds);
    auto const last = checker.whole_number(
        "--peer-ports", text.substr(comma + 1), port_bounds);
    if (first >= last)
    {
        checker.add_error("--peer-ports", "must name at least two ports");
    }
    return {
        .m_first = static_cast<std::uint16_t>(first),
        .m_last = static_cast<std::uint16_t>(last)};
}

// Parses addresses separated by commas; an empty text has none.
std::vector<endpoint> read_seeds(
    setting_checker& checker, std::string const& text)
{
    std::vector<endpoint> seeds;
    std::size_t begin = 0;
    while (begin < text.size())
    {
        auto const end = std::min(text.find(',', begin), text.size());
        seeds.push_back(checker.required_endpoint(
            "--seeds", text.substr(begin, end - begin)));
        begin = end + 1;
    }
    return seeds;
}

// The time from the signal to the exit. The grace period takes precedence.
std::chrono::milliseconds read_stop_limit(
    setting_checker& checker, mesh_settings_text const& text)
{
    mesh_settings_text const defaults;
    auto const default_ms = std::stod(defaults.m_stop_limit_ms);
    auto const limit = from_ms(checker.number_or_default(
        "--stop-limit-ms", text.m_stop_limit_ms, default_ms, stop_ms_bounds));
    if (text.m_grace_s.empty())
    {
        return limit;
    }
    // There is no grace period of this length.
    constexpr double no_grace_s = -1;
    auto const grace_s = checker.number_or_default(
        "--grace-s", text.m_grace_s, no_grace_s, grace_s_bounds);
    if (grace_s < grace_s_bounds.m_min)
    {
        return limit;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        admission::stop_limit_for(from_s(grace_s)));
}

} // namespace

value_or_errors<checked_mesh_settings> check_settings(
    mesh_settings_text const& text)
{
    setting_checker checker;
    mesh_settings_text const defaults;
    auto const number = [&checker, &text, &defaults](
                            char const* flag,
                            std::string mesh_settings_text::*member,
                            bounds<double> allowed)
    {
        return checker.number_or_default(
            flag, text.*member, std::stod(defaults.*member), allowed);
    };
    // An empty text stands for the default: a platform may have no value.
    auto const number_if_set = [&number, &text, &defaults](
                                   char const* flag,
                                   std::string mesh_settings_text::*member,
                                   bounds<double> allowed)
    {
        return (text.*member).empty() ? std::stod(defaults.*member)
                                      : number(flag, member, allowed);
    };
    auto const peer_address =
        checker.required_text("--peer-address", text.m_peer_address);
    auto const ports = read_ports(checker, text.m_peer_ports);
    mesh_settings settings{
        .m_name = checker.required_text("--name", text.m_name),
        .m_failure_domain =
            checker.required_text("--failure-domain", text.m_failure_domain),
        .m_service = checker.required_text("--service", text.m_service),
        .m_target = checker.required_endpoint("--target", text.m_target),
        .m_caller_listen =
            checker.required_endpoint("--caller-listen", text.m_caller_listen),
        .m_ready_listen =
            checker.required_endpoint("--ready-listen", text.m_ready_listen),
        .m_peer_listen = {.m_address = peer_address, .m_port = ports.m_first},
        .m_admin_listen = {.m_address = peer_address, .m_port = ports.m_last},
        .m_publisher =
            checker.required_endpoint("--publisher", text.m_publisher),
        .m_seeds = read_seeds(checker, text.m_seeds),
        .m_first_start = checker.one_of_or_default(
                             "--first-start", text.m_first_start, "false",
                             boolean_values) == "true",
        .m_log_level = checker.one_of_or_default(
            "--log-level", text.m_log_level, "info", log_levels),
        .m_probe_interval = from_ms(number(
            "--probe-interval-ms", &mesh_settings_text::m_probe_interval_ms,
            probe_ms_bounds)),
        .m_cold_overage = number(
            "--cold-overage", &mesh_settings_text::m_cold_overage,
            overage_bounds),
        .m_cold_slack = number(
            "--cold-slack", &mesh_settings_text::m_cold_slack, slack_bounds),
        .m_address_reuse = from_s(number(
            "--address-reuse-s", &mesh_settings_text::m_address_reuse_s,
            reuse_s_bounds)),
        .m_retry_ratio = number(
            "--retry-ratio", &mesh_settings_text::m_retry_ratio, ratio_bounds),
        .m_retry_window = from_s(number(
            "--retry-window-s", &mesh_settings_text::m_retry_window_s,
            window_s_bounds)),
        .m_retry_slack = number(
            "--retry-slack", &mesh_settings_text::m_retry_slack, slack_bounds),
        .m_stop_limit = read_stop_limit(checker, text),
        .m_link_mbps = number(
            "--link-mbps", &mesh_settings_text::m_link_mbps, link_mbps_bounds),
        .m_quota = {
            .m_window = from_s(number_if_set(
                "--quota-window-s", &mesh_settings_text::m_quota_window_s,
                window_s_bounds)),
            .m_overage = number_if_set(
                "--quota-overage", &mesh_settings_text::m_quota_overage,
                quota_overage_bounds),
            .m_slack = number_if_set(
                "--quota-slack", &mesh_settings_text::m_quota_slack,
                slack_bounds)}};
    auto const peer =
        parse_endpoint(peer_address + ":" + std::to_string(ports.m_first));
    if (!peer_address.empty() && !peer)
    {
        checker.add_error(
            "--peer-address", "'" + peer_address + "' is not an IP address");
    }
    if (!checker.errors().empty())
    {
        return checker.errors();
    }
    return checked_mesh_settings{
        .m_settings = std::move(settings), .m_replaced = checker.replaced()};
}

} // namespace hibiscustide::core::config

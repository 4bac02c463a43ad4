#include <hibiscustide/core/config/node_settings.hpp>

#include <array>

#include <hibiscustide/core/config/setting_checker.hpp>
#include <hibiscustide/core/routing/policy.hpp>

namespace hibiscustide::core::config
{

namespace
{

constexpr auto log_levels =
    std::to_array<std::string_view>({"debug", "info", "warn", "error"});

constexpr bounds<std::uint64_t> thread_bounds{1, 64};
constexpr bounds<std::uint64_t> notice_ms_bounds{0, 60'000};
constexpr bounds<std::uint64_t> limit_ms_bounds{1, 600'000};
constexpr bounds<std::uint64_t> body_bounds{1'024, 67'108'864};
constexpr bounds<std::uint64_t> node_count_bounds{1, 1'000'000};

} // namespace

value_or_errors<node_settings> check_settings(node_settings_text const& text)
{
    using std::chrono::milliseconds;
    setting_checker checker;
    node_settings settings{
        .m_name = checker.required_text("--name", text.m_name),
        .m_failure_domain =
            checker.required_text("--failure-domain", text.m_failure_domain),
        .m_caller_listen =
            checker.required_endpoint("--caller-listen", text.m_caller_listen),
        .m_peer_listen =
            checker.required_endpoint("--peer-listen", text.m_peer_listen),
        .m_admin_listen =
            checker.required_endpoint("--admin-listen", text.m_admin_listen),
        .m_target = checker.required_endpoint("--target", text.m_target),
        .m_platform = checker.required_endpoint("--platform", text.m_platform),
        .m_policy =
            checker.one_of("--policy", text.m_policy, routing::policy_names()),
        .m_log_level =
            checker.one_of("--log-level", text.m_log_level, log_levels),
        .m_traffic_threads = static_cast<std::uint32_t>(checker.whole_number(
            "--traffic-threads", text.m_traffic_threads, thread_bounds)),
        .m_drain_notice = milliseconds{checker.whole_number(
            "--drain-notice-ms", text.m_drain_notice_ms, notice_ms_bounds)},
        .m_drain_limit = milliseconds{checker.whole_number(
            "--drain-limit-ms", text.m_drain_limit_ms, limit_ms_bounds)},
        .m_max_body_bytes = checker.whole_number(
            "--max-body-bytes", text.m_max_body_bytes, body_bounds),
        .m_expected_nodes = static_cast<std::uint32_t>(checker.whole_number(
            "--expected-nodes", text.m_expected_nodes, node_count_bounds))};
    if (!checker.errors().empty())
    {
        return checker.errors();
    }
    return settings;
}

} // namespace hibiscustide::core::config

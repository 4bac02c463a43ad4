// hibnode: the load balancer node that runs beside each target.
#include <cstdio>
#include <string>

#include <CLI/CLI.hpp>

#include <hibiscustide/cli/setting_flags.hpp>
#include <hibiscustide/core/config/node_settings.hpp>
#include <hibiscustide/net/event_log.hpp>
#include <hibiscustide/net/node.hpp>

#include "net/stop_signal.hpp"

namespace
{

namespace config = hibiscustide::core::config;
namespace net = hibiscustide::net;
using hibiscustide::cli::add_setting;
using hibiscustide::core::field_errors;
using hibiscustide::core::observe::event;

constexpr int exit_failure = 1;
constexpr int exit_bad_settings = 2;

constexpr char const* footer = R"(
Each flag can be given as an environment variable instead: HIBISCUSTIDE_ and
the flag's name in capitals, with '_' for '-'. A flag takes precedence over a
variable.

Example:
  hibnode --name etiquetas-1 --failure-domain sul-poa \
    --caller-listen 10.0.0.7:80 --peer-listen 10.0.0.7:7400 \
    --admin-listen 127.0.0.1:7401 --target 127.0.0.1:8080 \
    --platform 10.0.0.2:2400

Exit status: 0 after a graceful shutdown, 1 if a listener cannot be opened,
2 if a setting is invalid.)";

void add_settings(CLI::App& app, config::node_settings_text& text)
{
    add_setting(
        app, "name", text.m_name, "Name of the target beside this node");
    add_setting(
        app, "failure-domain", text.m_failure_domain,
        "Failure domain of this VM");
    add_setting(
        app, "caller-listen", text.m_caller_listen,
        "Address for callers, ip:port");
    add_setting(
        app, "peer-listen", text.m_peer_listen,
        "Address for other nodes and for calls made by the target, ip:port");
    add_setting(
        app, "admin-listen", text.m_admin_listen,
        "Address for /health, /metrics and /state, ip:port");
    add_setting(
        app, "target", text.m_target,
        "Address of the target beside this node, ip:port");
    add_setting(
        app, "platform", text.m_platform,
        "Address of the configuration service, ip:port");
    add_setting(
        app, "policy", text.m_policy,
        "Policy that selects a target: random, round-robin, two-choices, "
        "least-in-flight or sampled-load");
    add_setting(
        app, "log-level", text.m_log_level,
        "Lowest level that is logged: debug, info, warn or error");
    add_setting(
        app, "traffic-threads", text.m_traffic_threads,
        "Threads that serve callers and peers");
    add_setting(
        app, "drain-notice-ms", text.m_drain_notice_ms,
        "Time for which a leaving node still serves callers, in milliseconds");
    add_setting(
        app, "drain-limit-ms", text.m_drain_limit_ms,
        "Longest wait for requests in flight after the drain notice, in "
        "milliseconds");
    add_setting(
        app, "max-body-bytes", text.m_max_body_bytes,
        "Largest request body, in bytes");
    add_setting(
        app, "expected-nodes", text.m_expected_nodes,
        "Number of nodes assumed until the first note arrives; sets the "
        "initial "
        "rate of reads from the configuration service");
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"A node of the load balancer hibiscustide"};
    app.set_version_flag("--version", HIBISCUSTIDE_VERSION);
    app.footer(footer);
    config::node_settings_text text;
    add_settings(app, text);
    CLI11_PARSE(app, argc, argv);

    auto checked = config::check_settings(text);
    if (auto const* const errors = std::get_if<field_errors>(&checked))
    {
        for (auto const& error : *errors)
        {
            std::fprintf(
                stderr, "hibnode: %s\n",
                hibiscustide::core::to_string(error).c_str());
        }
        return exit_bad_settings;
    }
    auto const& settings = std::get<config::node_settings>(checked);
    net::open_event_log(settings.m_name, settings.m_log_level);
    net::ignore_broken_pipes();
    net::node node{settings};
    if (auto const failure = node.start())
    {
        net::log_event(event::listen_failed, {{"error", *failure}});
        net::flush_event_log();
        return exit_failure;
    }
    node.run();
    return 0;
}

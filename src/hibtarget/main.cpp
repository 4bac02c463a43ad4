// hibtarget: a simulated target for tests and experiments.
#include <csignal>
#include <cstdio>
#include <string>

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>

#include "target_server.hpp"

namespace
{

namespace simulation = hibiscustide::simulation;
namespace asio = hibiscustide::net::asio;

constexpr int exit_failure = 1;
constexpr int exit_bad_settings = 2;

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"A simulated target of hibiscustide"};
    app.set_version_flag("--version", HIBISCUSTIDE_VERSION);
    simulation::target_options options;
    std::string listen_text;
    std::int64_t mean_us = options.m_mean_time.count();
    std::int64_t drain_notice_ms = options.m_drain_notice.count();
    app.add_option("--name", options.m_name, "Name of the target")->required();
    app.add_option("--listen", listen_text, "Address to serve on, ip:port")
        ->required();
    app.add_option("--ledger", options.m_ledger, "File to record the runs in");
    app.add_option(
           "--slots", options.m_slots,
           "Number of requests that the target can run concurrently")
        ->capture_default_str();
    app.add_option(
           "--cold-slots", options.m_cold_slots,
           "Number of slots after a start")
        ->capture_default_str();
    app.add_option("--mean-us", mean_us, "Mean service time in microseconds")
        ->capture_default_str();
    app.add_option(
           "--deviation", options.m_deviation,
           "Standard deviation of the logarithm of the service time; 0 for a "
           "constant time")
        ->capture_default_str();
    app.add_option(
           "--drain-notice-ms", drain_notice_ms,
           "Time from SIGTERM until the listener is closed, in milliseconds")
        ->capture_default_str();
    app.add_option("--seed", options.m_seed, "Random seed of the service times")
        ->capture_default_str();
    CLI11_PARSE(app, argc, argv);

    auto const address = hibiscustide::core::parse_endpoint(listen_text);
    if (!address)
    {
        std::fprintf(
            stderr, "hibtarget: --listen: is not an IP address with a port\n");
        return exit_bad_settings;
    }
    options.m_listen = *address;
    options.m_mean_time = std::chrono::microseconds{mean_us};
    options.m_drain_notice = std::chrono::milliseconds{drain_notice_ms};
    asio::io_context context{1};
    simulation::target_server server{context, options};
    if (auto const failure = server.start())
    {
        std::fprintf(stderr, "hibtarget: %s\n", failure->c_str());
        return exit_failure;
    }
    asio::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait(
        [&](auto const&, int)
        {
            asio::co_spawn(context, server.shut_down(), asio::detached);
        });
    context.run();
    return 0;
}

// hibplatform: a simulated platform for tests and experiments.
#include <csignal>
#include <cstdio>
#include <string>

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>

#include "platform_server.hpp"

namespace
{

namespace simulation = hibiscustide::simulation;
namespace asio = hibiscustide::net::asio;

constexpr int exit_failure = 1;
constexpr int exit_bad_settings = 2;

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"A simulated platform for hibiscustide"};
    app.set_version_flag("--version", HIBISCUSTIDE_VERSION);
    std::string listen;
    app.add_option("--listen", listen, "Address to serve on, ip:port")
        ->required();
    CLI11_PARSE(app, argc, argv);

    auto const address = hibiscustide::core::parse_endpoint(listen);
    if (!address)
    {
        std::fprintf(
            stderr,
            "hibplatform: --listen: is not an IP address with a port\n");
        return exit_bad_settings;
    }
    asio::io_context context{1};
    simulation::platform_server server{context, *address};
    if (auto const failure = server.start())
    {
        std::fprintf(stderr, "hibplatform: %s\n", failure->c_str());
        return exit_failure;
    }
    asio::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait(
        [&](auto const&, int)
        {
            context.stop();
        });
    context.run();
    return 0;
}

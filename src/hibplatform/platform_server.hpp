/// \file
/// A simulated platform: the configuration service, which can be read and
/// watched, and the VM list, which can lag behind.
#ifndef HIBISCUSTIDE_HIBPLATFORM_PLATFORM_SERVER_HPP
#define HIBISCUSTIDE_HIBPLATFORM_PLATFORM_SERVER_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include <hibiscustide/core/endpoint.hpp>
#include <hibiscustide/core/time.hpp>

#include "net/http_server.hpp"

namespace hibiscustide::simulation
{

/// The faults that the platform simulates at present; set by POST
/// /admin/faults.
struct platform_faults
{
    bool m_unavailable = false; ///< Reads are answered with status 503.
    std::chrono::milliseconds m_response_delay{0}; ///< Delays each read.
    std::chrono::milliseconds m_value_lag{0};   ///< Minimum age of values read.
    std::chrono::milliseconds m_vm_list_lag{0}; ///< Minimum age of the VM list.
};

/// Runs the simulated platform on one io_context.
///
/// Paths for nodes: GET /v1/values/KEY, GET /v1/watch/KEY?after=V&wait_ms=N
/// and GET /v1/vms. Paths for operators: POST /admin/release with a note, POST
/// /admin/values/KEY, POST /admin/vms, POST /admin/faults, GET /admin/counts.
class platform_server
{
public:
    platform_server(net::asio::io_context& context, core::endpoint listen);

    /// Opens the listener. Returns the error message where that fails.
    [[nodiscard]] std::optional<std::string> start();

private:
    /// A text that was stored under a key at the time m_since.
    struct version
    {
        std::uint64_t m_number = 0;
        std::string m_text;
        core::time_point m_since;
    };
    using history = std::vector<version>;

    net::awaitable<net::http_response> handle_request(
        net::http_request& request);
    net::awaitable<net::http_response> handle_read(std::string_view target);
    net::awaitable<net::http_response> watch(std::string_view target);
    [[nodiscard]] net::http_response read_value(std::string const& key) const;
    [[nodiscard]] net::http_response read_vms() const;
    net::http_response handle_admin(
        std::string_view target, net::http_request const& request);
    net::http_response publish(std::string const& text);
    net::http_response set_faults(std::string const& text);
    [[nodiscard]] net::http_response counts() const;
    [[nodiscard]] version const* newest_version(
        history const& versions, std::chrono::milliseconds age) const;
    void store_value(std::string const& key, std::string text);

    net::asio::io_context& m_context;
    core::endpoint m_listen;
    std::shared_ptr<net::http_server> m_server;
    platform_faults m_faults;
    std::map<std::string, history> m_values;
    history m_vm_lists;
    std::uint64_t m_next_version = 1;
    std::uint64_t m_reads = 0;
    std::set<net::asio::steady_timer*> m_watchers;
};

} // namespace hibiscustide::simulation

#endif

/// \file
/// Tells other nodes how the own target is, and hears it of theirs.
#ifndef HIBISCUSTIDE_NET_MESH_STATUS_EXCHANGE_HPP
#define HIBISCUSTIDE_NET_MESH_STATUS_EXCHANGE_HPP

#include <functional>
#include <optional>
#include <string>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <hibiscustide/core/endpoint.hpp>
#include <hibiscustide/core/routing/report_schedule.hpp>

#include "net/http_types.hpp"
#include "net/mesh/messages.hpp"
#include "net/mesh/neighbours.hpp"

namespace hibiscustide::net::mesh
{

struct status_exchange_options
{
    core::endpoint m_listen;
    std::uint64_t m_incarnation = 0;
    std::function<core::routing::target_report()> m_report;
    std::function<core::admission::crash_update()> m_crashes;
    std::function<void(std::string const& address, node_status const&)>
        m_on_status;
};

/// Datagrams: one that is lost is made up for by the next. Lives on one
/// io_context.
class status_exchange
{
public:
    status_exchange(
        asio::io_context& context, status_exchange_options options,
        neighbours& nodes);

    /// Opens the socket. The reason where it can't be opened.
    [[nodiscard]] std::optional<std::string> start();

    /// What else each status says.
    void set_directory_state(
        std::uint64_t revision, bool reads, bool recovered);

    /// The report may have changed: tells those for whom it changed enough.
    void on_report_changed();

    /// Tells everybody.
    void send_to_all();

private:
    awaitable<void> receive_loop();
    awaitable<void> tell_loop();
    void tell(bool nearby, bool followers, bool distant);
    void send(std::string const& bytes, std::string const& address);
    [[nodiscard]] std::size_t count_distant() const;

    asio::io_context& m_context;
    status_exchange_options m_options;
    neighbours& m_nodes;
    asio::ip::udp::socket m_socket;
    asio::steady_timer m_timer;
    core::routing::report_schedule m_nearby;
    core::routing::report_schedule m_followers; ///< Distant ones.
    core::routing::report_schedule m_distant;   ///< All distant ones.
    node_status m_status;
};

} // namespace hibiscustide::net::mesh

#endif

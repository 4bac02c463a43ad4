/// \file
/// Exchanges the status of nodes and their targets in datagrams.
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
#include "net/mesh/node_table.hpp"

namespace hibiscustide::net::mesh
{

struct status_exchange_options
{
    /// Local address and port. Every node receives on the same port.
    core::endpoint m_listen;
    /// Identifies this run of the node's process; random, new at each start.
    std::uint64_t m_incarnation = 0;
    /// Returns the current report of the local target.
    std::function<core::routing::target_report()> m_report;
    /// Returns the information about crashes that the status reports.
    std::function<core::admission::crash_update()> m_crashes;
    /// Called for each status that is received.
    std::function<void(std::string const& address, node_status const&)>
        m_on_status;
    /// Called for each message about quotas that is received.
    std::function<void(std::string const& address, quota_message const&)>
        m_on_quota_message;
};

/// Sends the status of this node to the other nodes and receives theirs. Also
/// carries the messages about quotas. A
/// status is sent as a datagram without acknowledgement: the next status
/// replaces a lost one. Runs on one io_context.
class status_exchange
{
public:
    status_exchange(
        asio::io_context& context, status_exchange_options options,
        node_table& nodes);

    /// Opens the socket and starts to send and receive. Returns the error if
    /// the socket cannot be opened.
    [[nodiscard]] std::optional<std::string> start();

    /// Sets the state of the directory that each status reports, and sends the
    /// status to all nodes if that state changed. `is_reader` is whether this
    /// node reads from the publishing service, `recovered` whether the service
    /// recovered recently.
    void set_directory_state(
        core::directory::published_state const& published, bool is_reader,
        bool recovered);

    /// Handles a change of the target report. Sends the status to the nodes
    /// whose schedule makes the changed report due.
    void on_report_changed();

    /// Sends the status to all nodes at once.
    void send_to_all();

    /// Sends a message about quotas as a datagram.
    void send(std::string const& address, quota_message const& value);

private:
    awaitable<void> receive_loop();
    void on_datagram(
        std::string_view bytes, asio::ip::udp::endpoint const& sender);
    awaitable<void> send_loop();
    void send_status(
        bool to_same_domain, bool to_followers, bool to_other_domains);
    void send(std::string const& bytes, std::string const& address);
    [[nodiscard]] std::size_t count_other_domain_nodes() const;

    asio::io_context& m_context;
    status_exchange_options m_options;
    node_table& m_nodes;
    asio::ip::udp::socket m_socket;
    asio::steady_timer m_timer;
    core::routing::report_schedule m_same_domain_schedule;
    /// For the followers in other failure domains.
    core::routing::report_schedule m_follower_schedule;
    /// For all nodes in other failure domains.
    core::routing::report_schedule m_other_domain_schedule;
    node_status m_status;
};

} // namespace hibiscustide::net::mesh

#endif

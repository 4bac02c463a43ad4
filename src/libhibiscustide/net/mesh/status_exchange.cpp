#include "net/mesh/status_exchange.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "net/clock.hpp"
#include "net/failure_guard.hpp"
#include "net/mesh/codec.hpp"

namespace hibiscustide::net::mesh
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t max_datagram_bytes = 1'024;
constexpr milliseconds receive_retry_delay{50};

// Limit on the datagrams that are handled before other work goes on.
constexpr int max_datagrams_in_turn = 64;

} // namespace

status_exchange::status_exchange(
    asio::io_context& context, status_exchange_options options,
    node_table& nodes)
    : m_context{context},
      m_options{std::move(options)},
      m_nodes{nodes},
      m_socket{context},
      m_timer{context},
      m_same_domain_schedule{core::routing::same_domain_reports},
      m_follower_schedule{core::routing::follower_reports},
      m_other_domain_schedule{core::routing::other_domain_reports}
{
    m_status.m_incarnation = m_options.m_incarnation;
    m_status.m_domain_hash = nodes.domain_hash();
}

std::optional<std::string> status_exchange::start()
{
    beast::error_code error;
    auto const& listen = m_options.m_listen;
    asio::ip::udp::endpoint const address{
        asio::ip::make_address(listen.m_address, error), listen.m_port};
    if (!error)
    {
        m_socket.open(address.protocol(), error);
    }
    if (!error)
    {
        m_socket.bind(address, error);
    }
    if (!error)
    {
        // A datagram for which there is no space is lost; a send that waits
        // for space would stop the traffic thread.
        m_socket.non_blocking(true, error);
    }
    if (error)
    {
        return core::to_string(listen) + ": " + error.message();
    }
    spawn_loop(
        m_context, "status receiver",
        [this]
        {
            return receive_loop();
        });
    spawn_loop(
        m_context, "status sender",
        [this]
        {
            return send_loop();
        });
    return std::nullopt;
}

void status_exchange::set_directory_state(
    core::directory::published_state const& published, bool is_reader,
    bool recovered)
{
    bool const is_changed = m_status.m_era != published.m_era ||
                            m_status.m_revision != published.m_revision ||
                            m_status.m_is_reader != is_reader ||
                            m_status.m_recovered != recovered;
    m_status.m_era = published.m_era;
    m_status.m_revision = published.m_revision;
    m_status.m_is_reader = is_reader;
    m_status.m_recovered = recovered;
    if (is_changed)
    {
        send_to_all();
    }
}

void status_exchange::on_report_changed()
{
    m_timer.cancel();
}

void status_exchange::send_to_all()
{
    send_status(true, true, true);
}

void status_exchange::send(
    std::string const& address, quota_message const& value)
{
    send(encode_quota_message(value), address);
}

awaitable<void> status_exchange::receive_loop()
{
    std::array<char, max_datagram_bytes> bytes{};
    asio::ip::udp::endpoint sender;
    while (m_socket.is_open())
    {
        auto const [error, count] = co_await m_socket.async_receive_from(
            asio::buffer(bytes), sender, no_throw);
        if (error)
        {
            asio::steady_timer pause{m_context, receive_retry_delay};
            co_await pause.async_wait(no_throw);
            continue;
        }
        on_datagram({bytes.data(), count}, sender);
        // A turn of the loop takes long on a busy node. With one datagram in
        // each turn, they would wait for seconds.
        beast::error_code none_left;
        for (int n = 1; n < max_datagrams_in_turn && !none_left; ++n)
        {
            auto const next_count = m_socket.receive_from(
                asio::buffer(bytes), sender, 0, none_left);
            if (!none_left)
            {
                on_datagram({bytes.data(), next_count}, sender);
            }
        }
    }
}

void status_exchange::on_datagram(
    std::string_view bytes, asio::ip::udp::endpoint const& sender)
{
    if (auto const status = decode_status(bytes))
    {
        m_options.m_on_status(sender.address().to_string(), *status);
        return;
    }
    auto const received = decode_quota_message(bytes);
    if (received && m_options.m_on_quota_message)
    {
        m_options.m_on_quota_message(sender.address().to_string(), *received);
    }
}

awaitable<void> status_exchange::send_loop()
{
    while (m_socket.is_open())
    {
        auto const now = clock_now();
        auto const report = m_options.m_report();
        send_status(
            m_same_domain_schedule.is_due(report, now),
            m_follower_schedule.is_due(report, now),
            m_other_domain_schedule.is_due(report, now));
        m_timer.expires_at(std::min(
            {m_same_domain_schedule.next_send_time(report, now),
             m_follower_schedule.next_send_time(report, now),
             m_other_domain_schedule.next_send_time(report, now)}));
        co_await m_timer.async_wait(no_throw);
    }
}

void status_exchange::send_status(
    bool to_same_domain, bool to_followers, bool to_other_domains)
{
    if (!to_same_domain && !to_followers && !to_other_domains)
    {
        return;
    }
    auto const now = clock_now();
    auto const receivers = count_other_domain_nodes();
    ++m_status.m_sequence;
    m_status.m_target = m_options.m_report();
    m_status.m_crashes = m_options.m_crashes();
    m_status.m_reports_every_change = true;
    auto const follower_bytes = encode_status(m_status);
    m_status.m_reports_every_change = false;
    auto const other_bytes = encode_status(m_status);
    for (auto const& [address, node] : m_nodes.all())
    {
        bool const follows =
            node->m_same_domain ||
            core::routing::is_follower(
                m_options.m_listen.m_address, address, receivers);
        bool const is_due = node->m_same_domain
                                ? to_same_domain
                                : to_other_domains || (follows && to_followers);
        if (!node->m_is_self && is_due)
        {
            send(follows ? follower_bytes : other_bytes, address);
        }
    }
    if (to_same_domain)
    {
        m_same_domain_schedule.on_report_sent(m_status.m_target, now);
    }
    if (to_followers || to_other_domains)
    {
        m_follower_schedule.on_report_sent(m_status.m_target, now);
    }
    if (to_other_domains)
    {
        m_other_domain_schedule.on_report_sent(m_status.m_target, now);
    }
}

void status_exchange::send(std::string const& bytes, std::string const& address)
{
    beast::error_code ignored;
    m_socket.send_to(
        asio::buffer(bytes),
        {asio::ip::make_address(address, ignored), m_options.m_listen.m_port},
        0, ignored);
}

std::size_t status_exchange::count_other_domain_nodes() const
{
    auto const& all = m_nodes.all();
    auto const count = std::count_if(
        all.begin(), all.end(),
        [](auto const& entry)
        {
            return !entry.second->m_same_domain;
        });
    return static_cast<std::size_t>(count);
}

} // namespace hibiscustide::net::mesh

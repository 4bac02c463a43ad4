#include "net/mesh/status_exchange.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "net/clock.hpp"
#include "net/mesh/codec.hpp"

namespace hibiscustide::net::mesh
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t max_datagram = 1'024;
constexpr milliseconds receive_pause{50};

// Inside the failure domain bytes are free, across its border they are dear.
constexpr core::routing::report_schedule_options nearby_telling{
    .m_min_slowness_ratio = 1.1,
    .m_min_load_change = 0.1,
    .m_min_interval = milliseconds{15},
    .m_max_interval = milliseconds{400}};
constexpr core::routing::report_schedule_options followers_telling{
    .m_min_slowness_ratio = 1.4,
    .m_min_load_change = 0.3,
    .m_min_interval = milliseconds{20},
    .m_max_interval = milliseconds{1'500}};
constexpr core::routing::report_schedule_options distant_telling{
    .m_min_interval = milliseconds{20},
    .m_max_interval = milliseconds{1'500},
    .m_state_only = true};

} // namespace

status_exchange::status_exchange(
    asio::io_context& context, status_exchange_options options,
    neighbours& nodes)
    : m_context{context},
      m_options{std::move(options)},
      m_nodes{nodes},
      m_socket{context},
      m_timer{context},
      m_nearby{nearby_telling},
      m_followers{followers_telling},
      m_distant{distant_telling}
{
    m_status.m_incarnation = m_options.m_incarnation;
    m_status.m_domain = nodes.domain();
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
    if (error)
    {
        return core::to_string(listen) + ": " + error.message();
    }
    asio::co_spawn(m_context, receive_loop(), asio::detached);
    asio::co_spawn(m_context, tell_loop(), asio::detached);
    return std::nullopt;
}

void status_exchange::set_directory_state(
    std::uint64_t revision, bool reads, bool recovered)
{
    bool const is_news = m_status.m_revision != revision ||
                         m_status.m_reads != reads ||
                         m_status.m_recovered != recovered;
    m_status.m_revision = revision;
    m_status.m_reads = reads;
    m_status.m_recovered = recovered;
    if (is_news)
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
    tell(true, true, true);
}

awaitable<void> status_exchange::receive_loop()
{
    std::array<char, max_datagram> bytes{};
    asio::ip::udp::endpoint sender;
    while (m_socket.is_open())
    {
        auto const [error, count] = co_await m_socket.async_receive_from(
            asio::buffer(bytes), sender, no_throw);
        if (error)
        {
            asio::steady_timer pause{m_context, receive_pause};
            co_await pause.async_wait(no_throw);
            continue;
        }
        auto const status = decode_status({bytes.data(), count});
        if (status)
        {
            m_options.m_on_status(sender.address().to_string(), *status);
        }
    }
}

awaitable<void> status_exchange::tell_loop()
{
    while (m_socket.is_open())
    {
        auto const now = clock_now();
        auto const report = m_options.m_report();
        tell(
            m_nearby.is_due(report, now), m_followers.is_due(report, now),
            m_distant.is_due(report, now));
        m_timer.expires_at(std::min(
            {m_nearby.next_send_time(report, now),
             m_followers.next_send_time(report, now),
             m_distant.next_send_time(report, now)}));
        co_await m_timer.async_wait(no_throw);
    }
}

void status_exchange::tell(bool nearby, bool followers, bool distant)
{
    if (!nearby && !followers && !distant)
    {
        return;
    }
    auto const now = clock_now();
    auto const listeners = count_distant();
    ++m_status.m_sequence;
    m_status.m_target = m_options.m_report();
    m_status.m_crashes = m_options.m_crashes();
    m_status.m_follows = true;
    auto const to_followers = encode_status(m_status);
    m_status.m_follows = false;
    auto const to_others = encode_status(m_status);
    for (auto const& [address, node] : m_nodes.all())
    {
        bool const follows =
            node->m_same_domain ||
            core::routing::is_follower(
                m_options.m_listen.m_address, address, listeners);
        bool const is_due =
            node->m_same_domain ? nearby : distant || (follows && followers);
        if (!node->m_is_self && is_due)
        {
            send(follows ? to_followers : to_others, address);
        }
    }
    if (nearby)
    {
        m_nearby.on_report_sent(m_status.m_target, now);
    }
    if (followers || distant)
    {
        m_followers.on_report_sent(m_status.m_target, now);
    }
    if (distant)
    {
        m_distant.on_report_sent(m_status.m_target, now);
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

std::size_t status_exchange::count_distant() const
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

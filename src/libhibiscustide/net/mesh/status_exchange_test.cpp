#include "net/mesh/status_exchange.hpp"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include "net/mesh/codec.hpp"

namespace asio = hibiscustide::net::asio;
namespace mesh = hibiscustide::net::mesh;
using udp = asio::ip::udp;

namespace
{

// No other test uses these loopback addresses.
constexpr char const* own_address = "127.16.0.7";
constexpr char const* peer_address = "127.16.0.8";
constexpr std::uint16_t port = 7'016;

} // namespace

// A node whose processor was slow took one datagram in each turn of its loop,
// so that load reports and grants of quotas waited for up to five seconds
// there.
TEST_CASE("datagrams that have arrived are handled in a few turns of a busy "
          "loop")
{
    constexpr int datagrams = 100;
    constexpr int max_turns = 8;
    asio::io_context context;
    mesh::node_table nodes{
        context,
        {.m_address = own_address,
         .m_failure_domain = "one",
         .m_port = port,
         .m_incarnation = 1,
         .m_on_changes = [](auto const&, auto&&) {}}};
    int received = 0;
    mesh::status_exchange exchange{
        context,
        {.m_listen = {.m_address = own_address, .m_port = port},
         .m_incarnation = 1,
         .m_report =
             []
         {
             return hibiscustide::core::routing::target_report{};
         },
         .m_crashes =
             []
         {
             return hibiscustide::core::admission::crash_update{};
         },
         .m_on_status =
             [&received](auto const&, auto const&)
         {
             ++received;
         },
         .m_on_quota_message =
             [&received](auto const&, auto const&)
         {
             ++received;
         }},
        nodes};
    REQUIRE_FALSE(exchange.start().has_value());
    context.poll();
    context.restart();

    udp::socket peer{context, {asio::ip::make_address(peer_address), 0}};
    udp::endpoint const own{asio::ip::make_address(own_address), port};
    for (int n = 0; n < datagrams; ++n)
    {
        auto const bytes =
            n % 2 == 0 ? mesh::encode_status({.m_incarnation = 2})
                       : mesh::encode_quota_message(mesh::reach_request{});
        peer.send_to(asio::buffer(bytes), own);
    }

    // Other work that is always ready.
    int turns = 0;
    std::function<void()> const work = [&]
    {
        if (++turns < max_turns)
        {
            asio::post(context, work);
        }
        else
        {
            context.stop();
        }
    };
    asio::post(context, work);
    context.run();
    CHECK(received == datagrams);
}

#include "net/mesh/peer_server.hpp"

#include <memory>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include "net/mesh/frame_stream.hpp"

namespace asio = hibiscustide::net::asio;
namespace core = hibiscustide::core;
namespace mesh = hibiscustide::net::mesh;
namespace net = hibiscustide::net;
using namespace std::chrono_literals;

namespace
{

constexpr char const* address = "127.0.0.1";
// No other test listens on this loopback address.
constexpr char const* server_address = "127.16.0.1";
constexpr std::uint64_t sender_incarnation = 77;

// A gate without a target, which refuses each request.
mesh::protocol make_protocol()
{
    return {
        .m_read_caller =
            [](auto const&)
        {
            return mesh::caller_fields{};
        },
        .m_write_target = [](auto&, auto const&) {},
        .m_read_answer =
            [](auto const&)
        {
            return mesh::answer_fields{};
        },
        .m_read_health =
            [](auto const&)
        {
            return core::admission::health_answer{};
        },
        .m_write_attempt = [](auto&, auto const&) {},
        .m_is_hop_by_hop =
            [](auto)
        {
            return false;
        },
        .m_ready_path = "/ready"};
}

// One connection of a sender.
struct sender_connection
{
    sender_connection(asio::io_context& context, core::endpoint const& server)
    {
        asio::ip::tcp::socket socket{context};
        socket.connect(
            {asio::ip::make_address(server.m_address), server.m_port});
        m_stream = std::make_shared<mesh::frame_stream>(std::move(socket));
        m_stream->start(
            [this](mesh::message&& value)
            {
                m_received.push_back(std::move(value));
            },
            [this]
            {
                m_closed = true;
            });
    }

    void greet(std::uint64_t number)
    {
        m_stream->send(mesh::hello{
            .m_node = address,
            .m_incarnation = sender_incarnation,
            .m_connection = number});
    }

    template <typename Message>
    [[nodiscard]] std::vector<Message> received() const
    {
        std::vector<Message> found;
        for (auto const& value : m_received)
        {
            if (auto const* const match = std::get_if<Message>(&value))
            {
                found.push_back(*match);
            }
        }
        return found;
    }

    std::shared_ptr<mesh::frame_stream> m_stream;
    std::vector<mesh::message> m_received;
    bool m_closed = false;
};

struct fixture
{
    fixture()
    {
        REQUIRE_FALSE(m_server.start());
    }

    void wait(std::chrono::milliseconds span)
    {
        m_context.restart();
        m_context.run_for(span);
    }

    asio::io_context m_context;
    mesh::protocol m_protocol = make_protocol();
    core::admission::poison_request_detector m_detector;
    net::metrics m_counts;
    mesh::target_gate m_gate{
        m_context,
        {.m_target = {.m_address = address, .m_port = 1}},
        m_protocol,
        m_detector,
        m_counts};
    core::endpoint m_listen{.m_address = server_address, .m_port = 7'000};
    mesh::peer_server m_server{
        m_context,
        {.m_listen = m_listen,
         .m_hello = {.m_node = address, .m_incarnation = 5},
         .m_changes_after = [](auto, auto) {}},
        m_gate};
};

} // namespace

// The network can delay a connection until its sender has replaced it. A gate
// that has answered on the newer connection that a request is unknown must not
// run that request from the older one: its sender may have chosen another gate.
TEST_CASE("a connection that is older than the sender's newest one is closed")
{
    fixture test;
    sender_connection older{test.m_context, test.m_listen};
    sender_connection newer{test.m_context, test.m_listen};
    newer.greet(2);
    newer.m_stream->send(mesh::resume_requests{.m_ids = {9}});
    test.wait(50ms);
    auto const answers = newer.received<mesh::run_result>();
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().m_outcome == mesh::outcome::not_run);

    older.greet(1);
    older.m_stream->send(
        mesh::run_request{.m_id = 9, .m_deadline_left_ms = 1'000});
    test.wait(50ms);
    CHECK(older.m_closed);
    CHECK(older.received<mesh::run_result>().empty());
    newer.m_stream->send(mesh::ping{});
    test.wait(50ms);
    CHECK_FALSE(newer.m_closed);
    CHECK(newer.received<mesh::ping>().size() == 1);
}

TEST_CASE("a newer connection of a sender replaces the older one")
{
    fixture test;
    sender_connection older{test.m_context, test.m_listen};
    older.greet(1);
    older.m_stream->send(
        mesh::run_request{.m_id = 9, .m_deadline_left_ms = 1'000});
    test.wait(50ms);
    REQUIRE(older.received<mesh::run_result>().size() == 1);
    sender_connection newer{test.m_context, test.m_listen};
    newer.greet(2);
    newer.m_stream->send(mesh::resume_requests{.m_ids = {9}});
    test.wait(50ms);
    CHECK(older.m_closed);
    auto const answers = newer.received<mesh::run_result>();
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().m_reason == core::reason::unknown_service);
}

// The sender gives up a new connection on which the hello of the gate is late.
// The earlier connection may still deliver its results until then.
TEST_CASE("a further connection without a list of resumed requests does not "
          "end the earlier one")
{
    fixture test;
    sender_connection earlier{test.m_context, test.m_listen};
    earlier.greet(1);
    test.wait(50ms);
    sender_connection further{test.m_context, test.m_listen};
    further.greet(2);
    further.m_stream->send(
        mesh::run_request{.m_id = 8, .m_deadline_left_ms = 1'000});
    test.wait(50ms);
    CHECK(further.received<mesh::run_result>().empty());
    earlier.m_stream->send(
        mesh::run_request{.m_id = 9, .m_deadline_left_ms = 1'000});
    test.wait(50ms);
    CHECK_FALSE(earlier.m_closed);
    CHECK(earlier.received<mesh::run_result>().size() == 1);
}

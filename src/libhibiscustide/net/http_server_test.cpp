#include "net/http_server.hpp"

#include <map>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include "net/replies.hpp"
#include "net/socket.hpp"

namespace asio = hibiscustide::net::asio;
namespace net = hibiscustide::net;
using namespace std::chrono_literals;

namespace
{

constexpr char const* address = "127.0.0.1";
constexpr std::uint16_t port = 28'431;

// A server that sends each response only after the test has marked it as ready.
struct fixture
{
    fixture()
    {
        m_server = std::make_shared<net::http_server>(
            m_context,
            net::http_server_options{
                .m_listen = {.m_address = address, .m_port = port},
                .m_max_pipelined = 8},
            [this](
                net::http_request& request,
                std::shared_ptr<net::cancel_scope> const& /*scope*/)
            {
                return respond(std::string{request.target()});
            },
            net::malformed_reply);
        REQUIRE_FALSE(m_server->start().has_value());
        m_client.connect(net::to_asio({.m_address = address, .m_port = port}));
        m_client.non_blocking(true);
    }

    net::awaitable<net::http_response> respond(std::string path)
    {
        m_requested.push_back(path);
        asio::steady_timer timer{m_context};
        while (!m_ready[path])
        {
            timer.expires_after(2ms);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        co_return net::text_reply(
            net::status::ok, path + std::string(m_padding, '.'));
    }

    void send(std::string const& path)
    {
        auto const text = "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
        asio::write(m_client, asio::buffer(text));
    }

    void wait()
    {
        m_context.restart();
        m_context.run_for(60ms);
    }

    std::string read()
    {
        wait();
        std::string text(8'192, '\0');
        boost::system::error_code error;
        auto const count = m_client.read_some(asio::buffer(text), error);
        m_is_closed = error == asio::error::eof;
        text.resize(count);
        return text;
    }

    asio::io_context m_context;
    std::shared_ptr<net::http_server> m_server;
    asio::ip::tcp::socket m_client{m_context};
    std::vector<std::string> m_requested;
    std::map<std::string, bool> m_ready;
    std::size_t m_padding = 0; ///< Bytes behind the path in each response.
    bool m_is_closed = false;
};

} // namespace

TEST_CASE("pipelined requests run concurrently and are answered in order")
{
    fixture test;
    test.send("/1");
    test.send("/2");
    test.wait();
    CHECK(test.m_requested == std::vector<std::string>{"/1", "/2"});
    test.m_ready["/2"] = true;
    CHECK(test.read().empty());
    test.m_ready["/1"] = true;
    auto const text = test.read();
    REQUIRE(text.find("\r\n\r\n/1") != std::string::npos);
    CHECK(text.find("\r\n\r\n/1") < text.find("\r\n\r\n/2"));
}

TEST_CASE(
    "a stopped server answers the requests it has read and reads no others")
{
    fixture test;
    test.send("/1");
    test.wait();
    test.m_server->begin_drain();
    test.m_server->stop_accepting();
    test.m_server->close_idle();
    CHECK(test.m_server->busy_connections() == 1);
    test.send("/2");
    test.wait();
    CHECK(test.m_requested == std::vector<std::string>{"/1"});
    test.m_ready["/1"] = true;
    CHECK(test.read().find("/1") != std::string::npos);
    CHECK(test.m_server->busy_connections() == 0);
}

TEST_CASE("a stopped server answers a request that had arrived before it "
          "closed its idle connections")
{
    fixture test;
    test.send("/1");
    test.m_ready["/1"] = true;
    CHECK_FALSE(test.read().empty());
    // The request is in the socket, but the server has not run since.
    test.send("/2");
    test.m_ready["/2"] = true;
    test.m_server->begin_drain();
    test.m_server->stop_accepting();
    test.m_server->close_idle();
    CHECK(test.m_server->busy_connections() == 1);
    CHECK(test.read().find("/2") != std::string::npos);
    CHECK(test.m_server->busy_connections() == 0);
}

// A busy thread accepts the last connections and closes the idle ones without
// running anything in between.
TEST_CASE("a request on a connection that was accepted last is not lost when "
          "idle connections are closed at once")
{
    fixture test;
    asio::ip::tcp::socket late{test.m_context};
    late.connect(net::to_asio({.m_address = address, .m_port = port}));
    std::swap(late, test.m_client);
    test.m_client.non_blocking(true);
    test.send("/1");
    test.m_ready["/1"] = true;
    test.m_server->begin_drain();
    test.m_server->stop_accepting();
    test.m_server->close_idle();
    CHECK(test.read().find("/1") != std::string::npos);
    CHECK(test.m_server->busy_connections() == 0);
}

TEST_CASE("a connection counts as closing until its client has closed it")
{
    fixture test;
    test.m_ready["/1"] = true;
    test.m_server->begin_drain();
    test.send("/1");
    CHECK_FALSE(test.read().empty());
    CHECK(test.m_server->closing_connections() == 1);
    test.m_server->close_idle();
    CHECK(test.m_server->open_connections() == 1);
    test.m_client.close();
    test.wait();
    CHECK(test.m_server->closing_connections() == 0);
    CHECK(test.m_server->open_connections() == 0);
}

// Otherwise the client does not send its next request elsewhere.
TEST_CASE("a draining server announces the close although it answers at once")
{
    fixture test;
    test.m_ready["/1"] = true;
    test.m_server->begin_drain();
    test.send("/1");
    CHECK(test.read().find("Connection: close") != std::string::npos);
}

// Such a request would run, and its response would be lost with the connection.
TEST_CASE("a draining server starts no request that arrives while it writes "
          "the last response of a connection")
{
    constexpr std::size_t more_than_socket_buffers = 32'000'000;
    fixture test;
    test.m_padding = more_than_socket_buffers;
    test.m_ready["/1"] = true;
    test.m_ready["/2"] = true;
    test.m_server->begin_drain();
    test.send("/1");
    CHECK(test.read().find("Connection: close") != std::string::npos);
    test.send("/2");
    test.wait();
    CHECK(test.m_requested == std::vector<std::string>{"/1"});
}

TEST_CASE("a stopped server announces the close although a request that it "
          "does not read has arrived")
{
    fixture test;
    test.send("/1");
    test.wait();
    test.m_server->begin_drain();
    test.m_server->stop_accepting();
    test.m_server->close_idle();
    test.send("/2");
    test.wait();
    test.m_ready["/1"] = true;
    CHECK(test.read().find("Connection: close") != std::string::npos);
}

TEST_CASE("a connection with a request in progress is not closed as idle")
{
    fixture test;
    test.m_server->set_limits({}, 40ms, 1s);
    test.send("/1");
    test.wait();
    CHECK(test.m_server->open_connections() == 1);
    test.m_ready["/1"] = true;
    CHECK_FALSE(test.read().empty());
}

TEST_CASE(
    "an error response reaches a client that is still sending its request")
{
    fixture test;
    test.m_server->set_limits({.m_max_header_bytes = 100}, 10s, 1s);
    std::string const part = "GET / HTTP/1.1\r\nX: " + std::string(300, 'x');
    asio::write(test.m_client, asio::buffer(part));
    test.wait();
    asio::write(test.m_client, asio::buffer(part));
    test.wait();
    CHECK(test.read().find(" 431 ") != std::string::npos);
}

// A caller reads no body after the head of such a response, so the bytes of a
// body would be taken for the beginning of the next response.
TEST_CASE("the response to a HEAD request has no body although its handler "
          "gives it one")
{
    fixture test;
    asio::write(
        test.m_client,
        asio::buffer(std::string{"HEAD /1 HTTP/1.1\r\nHost: x\r\n\r\n"}));
    test.send("/2");
    test.m_ready["/1"] = true;
    test.m_ready["/2"] = true;
    auto const text = test.read();
    auto const first_end = text.find("\r\n\r\n");
    REQUIRE(first_end != std::string::npos);
    CHECK(text.substr(first_end + 4).starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(text.ends_with("\r\n\r\n/2"));
}

// The next hop does not take the body, so that the client has to wait.
TEST_CASE("a server stops reading a body while its handler does not use it")
{
    constexpr std::uint16_t streaming_port = 28'432;
    constexpr std::size_t sent_bytes = 1'000'000;
    asio::io_context context;
    net::body_buffer_ptr body;
    net::streaming_handler const handler =
        [&](net::http_request&, net::body_buffer_ptr const& received,
            std::shared_ptr<net::cancel_scope> const&)
        -> asio::awaitable<net::http_response>
    {
        body = received;
        asio::steady_timer timer{context, 300ms};
        co_await timer.async_wait(net::no_throw);
        co_return net::text_reply(net::status::ok, "done\n");
    };
    auto const server = std::make_shared<net::http_server>(
        context,
        net::http_server_options{
            .m_listen = {.m_address = address, .m_port = streaming_port},
            .m_limits = {.m_max_body_bytes = 2 * sent_bytes}},
        handler, net::malformed_reply);
    REQUIRE_FALSE(server->start());
    asio::ip::tcp::socket client{context};
    client.connect({asio::ip::make_address(address), streaming_port});
    std::string const request =
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
        std::to_string(sent_bytes) + "\r\n\r\n" + std::string(sent_bytes, 'x');
    asio::async_write(client, asio::buffer(request), [](auto&&...) {});
    context.run_for(200ms);
    REQUIRE(body);
    CHECK(body->size() == net::body_buffer_options{}.m_capacity);
    CHECK(body->current_state() == net::body_buffer::state::incomplete);
    context.run_for(400ms);
    CHECK(body->is_abandoned());
}

// The connection is not read while the request waits for its turn, so only the
// failed write of the earlier response shows that the client has left.
TEST_CASE("a request that waits for its turn to get its body is cancelled when "
          "its client has left")
{
    constexpr std::uint16_t streaming_port = 28'434;
    asio::io_context context;
    net::body_buffer_ptr awaited;
    std::shared_ptr<net::cancel_scope> awaited_scope;
    bool is_ready = false;
    net::streaming_handler const handler =
        [&](net::http_request& request, net::body_buffer_ptr const& body,
            std::shared_ptr<net::cancel_scope> const& scope)
        -> asio::awaitable<net::http_response>
    {
        asio::steady_timer timer{context};
        if (request.target() == "/2")
        {
            awaited = body;
            awaited_scope = scope;
            awaited->want();
        }
        while (!is_ready)
        {
            timer.expires_after(2ms);
            co_await timer.async_wait(net::no_throw);
        }
        if (request.target() == "/2")
        {
            timer.expires_after(10s);
            co_await timer.async_wait(net::no_throw);
        }
        co_return net::text_reply(net::status::ok, "done\n");
    };
    auto const server = std::make_shared<net::http_server>(
        context,
        net::http_server_options{
            .m_listen = {.m_address = address, .m_port = streaming_port},
            .m_max_pipelined = 8},
        handler, net::malformed_reply);
    REQUIRE_FALSE(server->start());
    asio::ip::tcp::socket client{context};
    client.connect({asio::ip::make_address(address), streaming_port});
    std::string const requests =
        "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"
        "POST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n"
        "Expect: 100-continue\r\n\r\n";
    asio::write(client, asio::buffer(requests));
    context.run_for(50ms);
    REQUIRE(awaited);
    client.set_option(asio::socket_base::linger{true, 0});
    client.close();
    context.run_for(20ms);
    is_ready = true;
    context.run_for(50ms);
    CHECK(awaited->current_state() == net::body_buffer::state::failed);
    CHECK(awaited_scope->is_cancelled());
}

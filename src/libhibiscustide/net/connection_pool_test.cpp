#include "net/connection_pool.hpp"

#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

namespace net = hibiscustide::net;
namespace asio = net::asio;
using hibiscustide::core::reason;
using tcp = asio::ip::tcp;
using namespace std::chrono_literals;

namespace
{

using net::no_throw;

// Sends the same bytes in response to every request and then closes the
// connection.
class fixed_response_server
{
public:
    fixed_response_server(asio::io_context& context, std::string response)
        : m_acceptor{context, {asio::ip::address_v4::loopback(), 0}},
          m_response{std::move(response)}
    {
        asio::co_spawn(context, serve(), asio::detached);
    }

    [[nodiscard]] hibiscustide::core::endpoint address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    int m_connections = 0;

private:
    asio::awaitable<void> serve()
    {
        while (true)
        {
            auto [error, socket] = co_await m_acceptor.async_accept(no_throw);
            if (error)
            {
                co_return;
            }
            ++m_connections;
            std::string request(4'096, '\0');
            co_await socket.async_read_some(asio::buffer(request), no_throw);
            co_await asio::async_write(
                socket, asio::buffer(m_response), no_throw);
        }
    }

    tcp::acceptor m_acceptor;
    std::string m_response;
};

net::exchange_result exchange(
    asio::io_context& context, net::connection_pool& pool,
    net::cancel_scope* scope = nullptr,
    std::chrono::milliseconds timeout = 5'000ms)
{
    net::exchange_result result;
    net::http_request request{net::beast::http::verb::get, "/", 11};
    request.set(net::field::host, "x");
    auto const call = [&]() -> asio::awaitable<void>
    {
        auto const deadline = std::chrono::steady_clock::now() + timeout;
        result = co_await pool.exchange(request, deadline, scope);
    };
    asio::co_spawn(
        context, call(),
        [&](std::exception_ptr const&)
        {
            context.stop();
        });
    context.restart();
    context.run();
    return result;
}

net::exchange_failure failure_of(net::exchange_result const& result)
{
    REQUIRE(std::holds_alternative<net::exchange_failure>(result));
    return std::get<net::exchange_failure>(result);
}

} // namespace

TEST_CASE("a refused connection reports that no byte of the request was sent")
{
    asio::io_context context;
    hibiscustide::core::endpoint closed_endpoint;
    {
        tcp::acceptor const closed{
            context, {asio::ip::address_v4::loopback(), 0}};
        closed_endpoint = {"127.0.0.1", closed.local_endpoint().port()};
    }
    net::connection_pool pool{context, {.m_remote = closed_endpoint}};
    auto const failure = failure_of(exchange(context, pool));
    CHECK_FALSE(failure.m_sent);
    CHECK(failure.m_reason == reason::connect_failed);
}

TEST_CASE(
    "a truncated, oversized or missing response reports the request as sent")
{
    struct broken_response
    {
        char const* m_text;
        reason m_reason;
    };
    for (auto const& broken :
         {broken_response{"", reason::connection_broken},
          broken_response{"HTTP/1.1 200 OK\r\n", reason::connection_broken},
          broken_response{
              "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
              reason::connection_broken},
          broken_response{
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              "3\r\nabc\r\n",
              reason::connection_broken},
          broken_response{
              "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\nabc",
              reason::answer_too_large},
          broken_response{"nonsense\r\n\r\n", reason::connection_broken}})
    {
        CAPTURE(broken.m_text);
        asio::io_context context;
        fixed_response_server const server{context, broken.m_text};
        net::connection_pool pool{context, {.m_remote = server.address()}};
        auto const failure = failure_of(exchange(context, pool));
        CHECK(failure.m_sent);
        CHECK(failure.m_reason == broken.m_reason);
        CHECK(pool.open_connections() == 0);
    }
}

TEST_CASE("a connection that the server closed while idle is not reused")
{
    asio::io_context context;
    fixed_response_server const server{
        context, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
    net::connection_pool pool{context, {.m_remote = server.address()}};
    for (int n = 1; n <= 3; ++n)
    {
        CHECK(std::holds_alternative<net::http_response>(
            exchange(context, pool)));
        CHECK(server.m_connections == n);
    }
}

TEST_CASE("a connection with extra bytes after the response is not reused")
{
    asio::io_context context;
    fixed_response_server const server{
        context, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200"};
    net::connection_pool pool{context, {.m_remote = server.address()}};
    CHECK(std::holds_alternative<net::http_response>(exchange(context, pool)));
    CHECK(pool.open_connections() == 0);
}

TEST_CASE("an exchange with an unresponsive server fails at the deadline")
{
    asio::io_context context;
    tcp::acceptor const silent{context, {asio::ip::address_v4::loopback(), 0}};
    net::connection_pool pool{
        context, {.m_remote = {"127.0.0.1", silent.local_endpoint().port()}}};
    auto const failure = failure_of(exchange(context, pool, nullptr, 50ms));
    CHECK(failure.m_sent);
    CHECK(failure.m_reason == reason::response_timeout);
}

TEST_CASE("cancelling the scope ends the exchange")
{
    asio::io_context context;
    tcp::acceptor const silent{context, {asio::ip::address_v4::loopback(), 0}};
    net::connection_pool pool{
        context, {.m_remote = {"127.0.0.1", silent.local_endpoint().port()}}};
    net::cancel_scope scope;
    asio::steady_timer timer{context, 20ms};
    timer.async_wait(
        [&](auto const&)
        {
            scope.cancel();
        });
    auto const failure = failure_of(exchange(context, pool, &scope));
    CHECK(failure.m_sent);
    CHECK(failure.m_reason == reason::caller_left);
    auto const repeated = failure_of(exchange(context, pool, &scope));
    CHECK_FALSE(repeated.m_sent);
}

TEST_CASE("an exchange fails if the pool has its maximum number of connections")
{
    asio::io_context context;
    fixed_response_server const server{context, ""};
    net::connection_pool pool{
        context, {.m_remote = server.address(), .m_max_connections = 0}};
    auto const failure = failure_of(exchange(context, pool));
    CHECK_FALSE(failure.m_sent);
    CHECK(failure.m_reason == reason::queue_full);
}

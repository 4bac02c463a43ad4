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

// A server that answers each request with the same bytes, then closes.
class canned_server
{
public:
    canned_server(asio::io_context& context, std::string answer)
        : m_acceptor{context, {asio::ip::address_v4::loopback(), 0}},
          m_answer{std::move(answer)}
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
                socket, asio::buffer(m_answer), no_throw);
        }
    }

    tcp::acceptor m_acceptor;
    std::string m_answer;
};

net::exchange_result exchange(
    asio::io_context& context, net::connection_pool& pool,
    net::cancel_scope* scope = nullptr,
    std::chrono::milliseconds limit = 5'000ms)
{
    net::exchange_result result;
    net::http_request request{net::beast::http::verb::get, "/", 11};
    request.set(net::field::host, "x");
    auto const call = [&]() -> asio::awaitable<void>
    {
        auto const deadline = std::chrono::steady_clock::now() + limit;
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

TEST_CASE("a connection that is refused has sent nothing")
{
    asio::io_context context;
    hibiscustide::core::endpoint nobody;
    {
        tcp::acceptor const gone{
            context, {asio::ip::address_v4::loopback(), 0}};
        nobody = {"127.0.0.1", gone.local_endpoint().port()};
    }
    net::connection_pool pool{context, {.m_remote = nobody}};
    auto const failure = failure_of(exchange(context, pool));
    CHECK_FALSE(failure.m_sent);
    CHECK(failure.m_reason == reason::connect_failed);
}

TEST_CASE("an answer that is cut, over-long or missing may have run")
{
    struct broken_answer
    {
        char const* m_text;
        reason m_reason;
    };
    for (auto const& broken :
         {broken_answer{"", reason::connection_broken},
          broken_answer{"HTTP/1.1 200 OK\r\n", reason::connection_broken},
          broken_answer{
              "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
              reason::connection_broken},
          broken_answer{
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              "3\r\nabc\r\n",
              reason::connection_broken},
          broken_answer{
              "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\nabc",
              reason::answer_too_large},
          broken_answer{"nonsense\r\n\r\n", reason::connection_broken}})
    {
        CAPTURE(broken.m_text);
        asio::io_context context;
        canned_server const server{context, broken.m_text};
        net::connection_pool pool{context, {.m_remote = server.address()}};
        auto const failure = failure_of(exchange(context, pool));
        CHECK(failure.m_sent);
        CHECK(failure.m_reason == broken.m_reason);
        CHECK(pool.open_connections() == 0);
    }
}

TEST_CASE("a connection closed while idle is not used again")
{
    asio::io_context context;
    canned_server const server{
        context, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
    net::connection_pool pool{context, {.m_remote = server.address()}};
    for (int n = 1; n <= 3; ++n)
    {
        CHECK(std::holds_alternative<net::http_response>(
            exchange(context, pool)));
        CHECK(server.m_connections == n);
    }
}

TEST_CASE("bytes behind an answer make its connection unfit")
{
    asio::io_context context;
    canned_server const server{
        context, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200"};
    net::connection_pool pool{context, {.m_remote = server.address()}};
    CHECK(std::holds_alternative<net::http_response>(exchange(context, pool)));
    CHECK(pool.open_connections() == 0);
}

TEST_CASE("a server that never answers is given up at the deadline")
{
    asio::io_context context;
    tcp::acceptor const silent{context, {asio::ip::address_v4::loopback(), 0}};
    net::connection_pool pool{
        context, {.m_remote = {"127.0.0.1", silent.local_endpoint().port()}}};
    auto const failure = failure_of(exchange(context, pool, nullptr, 50ms));
    CHECK(failure.m_sent);
    CHECK(failure.m_reason == reason::response_timeout);
}

TEST_CASE("a caller that leaves ends the exchange")
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
    auto const again = failure_of(exchange(context, pool, &scope));
    CHECK_FALSE(again.m_sent);
}

TEST_CASE("no more connections are opened than the pool may have")
{
    asio::io_context context;
    canned_server const server{context, ""};
    net::connection_pool pool{
        context, {.m_remote = server.address(), .m_max_connections = 0}};
    auto const failure = failure_of(exchange(context, pool));
    CHECK_FALSE(failure.m_sent);
    CHECK(failure.m_reason == reason::queue_full);
}

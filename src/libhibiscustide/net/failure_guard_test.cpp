// Exceptions at each place where a node runs handlers. None may end the
// process, and none may keep what its request or connection held.
#include "net/failure_guard.hpp"

#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>
#include <variant>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/compose.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include "net/connection_pool.hpp"
#include "net/http_server.hpp"
#include "net/replies.hpp"

namespace net = hibiscustide::net;
namespace asio = net::asio;
using tcp = asio::ip::tcp;
using namespace std::chrono_literals;

namespace
{

using net::no_throw;

constexpr char const* address = "127.0.0.1";
constexpr std::uint16_t port = 28'437;

// An operation that throws an exception in place of its completion, as a parser
// may.
struct throwing_operation
{
    template <typename Self>
    void operator()(Self& self)
    {
        if (!m_is_started)
        {
            m_is_started = true;
            auto const executor = self.get_executor();
            asio::post(executor, std::move(self));
            return;
        }
        throw std::length_error{"a field is too long"};
    }

    bool m_is_started = false;
};

net::awaitable<void> wait_for_throwing_operation(asio::io_context& context)
{
    co_await asio::async_compose<decltype(asio::use_awaitable) const, void()>(
        throwing_operation{}, asio::use_awaitable, context);
}

// A server, and clients that send it one request each.
struct fixture
{
    explicit fixture(net::http_handler const& handler)
        : m_server{std::make_shared<net::http_server>(
              m_context,
              net::http_server_options{
                  .m_listen = {.m_address = address, .m_port = port}},
              handler, net::malformed_reply)}
    {
        REQUIRE_FALSE(m_server->start());
    }

    // The bytes that the server sends before the connection ends, or within
    // 100 ms.
    std::string send(std::string const& path)
    {
        tcp::socket client{m_context};
        client.connect({asio::ip::make_address(address), port});
        asio::write(
            client,
            asio::buffer("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n"));
        std::string text(4'096, '\0');
        std::size_t size = 0;
        client.async_read_some(
            asio::buffer(text),
            [&size](auto const&, std::size_t count)
            {
                size = count;
            });
        run_for(100ms);
        client.close();
        run_for(20ms);
        text.resize(size);
        return text;
    }

    void run_for(std::chrono::milliseconds time)
    {
        asio::steady_timer timer{m_context, time};
        timer.async_wait(
            [this](auto const&)
            {
                m_context.stop();
            });
        m_context.restart();
        net::run_guarded(m_context);
    }

    asio::io_context m_context;
    std::shared_ptr<net::http_server> m_server;
};

} // namespace

TEST_CASE("an exception of a handler ends neither the other handlers nor the "
          "process")
{
    asio::io_context context;
    auto const before = net::failure_count();
    bool has_run = false;
    asio::post(
        context,
        []
        {
            throw std::runtime_error{"test"};
        });
    asio::post(
        context,
        [&has_run]
        {
            has_run = true;
        });
    net::run_guarded(context);
    CHECK(has_run);
    CHECK(net::failure_count() == before + 1);
}

TEST_CASE("a loop is started again after an exception of its own or of an "
          "operation that it waits for")
{
    asio::io_context context;
    int starts = 0;
    net::spawn_loop(
        context, "test",
        [&]() -> net::awaitable<void>
        {
            ++starts;
            if (starts == 1)
            {
                throw std::runtime_error{"test"};
            }
            if (starts == 2)
            {
                co_await wait_for_throwing_operation(context);
            }
        });
    net::run_guarded(context);
    CHECK(starts == 3);
}

TEST_CASE("an exception in the handler of a request ends only that request")
{
    fixture test{
        [](net::http_request& request,
           std::shared_ptr<net::cancel_scope> const&)
            -> net::awaitable<net::http_response>
        {
            std::string const path{request.target()};
            asio::steady_timer timer{co_await asio::this_coro::executor, 1ms};
            co_await timer.async_wait(no_throw);
            if (path == "/bad")
            {
                throw std::runtime_error{"test"};
            }
            co_return net::text_reply(net::status::ok, path);
        }};
    CHECK(test.send("/bad").starts_with("HTTP/1.1 500 "));
    CHECK(test.send("/good").ends_with("/good"));
    CHECK(test.m_server->busy_connections() == 0);
}

// The coroutine is destroyed without an exception of its own.
TEST_CASE("an exception of an operation that the handler of a request waits "
          "for ends only the connection of that request")
{
    asio::io_context* context = nullptr;
    fixture test{
        [&context](
            net::http_request& request,
            std::shared_ptr<net::cancel_scope> const&)
            -> net::awaitable<net::http_response>
        {
            std::string const path{request.target()};
            if (path == "/bad")
            {
                co_await wait_for_throwing_operation(*context);
            }
            co_return net::text_reply(net::status::ok, path);
        }};
    context = &test.m_context;
    CHECK(test.send("/bad").empty());
    CHECK(test.send("/good").ends_with("/good"));
    CHECK(test.m_server->busy_connections() == 0);
    CHECK(test.m_server->open_connections() == 0);
}

TEST_CASE("an exception while a response is examined ends only its exchange")
{
    fixture test{
        [](net::http_request&, std::shared_ptr<net::cancel_scope> const&)
            -> net::awaitable<net::http_response>
        {
            co_return net::text_reply(net::status::ok, "x");
        }};
    bool throws = true;
    net::connection_pool pool{
        test.m_context,
        {.m_remote = {address, port},
         .m_matches_request =
             [&throws](net::http_request const&, net::http_response const&)
         {
             if (throws)
             {
                 throw std::bad_alloc{};
             }
             return true;
         }}};
    net::exchange_result result;
    auto const call = [&]() -> asio::awaitable<void>
    {
        net::http_request request{net::beast::http::verb::get, "/", 11};
        auto const deadline = std::chrono::steady_clock::now() + 1s;
        net::cancel_scope scope;
        result = co_await pool.exchange(request, deadline, &scope);
        // The connection that the hook would close is gone.
        scope.cancel();
    };
    asio::co_spawn(test.m_context, call(), asio::detached);
    test.run_for(50ms);
    REQUIRE(std::holds_alternative<net::exchange_failure>(result));
    CHECK(std::get<net::exchange_failure>(result).m_sent);
    CHECK(pool.open_connections() == 0);
    throws = false;
    asio::co_spawn(test.m_context, call(), asio::detached);
    test.run_for(50ms);
    CHECK(std::holds_alternative<net::http_response>(result));
}

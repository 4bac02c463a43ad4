#include "net/gate.hpp"

#include <chrono>
#include <future>
#include <memory>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include "net/clock.hpp"

namespace asio = hibiscustide::net::asio;
namespace core = hibiscustide::core;
namespace net = hibiscustide::net;
namespace release = core::release;
using namespace std::chrono_literals;

namespace
{

constexpr char const* address = "127.0.0.1";
constexpr char const* target_name = "lookup-1";

// A target that writes these bytes after the head of each request, and closes
// the connection.
net::awaitable<void> serve(asio::ip::tcp::acceptor& acceptor, std::string bytes)
{
    while (true)
    {
        auto [error, socket] = co_await acceptor.async_accept(net::no_throw);
        if (error)
        {
            co_return;
        }
        std::string head;
        auto const buffer = asio::dynamic_buffer(head);
        co_await asio::async_read_until(
            socket, buffer, "\r\n\r\n", net::no_throw);
        co_await asio::async_write(socket, asio::buffer(bytes), net::no_throw);
    }
}

std::shared_ptr<release::fleet const> make_fleet()
{
    release::fleet_contents contents{
        .m_revision = 1,
        .m_services =
            {{.m_name = "lookup",
              .m_slots = 4,
              .m_cold_slots = 4,
              .m_connections = 10}},
        .m_targets =
            {{.m_name = target_name,
              .m_service = "lookup",
              .m_failure_domain = "a",
              .m_node = "10.0.0.1:7400"}},
        .m_failure_domains = {{.m_spec = {.m_name = "a", .m_region = "r"}}}};
    return std::make_shared<release::fleet const>(std::move(contents));
}

// Runs a request at a target that answers with these bytes.
net::attempt_result run(std::string const& answer)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor{
        context, {asio::ip::make_address(address), 0}};
    asio::co_spawn(context, serve(acceptor, answer), asio::detached);
    net::metrics counts;
    net::gate gate{target_name, counts};
    gate.change_fleet(make_fleet());
    gate.on_probe(core::admission::probe_answer{.m_incarnation = 1});
    net::connection_pool pool{
        context,
        {.m_remote = {
             .m_address = address,
             .m_port = acceptor.local_endpoint().port()}}};
    net::http_request request{net::beast::http::verb::get, "/x", 11};
    net::gate_call call{
        .m_request = request,
        .m_deadline = net::clock_now() + 1s,
        .m_attempt = "attempt-1"};
    auto result = asio::co_spawn(
        context, gate.run(context, pool, std::move(call)), asio::use_future);
    context.run_for(200ms);
    REQUIRE(result.wait_for(0s) == std::future_status::ready);
    return result.get();
}

} // namespace

TEST_CASE("a gate returns the answer of its target")
{
    auto const result = run("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK(std::holds_alternative<core::answered>(result.m_verdict));
    CHECK(result.m_response.body() == "ok");
}

// A caller goes on waiting after an interim response, and takes the next answer
// on the connection for the one to its request.
TEST_CASE("a gate does not return an interim response as the answer")
{
    for (std::string const status : {"100 Continue", "103 Early Hints"})
    {
        CAPTURE(status);
        auto const result = run("HTTP/1.1 " + status + "\r\n\r\n");
        CHECK(std::holds_alternative<core::may_have_run>(result.m_verdict));
    }
}

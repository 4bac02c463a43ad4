// Messages with parts that are longer than a node accepts or can store.
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
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

// Longer than a field that the library can store.
constexpr std::size_t long_bytes = 70'000;

// Bytes that a receiver may take before it ends a message that does not end.
// The buffers of the kernel hold a part of them.
constexpr std::size_t max_taken_bytes = 33'554'432;

// Bytes and, if it is not empty, a piece that is repeated without end.
struct sent_bytes
{
    std::string m_begin;
    std::string m_repeated;
};

// Writes the bytes until the connection fails, but not much more than a
// receiver may take. Returns the number of bytes.
asio::awaitable<std::size_t> write_all(
    tcp::socket& socket, sent_bytes const& bytes)
{
    std::size_t written = 0;
    std::string piece =
        bytes.m_begin.empty() ? bytes.m_repeated : bytes.m_begin;
    while (!piece.empty() && written <= max_taken_bytes)
    {
        auto const [error, count] =
            co_await asio::async_write(socket, asio::buffer(piece), no_throw);
        written += count;
        if (error)
        {
            break;
        }
        piece = bytes.m_repeated;
    }
    co_return written;
}

// Answers the first request on each connection with these bytes.
class server_of_bytes
{
public:
    server_of_bytes(asio::io_context& context, sent_bytes bytes)
        : m_context{context},
          m_acceptor{context, {asio::ip::address_v4::loopback(), 0}},
          m_bytes{std::move(bytes)}
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    std::size_t m_written = 0;

    [[nodiscard]] hibiscustide::core::endpoint address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    asio::awaitable<void> accept()
    {
        while (true)
        {
            auto [error, socket] = co_await m_acceptor.async_accept(no_throw);
            if (error)
            {
                co_return;
            }
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        std::string request(4'096, '\0');
        co_await socket.async_read_some(asio::buffer(request), no_throw);
        m_written += co_await write_all(socket, m_bytes);
        co_await socket.async_read_some(asio::buffer(request), no_throw);
    }

    asio::io_context& m_context;
    tcp::acceptor m_acceptor;
    sent_bytes m_bytes;
};

// The result of a request to a server that answers with these bytes.
net::exchange_result exchange_with(sent_bytes const& bytes)
{
    asio::io_context context;
    server_of_bytes const server{context, bytes};
    net::connection_pool pool{context, {.m_remote = server.address()}};
    net::exchange_result result;
    auto const call = [&]() -> asio::awaitable<void>
    {
        net::http_request request{net::beast::http::verb::get, "/", 11};
        request.set(net::field::host, "x");
        auto const deadline = std::chrono::steady_clock::now() + 5s;
        result = co_await pool.exchange(request, deadline, nullptr);
    };
    asio::co_spawn(
        context, call(),
        [&](std::exception_ptr const&)
        {
            context.stop();
        });
    context.run();
    CHECK(server.m_written <= max_taken_bytes);
    return result;
}

net::exchange_result exchange_with(std::string const& bytes)
{
    return exchange_with(sent_bytes{.m_begin = bytes});
}

// The bytes that a server with this handler answers to these.
std::string answer_to(
    net::request_handler const& handler, sent_bytes const& bytes)
{
    constexpr std::uint16_t port = 28'436;
    asio::io_context context;
    auto const server = std::make_shared<net::http_server>(
        context,
        net::http_server_options{
            .m_listen = {.m_address = "127.0.0.1", .m_port = port}},
        handler, net::malformed_reply);
    REQUIRE_FALSE(server->start());
    tcp::socket client{context};
    client.connect({asio::ip::address_v4::loopback(), port});
    std::string answer(4'096, '\0');
    std::size_t size = 0;
    std::size_t written = 0;
    auto const send = [&]() -> asio::awaitable<void>
    {
        written = co_await write_all(client, bytes);
    };
    auto const receive = [&]() -> asio::awaitable<void>
    {
        auto const [error, count] =
            co_await client.async_read_some(asio::buffer(answer), no_throw);
        size = count;
        context.stop();
    };
    asio::co_spawn(context, send(), asio::detached);
    asio::co_spawn(context, receive(), asio::detached);
    context.run_for(5s);
    CHECK(written <= max_taken_bytes);
    answer.resize(size);
    return answer;
}

std::string answer_to(net::request_handler const& handler, std::string bytes)
{
    return answer_to(handler, sent_bytes{.m_begin = std::move(bytes)});
}

net::awaitable<net::http_response> answer_ok()
{
    co_return net::text_reply(net::status::ok, "done\n");
}

net::http_handler const whole_handler =
    [](net::http_request&, std::shared_ptr<net::cancel_scope> const&)
{
    return answer_ok();
};

net::streaming_handler const streaming_handler =
    [](net::http_request&, net::body_buffer_ptr const& body,
       std::shared_ptr<net::cancel_scope> const&)
    -> net::awaitable<net::http_response>
{
    while (body->current_state() == net::body_buffer::state::incomplete)
    {
        body->release_before(body->size());
        asio::steady_timer timer{
            co_await asio::this_coro::executor, std::chrono::milliseconds{2}};
        co_await timer.async_wait(no_throw);
    }
    co_return net::text_reply(net::status::ok, "done\n");
};

net::streaming_handler streaming_handler_without_body()
{
    return [](net::http_request&, net::body_buffer_ptr const&,
              std::shared_ptr<net::cancel_scope> const&)
    {
        return answer_ok();
    };
}

std::string const long_value = "X-Rest: " + std::string(long_bytes, 'x');
std::string const long_name = std::string(long_bytes, 'x') + ": rest";

} // namespace

// A target sent a line of 70,000 bytes behind the last chunk of its answer. The
// library throws for such a field, and the exception ended the node.
TEST_CASE("a field behind the last chunk of a response that is too long to be "
          "stored does not end the process")
{
    for (auto const& line : {long_value, long_name})
    {
        auto const result = exchange_with(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            "6\r\nrecord\r\n0\r\n" +
            line + "\r\n\r\n");
        auto const* const response = std::get_if<net::http_response>(&result);
        bool const is_whole =
            response != nullptr && response->body() == "record";
        CHECK((is_whole || response == nullptr));
    }
}

// One request of any client ended the node in the same way.
TEST_CASE("a field behind the last chunk of a request that is too long to be "
          "stored does not end the process")
{
    for (auto const& line : {long_value, long_name})
    {
        auto const request = "POST / HTTP/1.1\r\nHost: x\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n"
                             "6\r\nrecord\r\n0\r\n" +
                             line + "\r\n\r\n";
        CHECK(answer_to(whole_handler, request).starts_with("HTTP/1.1 "));
        CHECK(answer_to(streaming_handler, request).starts_with("HTTP/1.1 "));
    }
}

// Such a field counted as one of the head.
TEST_CASE("a field behind the last chunk of a response is not one of its head")
{
    auto const result = exchange_with(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "6\r\nrecord\r\n0\r\nSeal: s\r\nConnection: close\r\n\r\n");
    auto const* const response = std::get_if<net::http_response>(&result);
    REQUIRE(response != nullptr);
    CHECK(response->body() == "record");
    CHECK(response->find("Seal") == response->end());
}

TEST_CASE("a field of the head that is too long to be stored is an error")
{
    for (auto const& line : {long_value, long_name})
    {
        auto const result = exchange_with(
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + line + "\r\n\r\n");
        CHECK(std::holds_alternative<net::exchange_failure>(result));
    }
}

namespace
{

std::string const piece(10'000, 'a');
std::string const zeros(10'000, '0');
std::string const filler =
    "X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n";
std::string const chunked = "Transfer-Encoding: chunked\r\n\r\n";

// Each part of a message with a body in chunks that may not end, behind the
// given head without its last line.
std::vector<sent_bytes> endless_parts_behind(std::string const& head)
{
    return {
        {head + "X: ", piece},
        {head, filler},
        {head, piece},
        {head + chunked, zeros},
        {head + chunked + "1", zeros},
        {head + chunked + "1;a=", piece},
        {head + chunked + "1;a=\"", piece},
        {head + chunked + "1\r\nx\r\n", zeros},
        {head + chunked + "0;", piece},
        {head + chunked + "0\r\nX: ", piece},
        {head + chunked + "0\r\n", piece},
        {head + chunked + "0\r\n", filler},
        {head + chunked, "2710\r\n" + piece + "\r\n"}};
}

} // namespace

// A target sent a chunk size line without end. The node kept it in a buffer
// without a limit until the timeout, and was ended for its memory.
TEST_CASE("a response is ended if a part of it does not end")
{
    std::string const head = "HTTP/1.1 200 OK\r\n";
    auto responses = endless_parts_behind(head);
    responses.push_back({"HTTP/1.1 200 ", piece});
    responses.push_back({"", piece});
    responses.push_back({"", "HTTP/1.1 100 Continue\r\n\r\n"});
    responses.push_back({"", "HTTP/1.1 103 Early\r\nX: " + piece + "\r\n\r\n"});
    responses.push_back({head + "Connection: close\r\n\r\n", piece});
    responses.push_back({head + "Content-Length: 5000000000\r\n\r\n", piece});
    for (std::size_t n = 0; n < responses.size(); ++n)
    {
        CAPTURE(n);
        auto const began = std::chrono::steady_clock::now();
        auto const result = exchange_with(responses[n]);
        CHECK(std::holds_alternative<net::exchange_failure>(result));
        CHECK(std::chrono::steady_clock::now() - began < 4s);
    }
}

// Clients can do the same.
TEST_CASE("a request is refused if a part of it does not end")
{
    auto requests = endless_parts_behind("POST / HTTP/1.1\r\nHost: x\r\n");
    requests.push_back({"GET /", piece});
    requests.push_back({"", piece});
    for (std::size_t n = 0; n < requests.size(); ++n)
    {
        CAPTURE(n);
        CHECK(answer_to(whole_handler, requests[n]).starts_with("HTTP/1.1 4"));
        CHECK(
            answer_to(streaming_handler, requests[n]).starts_with("HTTP/1.1 "));
    }
}

// Heads that do not end take the memory for requests, and a request that needs
// more than its first buffer is refused until they are gone.
TEST_CASE("a long head for which there is no memory is refused with 503, and "
          "short requests are answered")
{
    constexpr std::uint16_t port = 28'438;
    constexpr int clients = 4;
    asio::io_context context;
    auto const server = std::make_shared<net::http_server>(
        context,
        net::http_server_options{
            .m_listen = {.m_address = "127.0.0.1", .m_port = port},
            .m_max_request_bytes = 57'344},
        streaming_handler_without_body(), net::malformed_reply);
    REQUIRE_FALSE(server->start());
    auto const exchange = [&](tcp::socket& client, std::string const& bytes)
    {
        asio::write(client, asio::buffer(bytes));
        context.restart();
        context.run_for(50ms);
        std::string answer(4'096, '\0');
        net::beast::error_code error;
        client.non_blocking(true);
        answer.resize(client.read_some(asio::buffer(answer), error));
        return answer;
    };
    auto const connect = [&]
    {
        tcp::socket client{context};
        client.connect({asio::ip::address_v4::loopback(), port});
        return client;
    };
    std::string const long_head =
        "GET / HTTP/1.1\r\nHost: x\r\nX: " + std::string(12'000, 'a');
    std::vector<tcp::socket> incomplete;
    for (int n = 0; n < clients; ++n)
    {
        incomplete.push_back(connect());
        auto const answer = exchange(incomplete.back(), long_head);
        CHECK(answer.starts_with("HTTP/1.1 503 ") == (n == clients - 1));
    }
    auto other = connect();
    CHECK(exchange(other, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
              .starts_with("HTTP/1.1 200 "));
    incomplete.clear();
    context.restart();
    context.run_for(50ms);
    auto last = connect();
    CHECK(exchange(last, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
              .starts_with("HTTP/1.1 200 "));
    CHECK(exchange(last, long_head + "\r\n\r\n").starts_with("HTTP/1.1 200 "));
}

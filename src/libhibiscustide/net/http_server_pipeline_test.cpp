// Pipelined requests whose answers are compared byte by byte.
#include "net/http_server.hpp"

#include <algorithm>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include "net/replies.hpp"

namespace asio = hibiscustide::net::asio;
namespace net = hibiscustide::net;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace
{

constexpr char const* address = "127.0.0.1";
constexpr std::uint16_t port = 28'433;
constexpr std::size_t clients = 16;
constexpr std::size_t max_requests = 12;
constexpr milliseconds max_run_time{10'000};

enum class request_kind : std::uint8_t
{
    get,
    head,
    no_content,
    not_modified,
    short_body,
    long_body,
    chunked_body,
    permitted_body, ///< Expects the permission to send its body.
    early,          ///< Answered before its body has been read.
    last,           ///< With `Connection: close`.
};

constexpr std::uint64_t kinds = 10;

struct planned_request
{
    request_kind m_kind = request_kind::get;
    std::string m_id;
    std::size_t m_size = 0; ///< Of the body of the request or of its answer.
    int m_delay_ms = 0;     ///< Of the answer.

    [[nodiscard]] bool has_body() const
    {
        return m_kind == request_kind::short_body ||
               m_kind == request_kind::long_body ||
               m_kind == request_kind::chunked_body ||
               m_kind == request_kind::permitted_body ||
               m_kind == request_kind::early;
    }

    [[nodiscard]] bool has_answer_without_body() const
    {
        return m_kind == request_kind::head ||
               m_kind == request_kind::no_content ||
               m_kind == request_kind::not_modified;
    }

    [[nodiscard]] int status() const
    {
        switch (m_kind)
        {
        case request_kind::no_content:
            return 204;
        case request_kind::not_modified:
            return 304;
        default:
            return 200;
        }
    }
};

// Text of this size that no other request has.
std::string text_of(std::string const& id, std::size_t size)
{
    std::string text;
    while (text.size() < size)
    {
        text += id + ";";
    }
    text.resize(size);
    return text;
}

std::string chunks_of(std::string text)
{
    constexpr std::size_t chunk_bytes = 3'000;
    std::string chunks;
    while (!text.empty())
    {
        auto const part = text.substr(0, chunk_bytes);
        text.erase(0, part.size());
        chunks += fmt::format("{:x}\r\n{}\r\n", part.size(), part);
    }
    return chunks + "0\r\n\r\n";
}

std::string text_of(planned_request const& request)
{
    auto const name = request.m_kind == request_kind::head ? "HEAD"
                      : request.has_body()                 ? "POST"
                                                           : "GET";
    auto text = fmt::format(
        "{} /{}/{}/{}/{} HTTP/1.1\r\nHost: x\r\n", name,
        static_cast<int>(request.m_kind), request.m_size, request.m_delay_ms,
        request.m_id);
    if (request.m_kind == request_kind::last)
    {
        text += "Connection: close\r\n";
    }
    if (request.m_kind == request_kind::permitted_body)
    {
        text += "Expect: 100-continue\r\n";
    }
    if (!request.has_body())
    {
        return text + "\r\n";
    }
    auto const body = text_of(request.m_id, request.m_size);
    if (request.m_kind == request_kind::chunked_body)
    {
        return text + "Transfer-Encoding: chunked\r\n\r\n" + chunks_of(body);
    }
    return text + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

planned_request parse(std::string_view path)
{
    std::vector<std::string> parts;
    for (std::size_t n = 0; n < 4; ++n)
    {
        path.remove_prefix(1);
        auto const part = path.substr(0, path.find('/'));
        parts.emplace_back(part);
        path.remove_prefix(part.size());
    }
    return {
        .m_kind = static_cast<request_kind>(std::stoi(parts[0])),
        .m_id = parts[3],
        .m_size = std::stoul(parts[1]),
        .m_delay_ms = std::stoi(parts[2])};
}

struct client
{
    explicit client(asio::io_context& context)
        : m_socket{context}
    {
    }

    asio::ip::tcp::socket m_socket;
    std::vector<planned_request> m_requests;
    std::string m_received;
    bool m_leaves = false;
    bool m_is_written = false; ///< All that the connection takes.
    std::mt19937_64 m_random;
};

std::string field_of(std::string const& head, std::string const& name)
{
    auto const begin = head.find("\r\n" + name + ": ");
    if (begin == std::string::npos)
    {
        return {};
    }
    auto const value = begin + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}

// Checks the bytes that a client has received against its requests.
class answer_checker
{
public:
    explicit answer_checker(client const& checked)
        : m_client{checked},
          m_rest{checked.m_received}
    {
    }

    void check()
    {
        for (auto const& request : m_client.m_requests)
        {
            CAPTURE(request.m_id);
            if (m_rest.empty() || !check_answer(request))
            {
                break;
            }
        }
        CHECK(m_rest.empty());
        if (!m_client.m_leaves && !has_early_request())
        {
            CHECK(m_answers == expected_answers());
        }
    }

private:
    // Returns false if no further answer may follow.
    bool check_answer(planned_request const& request)
    {
        auto head = take_head();
        if (head.starts_with("HTTP/1.1 100 "))
        {
            CHECK(request.m_kind == request_kind::permitted_body);
            head = take_head();
        }
        if (head.empty())
        {
            CHECK((m_client.m_leaves || has_early_request()));
            m_rest = {};
            return false;
        }
        CHECK(head.starts_with(
            "HTTP/1.1 " + std::to_string(request.status()) + " "));
        CHECK(field_of(head, "X-Id") == request.m_id);
        if (!request.has_answer_without_body())
        {
            check_body(request, std::stoul(field_of(head, "Content-Length")));
        }
        ++m_answers;
        return field_of(head, "Connection") != "close";
    }

    void check_body(planned_request const& request, std::size_t length)
    {
        CHECK(length == request.m_size);
        auto const body = m_rest.substr(0, length);
        m_rest.remove_prefix(body.size());
        bool const is_cut = body.size() < length;
        CHECK((!is_cut || m_client.m_leaves || has_early_request()));
        auto const expected = text_of(request.m_id, body.size());
        CHECK((body == expected));
    }

    std::string take_head()
    {
        auto const end = m_rest.find("\r\n\r\n");
        if (end == std::string_view::npos)
        {
            return {};
        }
        std::string head{m_rest.substr(0, end + 4)};
        m_rest.remove_prefix(end + 4);
        return head;
    }

    // The rest of its body may reset the connection.
    [[nodiscard]] bool has_early_request() const
    {
        return std::any_of(
            m_client.m_requests.begin(), m_client.m_requests.end(),
            [](planned_request const& each)
            {
                return each.m_kind == request_kind::early;
            });
    }

    // The requests up to the first that closes the connection.
    [[nodiscard]] std::size_t expected_answers() const
    {
        std::size_t count = 0;
        for (auto const& request : m_client.m_requests)
        {
            ++count;
            if (request.m_kind == request_kind::last)
            {
                break;
            }
        }
        return count;
    }

    client const& m_client;
    std::string_view m_rest;
    std::size_t m_answers = 0;
};

struct fixture
{
    explicit fixture(std::uint64_t seed)
        : m_random{seed},
          m_server{std::make_shared<net::http_server>(
              m_context,
              net::http_server_options{
                  .m_listen = {.m_address = address, .m_port = port},
                  .m_max_pipelined = 8},
              net::streaming_handler{
                  [this](
                      net::http_request& request,
                      net::body_buffer_ptr const& body,
                      std::shared_ptr<net::cancel_scope> const& /*scope*/)
                  {
                      return answer(request, body);
                  }},
              net::malformed_reply)}
    {
        REQUIRE_FALSE(m_server->start().has_value());
        for (std::size_t n = 0; n < clients; ++n)
        {
            start_client(std::to_string(n));
        }
    }

    std::uint64_t below(std::uint64_t limit)
    {
        return std::uniform_int_distribution<std::uint64_t>{0, limit - 1}(
            m_random);
    }

    planned_request plan(std::string const& id)
    {
        constexpr std::uint64_t max_short = 4'000;
        constexpr std::uint64_t max_long = 150'000;
        constexpr std::uint64_t max_delay_ms = 15;
        // The kinds that close a connection are less frequent.
        auto const kind = below(2) == 0 ? below(kinds - 2) : below(kinds);
        planned_request request{
            .m_kind = static_cast<request_kind>(kind),
            .m_id = id,
            .m_delay_ms = static_cast<int>(below(max_delay_ms))};
        bool const is_long = request.m_kind == request_kind::long_body ||
                             request.m_kind == request_kind::early ||
                             below(3) == 0;
        bool const is_short = request.m_kind == request_kind::short_body;
        request.m_size = is_long && !is_short ? max_short + below(max_long)
                                              : below(max_short);
        return request;
    }

    void start_client(std::string const& name)
    {
        m_clients.push_back(std::make_unique<client>(m_context));
        auto& started = *m_clients.back();
        auto const count = 1 + below(max_requests);
        for (std::size_t n = 0; n < count; ++n)
        {
            started.m_requests.push_back(plan(name + "-" + std::to_string(n)));
        }
        started.m_leaves = below(5) == 0;
        started.m_random.seed(m_random());
        started.m_socket.connect({asio::ip::make_address(address), port});
        asio::co_spawn(m_context, write_requests(started), asio::detached);
        asio::co_spawn(m_context, read_answers(started), asio::detached);
        if (started.m_leaves)
        {
            asio::co_spawn(
                m_context, leave(started, milliseconds{below(80)}),
                asio::detached);
        }
    }

    // Runs until all answers have been written, and then for a while in which
    // nothing more may arrive.
    void run()
    {
        constexpr milliseconds step{20};
        constexpr milliseconds silence{60};
        auto const limit = std::chrono::steady_clock::now() + max_run_time;
        do
        {
            m_context.restart();
            m_context.run_for(step);
        } while (!has_ended() && std::chrono::steady_clock::now() < limit);
        CHECK(has_ended());
        m_context.restart();
        m_context.run_for(silence);
    }

    [[nodiscard]] bool has_ended() const
    {
        return m_server->busy_connections() == 0 &&
               std::all_of(
                   m_clients.begin(), m_clients.end(),
                   [](auto const& each)
                   {
                       return each->m_is_written;
                   });
    }

    static net::awaitable<void> write_requests(client& used)
    {
        constexpr std::size_t max_piece = 20'000;
        std::string text;
        for (auto const& request : used.m_requests)
        {
            text += text_of(request);
        }
        std::size_t position = 0;
        boost::system::error_code error;
        asio::steady_timer pause{used.m_socket.get_executor()};
        while (position < text.size() && !error)
        {
            auto const size = std::min<std::size_t>(
                1 + used.m_random() % max_piece, text.size() - position);
            auto const piece = asio::buffer(text.data() + position, size);
            auto const [write_error, count] =
                co_await asio::async_write(used.m_socket, piece, net::no_throw);
            error = write_error;
            position += count;
            if (used.m_random() % 4 == 0)
            {
                pause.expires_after(1ms);
                co_await pause.async_wait(net::no_throw);
            }
        }
        used.m_is_written = true;
    }

    static net::awaitable<void> read_answers(client& used)
    {
        constexpr std::size_t read_bytes = 8'192;
        std::string bytes(read_bytes, '\0');
        boost::system::error_code error;
        while (!error)
        {
            auto const space = asio::buffer(bytes);
            auto const [read_error, count] =
                co_await used.m_socket.async_read_some(space, net::no_throw);
            error = read_error;
            used.m_received.append(bytes, 0, count);
        }
    }

    static net::awaitable<void> leave(client& used, milliseconds after)
    {
        asio::steady_timer timer{used.m_socket.get_executor(), after};
        co_await timer.async_wait(net::no_throw);
        used.m_socket.close();
    }

    net::awaitable<net::http_response> answer(
        net::http_request& request, net::body_buffer_ptr const& body)
    {
        auto const path = request.target();
        auto const planned = parse({path.data(), path.size()});
        asio::steady_timer timer{m_context, milliseconds{planned.m_delay_ms}};
        co_await timer.async_wait(net::no_throw);
        auto text = text_of(planned.m_id, planned.m_size);
        if (planned.has_body() && planned.m_kind != request_kind::early)
        {
            text = request.body();
            if (body)
            {
                text = co_await read_body(*body);
            }
        }
        if (planned.status() != 200)
        {
            text.clear();
        }
        auto response = net::text_reply(net::status::ok, std::move(text));
        response.result(static_cast<unsigned>(planned.status()));
        response.set("X-Id", planned.m_id);
        co_return response;
    }

    net::awaitable<std::string> read_body(net::body_buffer& body)
    {
        std::string text;
        asio::steady_timer timer{m_context};
        body.want();
        while (body.current_state() == net::body_buffer::state::incomplete ||
               text.size() < body.size())
        {
            text += body.read(text.size(), body.size());
            body.release_before(text.size());
            if (body.current_state() == net::body_buffer::state::failed)
            {
                break;
            }
            timer.expires_after(1ms);
            co_await timer.async_wait(net::no_throw);
        }
        co_return text;
    }

    asio::io_context m_context;
    std::mt19937_64 m_random;
    std::shared_ptr<net::http_server> m_server;
    std::vector<std::unique_ptr<client>> m_clients;
};

} // namespace

TEST_CASE("answers to pipelined requests are whole and in order whatever ends "
          "them")
{
    for (std::uint64_t const seed : {1, 2, 3})
    {
        CAPTURE(seed);
        fixture test{seed};
        test.run();
        for (auto const& each : test.m_clients)
        {
            answer_checker{*each}.check();
        }
    }
}

TEST_CASE("answers to pipelined requests are whole and in order while the "
          "server drains")
{
    fixture test{4};
    test.m_context.run_for(40ms);
    test.m_server->begin_drain();
    test.run();
    for (auto const& each : test.m_clients)
    {
        // Requests behind the last answer are not read.
        each->m_leaves = true;
        answer_checker{*each}.check();
    }
}

#include "net/http_server.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "net/clock.hpp"
#include "net/socket.hpp"

namespace hibiscustide::net
{

namespace
{

// How long to wait when no more descriptors can be had.
constexpr std::chrono::milliseconds accept_pause{50};

// How long, and how much, a peer may still send after the last answer.
constexpr std::chrono::milliseconds linger_limit{200};
constexpr std::size_t discarded_bytes = 2'048;
constexpr int max_discarded = 64;

} // namespace

// One connection. Requests are numbered as they come; an answer waits in
// m_answers until those before it have been written.
struct http_server::session
{
    explicit session(asio::ip::tcp::socket socket)
        : m_stream{std::move(socket)},
          m_room{m_stream.get_executor()}
    {
        m_room.expires_at(asio::steady_timer::time_point::max());
    }

    [[nodiscard]] std::size_t unanswered() const noexcept
    {
        return m_next_request - m_next_answer;
    }

    [[nodiscard]] bool is_busy() const noexcept
    {
        return m_reading || m_writing || unanswered() > 0;
    }

    void cancel_all()
    {
        auto scopes = std::move(m_scopes);
        m_scopes.clear();
        for (auto const& [place, scope] : scopes)
        {
            scope->cancel();
        }
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    asio::steady_timer m_room; ///< Cancelled when an answer has been written.
    core::time_point m_active_at = clock_now();
    std::uint64_t m_next_request = 0;
    std::uint64_t m_next_answer = 0;
    std::map<std::uint64_t, http_response> m_answers;
    std::map<std::uint64_t, std::shared_ptr<cancel_scope>> m_scopes;
    bool m_reading = false; ///< A request has begun to come.
    bool m_writing = false;
    bool m_closing = false; ///< No further request is read.
};

// Reads on for a moment: closing with unread bytes would reset the connection,
// and the peer could lose the last answer.
awaitable<void> http_server::discard_rest(session& connection)
{
    connection.m_buffer.consume(connection.m_buffer.size());
    connection.m_stream.expires_after(linger_limit);
    beast::error_code ended;
    for (int pieces = 0; pieces < max_discarded && !ended; ++pieces)
    {
        auto const [error, count] =
            co_await connection.m_stream.async_read_some(
                connection.m_buffer.prepare(discarded_bytes), no_throw);
        ended = error;
    }
}

http_server::http_server(
    asio::io_context& context, http_server_options options,
    http_handler handler, malformed_handler malformed)
    : m_context{context},
      m_options{std::move(options)},
      m_handler{std::move(handler)},
      m_malformed{std::move(malformed)},
      m_acceptor{context}
{
}

std::optional<std::string> http_server::start()
{
    auto failure =
        open_listener(m_acceptor, m_options.m_listen, m_options.m_reuse_port);
    if (failure)
    {
        return failure;
    }
    auto self = shared_from_this();
    asio::co_spawn(
        m_context,
        [self]() -> awaitable<void>
        {
            co_await self->accept_loop();
        },
        asio::detached);
    asio::co_spawn(
        m_context,
        [self]() -> awaitable<void>
        {
            co_await self->close_idle_loop();
        },
        asio::detached);
    return std::nullopt;
}

void http_server::set_limits(
    message_limits const& limits, std::chrono::milliseconds idle_timeout,
    std::chrono::milliseconds read_timeout) noexcept
{
    m_options.m_limits = limits;
    m_options.m_idle_timeout = idle_timeout;
    m_options.m_read_timeout = read_timeout;
}

void http_server::begin_drain()
{
    m_draining = true;
}

void http_server::stop_accepting()
{
    beast::error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error)
    {
        asio::ip::tcp::socket socket{m_context};
        m_acceptor.accept(socket, error);
        if (!error)
        {
            take(std::move(socket));
        }
    }
    beast::error_code ignored;
    m_acceptor.close(ignored);
}

void http_server::close_idle()
{
    m_finished = true;
    for (auto const& connection : m_sessions)
    {
        if (!connection->is_busy())
        {
            connection->m_stream.close();
        }
    }
}

std::size_t http_server::busy_connections() const noexcept
{
    auto const is_busy = [](session_ptr const& connection)
    {
        return connection->is_busy();
    };
    auto const count =
        std::count_if(m_sessions.begin(), m_sessions.end(), is_busy);
    return static_cast<std::size_t>(count);
}

std::size_t http_server::open_connections() const noexcept
{
    return m_sessions.size();
}

awaitable<void> http_server::accept_loop()
{
    while (m_acceptor.is_open())
    {
        auto [error, socket] = co_await m_acceptor.async_accept(no_throw);
        if (error == asio::error::operation_aborted)
        {
            co_return;
        }
        if (error)
        {
            asio::steady_timer pause{m_context, accept_pause};
            co_await pause.async_wait(no_throw);
            continue;
        }
        take(std::move(socket));
    }
}

void http_server::take(asio::ip::tcp::socket socket)
{
    if (m_sessions.size() >= m_options.m_max_connections)
    {
        return;
    }
    beast::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    auto connection = std::make_shared<session>(std::move(socket));
    m_sessions.insert(connection);
    auto self = shared_from_this();
    asio::co_spawn(
        m_context,
        [self, connection]() -> awaitable<void>
        {
            co_await self->serve(connection);
        },
        asio::detached);
}

// One timer for all connections: a connection is closed within a quarter of
// the limit after it is due.
awaitable<void> http_server::close_idle_loop()
{
    asio::steady_timer timer{m_context};
    while (m_acceptor.is_open())
    {
        timer.expires_after(m_options.m_idle_timeout / 4);
        co_await timer.async_wait(no_throw);
        auto const oldest = clock_now() - m_options.m_idle_timeout;
        for (auto const& connection : m_sessions)
        {
            if (!connection->is_busy() && connection->m_active_at < oldest)
            {
                connection->m_stream.close();
            }
        }
    }
}

awaitable<void> http_server::serve(session_ptr connection)
{
    bool again = true;
    while (again && !m_finished && !connection->m_closing)
    {
        again = co_await read_next(connection);
    }
    connection->m_closing = true;
    while (connection->unanswered() > 0 || connection->m_writing)
    {
        co_await connection->m_room.async_wait(no_throw);
    }
    // Half-closing first lets the peer read the last answer to its end even if
    // it has sent more than was read here.
    beast::error_code ignored;
    connection->m_stream.socket().shutdown(
        asio::ip::tcp::socket::shutdown_send, ignored);
    co_await discard_rest(*connection);
    connection->m_stream.close();
    m_sessions.erase(connection);
}

// Reads a request and begins to answer it. False where no more can be read.
awaitable<bool> http_server::read_next(session_ptr const& connection)
{
    auto& stream = connection->m_stream;
    auto const waited =
        co_await wait_for_data(stream, connection->m_buffer, std::nullopt);
    if (waited)
    {
        // The peer has left or the connection has failed: nobody waits for
        // the answers any more.
        connection->cancel_all();
        co_return false;
    }
    while (connection->unanswered() >= m_options.m_max_pipelined)
    {
        co_await connection->m_room.async_wait(no_throw);
    }
    // Once the server finishes, what has not been read is left to the caller
    // to send elsewhere.
    if (connection->m_closing || m_finished)
    {
        co_return false;
    }
    // From the first byte on the connection is busy, so that a graceful
    // shutdown waits for the request.
    connection->m_reading = true;
    auto read = co_await read_request(
        stream, connection->m_buffer, m_options.m_limits,
        m_options.m_read_timeout);
    connection->m_reading = false;
    if (auto const* const error = std::get_if<beast::error_code>(&read))
    {
        reject(connection, status_for(*error));
        co_return false;
    }
    auto request =
        std::make_shared<http_request>(std::move(std::get<http_request>(read)));
    bool const keep_alive = request->keep_alive();
    auto scope = std::make_shared<cancel_scope>();
    auto const place = connection->m_next_request++;
    connection->m_scopes.emplace(place, scope);
    auto self = shared_from_this();
    asio::co_spawn(
        m_context,
        [self, connection, place, request, scope]() -> awaitable<void>
        {
            co_await self->answer(connection, place, request, scope);
        },
        asio::detached);
    co_return keep_alive;
}

awaitable<void> http_server::answer(
    session_ptr connection, std::uint64_t place,
    std::shared_ptr<http_request> request, std::shared_ptr<cancel_scope> scope)
{
    bool const keep_alive = request->keep_alive();
    auto const version = request->version();
    bool const head = request->method() == beast::http::verb::head;
    auto response = co_await m_handler(*request, scope);
    response.version(version);
    response.keep_alive(keep_alive && response.keep_alive());
    if (!head)
    {
        response.prepare_payload();
    }
    connection->m_scopes.erase(place);
    connection->m_answers.emplace(place, std::move(response));
    if (!connection->m_writing)
    {
        co_await write_in_order(connection);
    }
}

awaitable<void> http_server::write_in_order(session_ptr connection)
{
    connection->m_writing = true;
    auto it = connection->m_answers.find(connection->m_next_answer);
    while (it != connection->m_answers.end())
    {
        http_response response = std::move(it->second);
        connection->m_answers.erase(it);
        // While draining, a connection is closed behind its last answer: a
        // request that has been read is not left without one.
        bool const is_last = connection->unanswered() == 1 &&
                             !connection->m_reading &&
                             connection->m_buffer.size() == 0;
        if (m_draining && is_last)
        {
            response.keep_alive(false);
        }
        auto const written = co_await write_response(
            connection->m_stream, response, m_options.m_write_timeout);
        ++connection->m_next_answer;
        connection->m_active_at = clock_now();
        if (written.m_error || !response.keep_alive())
        {
            // What was asked behind this answer counts as not read.
            beast::error_code ignored;
            connection->m_closing = true;
            connection->m_stream.socket().shutdown(
                asio::ip::tcp::socket::shutdown_send, ignored);
            connection->m_stream.socket().cancel(ignored);
        }
        connection->m_room.cancel();
        it = connection->m_answers.find(connection->m_next_answer);
    }
    connection->m_writing = false;
    connection->m_room.cancel();
}

void http_server::reject(session_ptr const& connection, status why)
{
    connection->m_closing = true;
    if (why == status::unknown)
    {
        connection->cancel_all();
        return;
    }
    auto response = m_malformed(why);
    response.keep_alive(false);
    response.prepare_payload();
    connection->m_answers.emplace(
        connection->m_next_request++, std::move(response));
    if (!connection->m_writing)
    {
        auto self = shared_from_this();
        asio::co_spawn(
            m_context,
            [self, connection]() -> awaitable<void>
            {
                co_await self->write_in_order(connection);
            },
            asio::detached);
    }
}

} // namespace hibiscustide::net

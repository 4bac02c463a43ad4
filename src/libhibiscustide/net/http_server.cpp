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

// Delay before the next attempt when accepting fails, for example for lack of
// file descriptors.
constexpr std::chrono::milliseconds accept_retry_delay{50};

// Limits on the time, the size of each read and the number of reads for which
// input is discarded after the last response.
constexpr std::chrono::milliseconds discard_timeout{200};
constexpr std::size_t discard_read_bytes = 2'048;
constexpr int max_discard_reads = 64;

} // namespace

// One connection. Requests are numbered in the order of arrival. A response
// waits in m_responses until all earlier responses have been written.
struct http_server::session
{
    explicit session(asio::ip::tcp::socket socket)
        : m_stream{std::move(socket)},
          m_response_written{m_stream.get_executor()}
    {
        m_response_written.expires_at(asio::steady_timer::time_point::max());
    }

    [[nodiscard]] std::size_t pending_responses() const noexcept
    {
        return m_next_request - m_next_response;
    }

    [[nodiscard]] bool is_busy() const noexcept
    {
        return m_reading || m_writing || pending_responses() > 0;
    }

    void cancel_all()
    {
        auto scopes = std::move(m_scopes);
        m_scopes.clear();
        for (auto const& [sequence, scope] : scopes)
        {
            scope->cancel();
        }
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    /// Cancelled after each written response, to resume waiting coroutines.
    asio::steady_timer m_response_written;
    core::time_point m_last_active = clock_now();
    std::uint64_t m_next_request = 0;
    std::uint64_t m_next_response = 0;
    std::map<std::uint64_t, http_response> m_responses;
    std::map<std::uint64_t, std::shared_ptr<cancel_scope>> m_scopes;
    bool m_reading = false; ///< A request has begun to arrive.
    bool m_writing = false;
    bool m_closing = false; ///< No further request is read.
};

// Reads and discards input for a short time. Closing a socket with unread input
// would reset the connection, and the peer could lose the last response.
awaitable<void> http_server::discard_input(session& connection)
{
    connection.m_buffer.consume(connection.m_buffer.size());
    connection.m_stream.expires_after(discard_timeout);
    beast::error_code read_error;
    for (int reads = 0; reads < max_discard_reads && !read_error; ++reads)
    {
        auto const [error, count] =
            co_await connection.m_stream.async_read_some(
                connection.m_buffer.prepare(discard_read_bytes), no_throw);
        read_error = error;
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
            start_session(std::move(socket));
        }
    }
    beast::error_code ignored;
    m_acceptor.close(ignored);
}

void http_server::close_idle()
{
    m_stopped = true;
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
            asio::steady_timer delay{m_context, accept_retry_delay};
            co_await delay.async_wait(no_throw);
            continue;
        }
        start_session(std::move(socket));
    }
}

void http_server::start_session(asio::ip::tcp::socket socket)
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

// One timer serves all connections. A connection is closed at most a quarter of
// the idle timeout after its timeout has expired.
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
            if (!connection->is_busy() && connection->m_last_active < oldest)
            {
                connection->m_stream.close();
            }
        }
    }
}

awaitable<void> http_server::serve(session_ptr connection)
{
    bool can_continue = true;
    while (can_continue && !m_stopped && !connection->m_closing)
    {
        can_continue = co_await read_next(connection);
    }
    connection->m_closing = true;
    while (connection->pending_responses() > 0 || connection->m_writing)
    {
        co_await connection->m_response_written.async_wait(no_throw);
    }
    // Closing the sending direction first lets the peer read the last response
    // completely, even if the peer has sent more than was read here.
    beast::error_code ignored;
    connection->m_stream.socket().shutdown(
        asio::ip::tcp::socket::shutdown_send, ignored);
    co_await discard_input(*connection);
    connection->m_stream.close();
    m_sessions.erase(connection);
}

// Reads a request and starts to process it. Returns false if no further request
// can be read.
awaitable<bool> http_server::read_next(session_ptr const& connection)
{
    auto& stream = connection->m_stream;
    auto const wait_error =
        co_await wait_for_data(stream, connection->m_buffer, std::nullopt);
    if (wait_error)
    {
        // The peer has disconnected or the connection has failed, so the
        // responses can no longer be delivered.
        connection->cancel_all();
        co_return false;
    }
    while (connection->pending_responses() >= m_options.m_max_pipelined)
    {
        co_await connection->m_response_written.async_wait(no_throw);
    }
    // After the server has stopped, requests that have not been read are left
    // to the caller, which can send them elsewhere.
    if (connection->m_closing || m_stopped)
    {
        co_return false;
    }
    // The connection is busy from the first byte of a request, so that a
    // graceful shutdown waits for the request.
    connection->m_reading = true;
    auto read = co_await read_request(
        stream, connection->m_buffer, m_options.m_limits,
        m_options.m_read_timeout);
    connection->m_reading = false;
    if (auto const* const error = std::get_if<beast::error_code>(&read))
    {
        reject(connection, status_for_read_error(*error));
        co_return false;
    }
    auto request =
        std::make_shared<http_request>(std::move(std::get<http_request>(read)));
    bool const keep_alive = request->keep_alive();
    auto scope = std::make_shared<cancel_scope>();
    auto const sequence = connection->m_next_request++;
    connection->m_scopes.emplace(sequence, scope);
    auto self = shared_from_this();
    asio::co_spawn(
        m_context,
        [self, connection, sequence, request, scope]() -> awaitable<void>
        {
            co_await self->respond(connection, sequence, request, scope);
        },
        asio::detached);
    co_return keep_alive;
}

awaitable<void> http_server::respond(
    session_ptr connection, std::uint64_t sequence,
    std::shared_ptr<http_request> request, std::shared_ptr<cancel_scope> scope)
{
    bool const keep_alive = request->keep_alive();
    auto const version = request->version();
    bool const is_head = request->method() == beast::http::verb::head;
    auto response = co_await m_handler(*request, scope);
    response.version(version);
    response.keep_alive(keep_alive && response.keep_alive());
    if (!is_head)
    {
        response.prepare_payload();
    }
    connection->m_scopes.erase(sequence);
    connection->m_responses.emplace(sequence, std::move(response));
    if (!connection->m_writing)
    {
        co_await write_responses(connection);
    }
}

awaitable<void> http_server::write_responses(session_ptr connection)
{
    connection->m_writing = true;
    auto it = connection->m_responses.find(connection->m_next_response);
    while (it != connection->m_responses.end())
    {
        http_response response = std::move(it->second);
        connection->m_responses.erase(it);
        // While draining, a connection is closed only after its last response,
        // so that every request that has been read gets a response.
        bool const is_last = connection->pending_responses() == 1 &&
                             !connection->m_reading &&
                             connection->m_buffer.size() == 0;
        if (m_draining && is_last)
        {
            response.keep_alive(false);
        }
        auto const written = co_await write_response(
            connection->m_stream, response, m_options.m_write_timeout);
        ++connection->m_next_response;
        connection->m_last_active = clock_now();
        if (written.m_error || !response.keep_alive())
        {
            // Requests that follow this response on the connection count as not
            // read.
            beast::error_code ignored;
            connection->m_closing = true;
            connection->m_stream.socket().shutdown(
                asio::ip::tcp::socket::shutdown_send, ignored);
            connection->m_stream.socket().cancel(ignored);
        }
        connection->m_response_written.cancel();
        it = connection->m_responses.find(connection->m_next_response);
    }
    connection->m_writing = false;
    connection->m_response_written.cancel();
}

void http_server::reject(session_ptr const& connection, status code)
{
    connection->m_closing = true;
    if (code == status::unknown)
    {
        connection->cancel_all();
        return;
    }
    auto response = m_malformed(code);
    response.keep_alive(false);
    response.prepare_payload();
    connection->m_responses.emplace(
        connection->m_next_request++, std::move(response));
    if (!connection->m_writing)
    {
        auto self = shared_from_this();
        asio::co_spawn(
            m_context,
            [self, connection]() -> awaitable<void>
            {
                co_await self->write_responses(connection);
            },
            asio::detached);
    }
}

} // namespace hibiscustide::net

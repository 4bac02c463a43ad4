#include "net/http_server.hpp"

#include <algorithm>
#include <exception>
#include <map>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include "net/clock.hpp"
#include "net/failure_guard.hpp"
#include "net/replies.hpp"
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

// A body of up to this length is read before its request is handled.
constexpr std::size_t max_whole_body = 4'096;

// Largest number of bytes of a body that are read at once.
constexpr std::size_t body_read_bytes = 8'192;

// Limit of the buffer of a connection whose request needs no more. It is not
// counted in the quota of requests.
constexpr std::size_t first_buffer_bytes = 8'192;

// A request whose head and body take less is not counted in the quota, since
// the data of any request in progress takes as much.
constexpr std::size_t uncounted_request_bytes = 4'096;

// A head is held as it was received, as fields that are forwarded, and in the
// messages that are sent to nodes or to the target.
constexpr std::size_t copies_of_head = 3;

// Of a request for which there is no memory. Others end within that time.
constexpr char const* retry_after_s = "1";

// Capacity for a body for which the usual capacity does not fit into the quota.
constexpr std::size_t small_body_capacity = 16'384;

bool is_continue_expected(http_request const& request)
{
    return beast::iequals(request[field::expect], "100-continue");
}

} // namespace

// One connection. Requests are numbered in the order of arrival. A response
// waits in m_responses until all earlier responses have been written.
struct http_server::session
{
    session(asio::ip::tcp::socket socket, core::admission::buffer_quota& quota)
        : m_stream{std::move(socket)},
          m_buffer{first_buffer_bytes},
          m_buffer_share{quota},
          m_response_written{m_stream.get_executor()},
          m_body_room{m_stream.get_executor()}
    {
        beast::error_code error;
        auto const client = m_stream.socket().remote_endpoint(error);
        if (!error)
        {
            m_client_address = client.address().to_string();
        }
        m_response_written.expires_at(asio::steady_timer::time_point::max());
        m_body_room.expires_at(asio::steady_timer::time_point::max());
    }

    [[nodiscard]] std::size_t pending_responses() const noexcept
    {
        return m_next_request - m_next_response;
    }

    [[nodiscard]] bool has_unwritten_responses() const noexcept
    {
        return !m_aborted && (m_writing || pending_responses() > 0);
    }

    [[nodiscard]] bool is_busy() const noexcept
    {
        return m_reading || m_writing || pending_responses() > 0;
    }

    // Frees the additional memory that an earlier request needed.
    void shrink_buffer()
    {
        if (m_buffer.size() == 0 && m_buffer.max_size() > first_buffer_bytes)
        {
            m_buffer.shrink_to_fit();
            m_buffer.max_size(first_buffer_bytes);
            m_buffer_share.shrink_to(0);
        }
    }

    // Ends the connection without the responses that are missing.
    void abort()
    {
        m_closing = true;
        m_aborted = true;
        cancel_all();
        m_stream.close();
        m_response_written.cancel();
        m_body_room.cancel();
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
    std::string m_client_address; ///< Empty if it has disconnected already.
    beast::flat_buffer m_buffer;
    core::admission::buffer_quota::share m_buffer_share;
    /// Cancelled after each written response, to resume waiting coroutines.
    asio::steady_timer m_response_written;
    /// Cancelled when the body that is being read has room or is not wanted.
    asio::steady_timer m_body_room;
    core::time_point m_last_active = clock_now();
    std::uint64_t m_next_request = 0;
    std::uint64_t m_next_response = 0;
    std::map<std::uint64_t, http_response> m_responses;
    std::map<std::uint64_t, std::shared_ptr<cancel_scope>> m_scopes;
    bool m_reading = false; ///< A request has begun to arrive.
    bool m_writing = false;
    bool m_discarding = false; ///< The peer may still read the last response.
    bool m_closing = false;    ///< No further request is read.
    bool m_aborted = false;    ///< Some responses will not be written.
};

// A request that was read, or whose body is still being read.
struct http_server::received_request
{
    received_request(
        http_request&& message, core::admission::buffer_quota& quota)
        : m_message{std::move(message)},
          m_memory{quota}
    {
    }

    // Reserves memory for the request and its body. If there is not enough for
    // the usual capacity of a body, the body gets a small one. Returns false if
    // there is no memory for the request.
    [[nodiscard]] bool reserve(
        std::size_t head_size, std::optional<std::uint64_t> body_length)
    {
        auto const head = copies_of_head * head_size;
        auto const body = std::min<std::uint64_t>(
            body_length.value_or(UINT64_MAX), m_body_capacity);
        if (head + body <= uncounted_request_bytes ||
            m_memory.grow_to(head + body))
        {
            return true;
        }
        m_body_capacity = small_body_capacity;
        return body > small_body_capacity &&
               m_memory.grow_to(head + small_body_capacity);
    }

    http_request m_message;
    body_buffer_ptr m_body; // Null if the message contains the body.
    std::size_t m_body_capacity = body_buffer_options{}.m_capacity;
    core::admission::buffer_quota::share m_memory;
};

// Ends a connection if the coroutine that writes a response to it fails.
class http_server::response_guard
{
public:
    explicit response_guard(session& connection) noexcept
        : m_connection{&connection}
    {
    }

    response_guard(response_guard const&) = delete;
    response_guard& operator=(response_guard const&) = delete;

    ~response_guard()
    {
        if (m_connection != nullptr)
        {
            m_connection->abort();
        }
    }

    void dismiss() noexcept
    {
        m_connection = nullptr;
    }

private:
    session* m_connection;
};

// Ends a connection and removes it from its server, also if the coroutine that
// serves it fails. Its requests are cancelled then.
class http_server::session_guard
{
public:
    session_guard(http_server& server, session_ptr connection)
        : m_server{server},
          m_connection{std::move(connection)}
    {
    }

    session_guard(session_guard const&) = delete;
    session_guard& operator=(session_guard const&) = delete;

    ~session_guard()
    {
        m_connection->abort();
        m_server.m_sessions.erase(m_connection);
    }

private:
    http_server& m_server;
    session_ptr m_connection;
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
    request_handler handler, malformed_handler malformed)
    : m_context{context},
      m_options{std::move(options)},
      m_handler{std::move(handler)},
      m_malformed{std::move(malformed)},
      m_acceptor{context},
      m_request_quota{
          {.m_max_total_bytes = m_options.m_max_request_bytes,
           .m_min_bytes_each = 0}}
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
    spawn_loop(
        m_context, "acceptor",
        [self]
        {
            return self->accept_loop();
        });
    spawn_loop(
        m_context, "close of idle connections",
        [self]
        {
            return self->close_idle_loop();
        });
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
        if (connection->is_busy() || connection->m_discarding)
        {
            continue;
        }
        // A request that has arrived is answered, although it has not been
        // read yet.
        if (has_unread_data(connection->m_stream.socket().native_handle()))
        {
            connection->m_reading = true;
            continue;
        }
        connection->m_stream.close();
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

std::size_t http_server::closing_connections() const noexcept
{
    auto const is_closing = [](session_ptr const& connection)
    {
        return connection->m_discarding;
    };
    auto const count =
        std::count_if(m_sessions.begin(), m_sessions.end(), is_closing);
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
    auto connection =
        std::make_shared<session>(std::move(socket), m_request_quota);
    m_sessions.insert(connection);
    auto self = shared_from_this();
    asio::co_spawn(
        m_context,
        [self, connection]() -> awaitable<void>
        {
            co_await self->serve(connection);
        },
        log_if_failed{"connection of a client"});
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
            bool const is_in_use =
                connection->is_busy() || connection->m_discarding;
            if (!is_in_use && connection->m_last_active < oldest)
            {
                connection->m_stream.close();
            }
        }
    }
}

awaitable<void> http_server::serve(session_ptr connection)
{
    session_guard const guard{*this, connection};
    bool can_continue = true;
    while (can_continue && (!m_stopped || connection->m_reading) &&
           !connection->m_closing)
    {
        can_continue = co_await read_next(connection);
    }
    connection->m_closing = true;
    while (connection->has_unwritten_responses())
    {
        co_await connection->m_response_written.async_wait(no_throw);
    }
    // Closing the sending direction first lets the peer read the last response
    // completely, even if the peer has sent more than was read here.
    beast::error_code ignored;
    connection->m_stream.socket().shutdown(
        asio::ip::tcp::socket::shutdown_send, ignored);
    connection->m_discarding = true;
    co_await discard_input(*connection);
}

// Reads a request and starts to process it. Returns false if no further request
// can be read.
awaitable<bool> http_server::read_next(session_ptr const& connection)
{
    auto& stream = connection->m_stream;
    connection->shrink_buffer();
    auto const wait_error =
        co_await wait_for_data(stream, connection->m_buffer, std::nullopt);
    if (wait_error)
    {
        // The peer has disconnected or the connection has failed, so the
        // responses can no longer be delivered.
        connection->cancel_all();
        co_return false;
    }
    while (!connection->m_closing &&
           connection->pending_responses() >= m_options.m_max_pipelined)
    {
        co_await connection->m_response_written.async_wait(no_throw);
    }
    // After the server has stopped, requests that arrive are left to the
    // caller, which can send them elsewhere.
    bool const is_stopped = m_stopped && !connection->m_reading;
    if (connection->m_closing || is_stopped)
    {
        co_return false;
    }
    // The connection is busy from the first byte of a request, so that a
    // graceful shutdown waits for the request.
    connection->m_reading = true;
    bool can_continue = false;
    if (std::holds_alternative<streaming_handler>(m_handler))
    {
        can_continue = co_await read_streaming(connection);
    }
    else
    {
        can_continue = co_await read_whole(connection);
    }
    connection->m_reading = false;
    co_return can_continue;
}

awaitable<bool> http_server::read_whole(session_ptr const& connection)
{
    connection->m_buffer.max_size(std::max(
        max_unparsed_bytes(m_options.m_limits), connection->m_buffer.size()));
    auto read = co_await read_request(
        connection->m_stream, connection->m_buffer, m_options.m_limits,
        m_options.m_read_timeout);
    if (auto const* const error = std::get_if<beast::error_code>(&read))
    {
        reject(connection, *error);
        co_return false;
    }
    auto& request = std::get<http_request>(read);
    bool const keep_alive = request.keep_alive();
    // The response may be written before the next statement runs.
    connection->m_reading = false;
    start_response(
        connection, std::make_shared<received_request>(
                        std::move(request), m_request_quota));
    co_return keep_alive;
}

// Repeats a read for which the buffer is too small after its limit was raised.
template <typename Read>
awaitable<beast::error_code> http_server::read_growing(
    session& connection, Read read)
{
    auto& buffer = connection.m_buffer;
    auto const limit = max_unparsed_bytes(m_options.m_limits);
    auto error = co_await read();
    while (error == beast::http::error::buffer_overflow &&
           buffer.max_size() < limit)
    {
        auto const size = std::min(2 * buffer.max_size(), limit);
        if (!connection.m_buffer_share.grow_to(size))
        {
            co_return beast::error_code{asio::error::no_memory};
        }
        buffer.max_size(size);
        error = co_await read();
    }
    co_return error;
}

awaitable<bool> http_server::read_streaming(session_ptr const& connection)
{
    request_reader reader{m_options.m_limits};
    auto const read_header = [&]
    {
        return reader.read_header(
            connection->m_stream, connection->m_buffer,
            m_options.m_read_timeout);
    };
    auto const error = co_await read_growing(*connection, read_header);
    if (error)
    {
        reject(connection, error);
        co_return false;
    }
    auto const received = std::make_shared<received_request>(
        reader.take_request(), m_request_quota);
    if (!received->reserve(reader.head_size(), reader.body_length()))
    {
        reject(connection, asio::error::no_memory);
        co_return false;
    }
    auto& request = received->m_message;
    request.m_client_address = connection->m_client_address;
    bool const keep_alive = request.keep_alive();
    bool const must_permit = is_continue_expected(request);
    bool const is_short =
        reader.body_length().value_or(UINT64_MAX) <= max_whole_body;
    if (is_short && !must_permit)
    {
        auto const body_error =
            co_await read_short_body(*connection, reader, request.body());
        if (body_error)
        {
            reject(connection, body_error);
            co_return false;
        }
        connection->m_reading = false;
        start_response(connection, received);
        co_return keep_alive;
    }
    auto const body = std::make_shared<body_buffer>(body_buffer_options{
        .m_length = reader.body_length(),
        .m_capacity = received->m_body_capacity,
        .m_keep_for_restart = true});
    received->m_body = body;
    body->on_room(
        [weak = std::weak_ptr<session>{connection}]
        {
            if (auto const open_connection = weak.lock())
            {
                open_connection->m_body_room.cancel();
            }
        });
    auto const sequence = start_response(connection, received);
    bool is_permitted = true;
    if (must_permit)
    {
        is_permitted = co_await permit_body(connection, sequence, body);
    }
    bool is_read = false;
    if (is_permitted)
    {
        is_read = co_await read_body(connection, reader, body);
    }
    body->on_room(nullptr);
    bool const can_continue = is_read && keep_alive;
    co_return can_continue;
}

awaitable<beast::error_code> http_server::read_short_body(
    session& connection, request_reader& reader, std::string& bytes)
{
    beast::error_code error;
    while (!reader.is_done() && !error)
    {
        auto const read = [&]
        {
            return reader.read_body(
                connection.m_stream, connection.m_buffer,
                m_options.m_read_timeout, max_whole_body, bytes);
        };
        error = co_await read_growing(connection, read);
    }
    co_return error;
}

// Waits until the handler wants the body and then permits the client to send
// it. Returns false if the body is not wanted.
awaitable<bool> http_server::permit_body(
    session_ptr const& connection, std::uint64_t sequence,
    body_buffer_ptr const& body)
{
    auto const is_waiting = [&]
    {
        // The permission must not be sent before an earlier response.
        bool const is_turn = connection->m_next_response == sequence;
        return !body->is_abandoned() && !connection->m_closing &&
               (!body->is_wanted() || !is_turn);
    };
    while (is_waiting())
    {
        co_await connection->m_body_room.async_wait(no_throw);
    }
    if (body->is_abandoned() || connection->m_closing)
    {
        body->fail(status::unknown);
        co_return false;
    }
    auto const error = co_await write_continue(
        connection->m_stream, m_options.m_write_timeout);
    if (error)
    {
        body->fail(status::unknown);
        connection->cancel_all();
    }
    co_return !error;
}

// Reads the body while the handler uses it. Reading pauses while the buffer is
// full. Returns false if the body was not read completely.
awaitable<bool> http_server::read_body(
    session_ptr const& connection, request_reader& reader,
    body_buffer_ptr const& body)
{
    std::string bytes;
    while (!reader.is_done())
    {
        if (body->is_abandoned() || connection->m_closing)
        {
            body->fail(status::unknown);
            co_return false;
        }
        if (body->room() == 0)
        {
            co_await connection->m_body_room.async_wait(no_throw);
            continue;
        }
        bytes.clear();
        auto const read = [&]
        {
            return reader.read_body(
                connection->m_stream, connection->m_buffer,
                m_options.m_read_timeout,
                std::min(body->room(), body_read_bytes), bytes);
        };
        auto const error = co_await read_growing(*connection, read);
        body->append(bytes);
        if (error)
        {
            auto const why = status_for_read_error(error);
            body->fail(why);
            if (why == status::unknown)
            {
                connection->cancel_all();
            }
            co_return false;
        }
    }
    body->finish();
    co_return true;
}

// Starts to process a request that was read, with or without its body. Returns
// the number of the request on its connection.
std::uint64_t http_server::start_response(
    session_ptr const& connection, request_ptr const& received)
{
    auto scope = std::make_shared<cancel_scope>();
    auto const sequence = connection->m_next_request++;
    connection->m_scopes.emplace(sequence, scope);
    auto self = shared_from_this();
    asio::co_spawn(
        m_context,
        [self, connection, sequence, received, scope]() -> awaitable<void>
        {
            co_await self->respond(connection, sequence, received, scope);
        },
        log_if_failed{"response to a client"});
    return sequence;
}

awaitable<void> http_server::respond(
    session_ptr connection, std::uint64_t sequence, request_ptr received,
    std::shared_ptr<cancel_scope> scope)
{
    auto& request = received->m_message;
    auto const& body = received->m_body;
    bool const keep_alive = request.keep_alive();
    auto const version = request.version();
    bool const is_head = request.method() == beast::http::verb::head;
    response_guard guard{*connection};
    auto response = co_await handle_or_fail(request, body, scope);
    bool const has_read_body =
        !body || body->current_state() == body_buffer::state::complete;
    response.version(version);
    response.keep_alive(keep_alive && response.keep_alive() && has_read_body);
    if (body)
    {
        body->abandon();
    }
    if (is_head)
    {
        // A caller would take a body for the beginning of the next response.
        response.body().clear();
    }
    else
    {
        response.prepare_payload();
    }
    connection->m_scopes.erase(sequence);
    connection->m_responses.emplace(sequence, std::move(response));
    if (!connection->m_writing)
    {
        co_await write_responses(connection);
    }
    guard.dismiss();
}

// The request may have run in part, so that the status promises nothing.
awaitable<http_response> http_server::handle_or_fail(
    http_request& request, body_buffer_ptr const& body,
    std::shared_ptr<cancel_scope> const& scope)
{
    std::exception_ptr failure;
    try
    {
        co_return co_await handle(request, body, scope);
    }
    catch (...)
    {
        failure = std::current_exception();
    }
    log_failure("request of a client", failure);
    co_return text_reply(
        status::internal_server_error, "the request failed in this node\n");
}

awaitable<http_response> http_server::handle(
    http_request& request, body_buffer_ptr const& body,
    std::shared_ptr<cancel_scope> const& scope)
{
    if (auto const* const handler = std::get_if<http_handler>(&m_handler))
    {
        co_return co_await (*handler)(request, scope);
    }
    co_return co_await std::get<streaming_handler>(m_handler)(
        request, body, scope);
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
                             (m_stopped || connection->m_buffer.size() == 0);
        if (m_draining && is_last)
        {
            response.keep_alive(false);
        }
        if (!response.keep_alive())
        {
            // A request that arrives during the write would be started, but
            // would get no response.
            connection->m_closing = true;
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
            connection->cancel_all();
            connection->m_stream.socket().shutdown(
                asio::ip::tcp::socket::shutdown_send, ignored);
            connection->m_stream.socket().cancel(ignored);
        }
        connection->m_response_written.cancel();
        connection->m_body_room.cancel();
        it = connection->m_responses.find(connection->m_next_response);
    }
    connection->m_writing = false;
    connection->m_response_written.cancel();
}

// Answers a request that could not be read, if its connection permits that.
void http_server::reject(
    session_ptr const& connection, beast::error_code const& error)
{
    connection->m_closing = true;
    auto const code = status_for_read_error(error);
    if (code == status::unknown)
    {
        connection->cancel_all();
        return;
    }
    auto response = m_malformed(code, error.message());
    response.keep_alive(false);
    if (code == status::service_unavailable)
    {
        response.set(field::retry_after, retry_after_s);
    }
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
                response_guard guard{*connection};
                co_await self->write_responses(connection);
                guard.dismiss();
            },
            log_if_failed{"response to a client"});
    }
}

} // namespace hibiscustide::net

#include "net/connection_pool.hpp"

#include <algorithm>
#include <charconv>
#include <exception>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include "net/body_writer.hpp"
#include "net/clock.hpp"
#include "net/embedded_responses.hpp"
#include "net/failure_guard.hpp"
#include "net/socket.hpp"

namespace hibiscustide::net
{

namespace
{

core::reason reason_for(beast::error_code error, cancel_scope const* scope)
{
    if (scope != nullptr && scope->is_cancelled())
    {
        return core::reason::caller_left;
    }
    if (error == beast::error::timeout)
    {
        return core::reason::response_timeout;
    }
    if (is_too_large(error))
    {
        return core::reason::answer_too_large;
    }
    return core::reason::connection_broken;
}

// Maximum number of late responses that are skipped before the connection is
// closed.
constexpr int max_skipped_responses = 2;

// Maximum number of requests whose identifiers a connection keeps. It is closed
// when it has that many, since a copy of each response may still arrive on it.
constexpr std::size_t max_sent_requests = 256;

// Bytes behind a body that are read to find out whether they continue it.
constexpr std::size_t max_rest_bytes = 4'096;

// Time for which such bytes are awaited if the body ends within what may be the
// head of another response, and the interval of the checks.
constexpr std::chrono::milliseconds max_rest_delay{50};
constexpr std::chrono::milliseconds rest_poll_interval{2};

// Subtracted from the idle timeout that a server announces, because a request
// that is sent while the server closes the connection is lost.
constexpr std::chrono::milliseconds idle_margin{1'000};

// Returns the idle timeout that the Keep-Alive field of the response announces,
// less idle_margin but at least a quarter of it; `default_timeout` if none is
// announced.
core::duration idle_timeout_of(
    http_response const& response, core::duration default_timeout)
{
    constexpr std::string_view parameter = "timeout=";
    auto const value = response[field::keep_alive];
    std::string_view const text{value.data(), value.size()};
    auto const position = text.find(parameter);
    std::uint32_t seconds = 0;
    if (position == std::string_view::npos)
    {
        return default_timeout;
    }
    auto const number = text.substr(position + parameter.size());
    std::from_chars(number.data(), number.data() + number.size(), seconds);
    core::duration const announced = std::chrono::seconds{seconds};
    return std::max<core::duration>(announced - idle_margin, announced / 4);
}

// A request that is being written. Owned by the write operation, which may end
// after the exchange.
struct request_write
{
    explicit request_write(http_request const& request)
        : m_request{request}
    {
    }

    http_request m_request;
    std::string m_text; // Of a request with long fields.
    beast::error_code m_error;
    std::size_t m_written = 0;
    bool m_done = false;
};

// Removes the hook of a scope, which uses the connection, when the exchange
// ends, also by an exception.
class hook_guard
{
public:
    explicit hook_guard(cancel_scope* scope) noexcept
        : m_scope{scope}
    {
    }

    hook_guard(hook_guard const&) = delete;
    hook_guard& operator=(hook_guard const&) = delete;

    ~hook_guard()
    {
        clear();
    }

    void clear() noexcept
    {
        if (m_scope != nullptr)
        {
            m_scope->clear();
        }
    }

private:
    cancel_scope* m_scope;
};

void begin_write(
    beast::tcp_stream& stream, std::shared_ptr<request_write> const& write)
{
    auto const on_end = [write](beast::error_code error, std::size_t written)
    {
        write->m_done = true;
        write->m_error = error;
        write->m_written = written;
    };
    auto const& request = write->m_request;
    if (request.m_long_fields.empty())
    {
        beast::http::async_write(stream, request, on_end);
        return;
    }
    write->m_text = head_text(request, request.m_long_fields) + request.body();
    asio::async_write(stream, asio::buffer(write->m_text), on_end);
}

} // namespace

std::string_view to_string(discard_reason value) noexcept
{
    switch (value)
    {
    case discard_reason::other_request:
        return "other-request";
    case discard_reason::malformed:
        return "malformed";
    case discard_reason::surplus:
        return "surplus";
    case discard_reason::several_responses:
        return "several-responses";
    }
    return "";
}

struct connection_pool::connection
{
    connection(
        asio::io_context& context, std::size_t max_buffer_bytes,
        std::shared_ptr<std::size_t> open)
        : m_stream{context},
          m_buffer{max_buffer_bytes},
          m_open_count{std::move(open)}
    {
        ++*m_open_count;
    }

    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    ~connection()
    {
        --*m_open_count;
    }

    [[nodiscard]] bool has_sent(request_id id) const
    {
        return id &&
               std::find(m_sent.begin(), m_sent.end(), *id) != m_sent.end();
    }

    void on_sent(request_id id)
    {
        if (id)
        {
            m_sent.push_back(*id);
        }
    }

    // Reads the bytes that have arrived behind a response.
    void read_rest()
    {
        beast::error_code error;
        auto const count = m_stream.socket().available(error);
        if (error || count == 0)
        {
            return;
        }
        auto const read = m_stream.socket().read_some(
            m_buffer.prepare(std::min(count, max_rest_bytes)), error);
        m_buffer.commit(read);
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    /// Identifiers of the requests that were sent on the connection.
    std::vector<std::uint64_t> m_sent;
    core::time_point m_idle_since;
    core::duration m_idle_timeout{};
    // Shared, because an exchange that is aborted at process exit may outlive
    // the pool.
    std::shared_ptr<std::size_t> m_open_count;
};

connection_pool::connection_pool(
    asio::io_context& context, connection_pool_options options)
    : m_context{context},
      m_options{std::move(options)},
      m_response_quota{std::make_shared<core::admission::buffer_quota>(
          m_options.m_response_quota)}
{
}

connection_pool::~connection_pool() = default;

awaitable<exchange_result> connection_pool::exchange(
    http_request const& request, core::time_point deadline, cancel_scope* scope,
    core::duration max_idle)
{
    auto const id = id_of(request);
    auto acquired = co_await acquire(id, deadline, scope, max_idle);
    if (auto const* const failure = std::get_if<exchange_failure>(&acquired))
    {
        co_return *failure;
    }
    auto used = std::move(std::get<std::unique_ptr<connection>>(acquired));
    hook_guard hook{scope};
    // The server may respond before it has read the whole request, so the
    // response is read while the request is being written.
    auto const write = std::make_shared<request_write>(request);
    used->on_sent(id);
    used->m_stream.expires_at(deadline);
    begin_write(used->m_stream, write);
    auto read = co_await read_or_fail(*used, request, deadline);
    hook.clear();
    if (auto const* const error = std::get_if<beast::error_code>(&read))
    {
        bool const unsent =
            write->m_done && write->m_error && write->m_written == 0;
        co_return exchange_failure{
            .m_sent = !unsent, .m_reason = reason_for(*error, scope)};
    }
    auto& response = std::get<http_response>(read);
    bool const is_written = write->m_done && !write->m_error;
    if (!is_written && is_cut(*used, response, write->m_done))
    {
        co_return exchange_failure{
            .m_sent = true, .m_reason = core::reason::connection_broken};
    }
    release_if_reusable(std::move(used), request, response, is_written);
    co_return std::move(response);
}

awaitable<exchange_result> connection_pool::exchange(
    http_request header, body_buffer_ptr const& body, core::time_point deadline,
    cancel_scope* scope, core::duration max_idle)
{
    auto const id = id_of(header);
    auto acquired = co_await acquire(id, deadline, scope, max_idle);
    if (auto const* const failure = std::get_if<exchange_failure>(&acquired))
    {
        co_return *failure;
    }
    auto used = std::move(std::get<std::unique_ptr<connection>>(acquired));
    hook_guard hook{scope};
    used->on_sent(id);
    used->m_stream.expires_at(deadline);
    body_writer writer{used->m_stream, body, deadline};
    asio::co_spawn(
        m_context, writer.run(header), log_if_failed{"request with a body"});
    auto read = co_await read_or_fail(*used, header, deadline);
    hook.clear();
    auto const* const received = std::get_if<http_response>(&read);
    bool const is_incomplete = received != nullptr && !writer.is_complete() &&
                               is_cut(*used, *received, writer.has_failed());
    if (!writer.is_complete())
    {
        // The server may have responded before it has read the body.
        used->m_stream.close();
        writer.stop();
    }
    co_await writer.wait();
    if (auto const* const error = std::get_if<beast::error_code>(&read))
    {
        bool const is_late = !writer.has_sent() && clock_now() >= deadline;
        co_return exchange_failure{
            .m_sent = writer.has_sent(),
            .m_reason = is_late ? core::reason::deadline_passed
                                : reason_for(*error, scope)};
    }
    if (is_incomplete)
    {
        co_return exchange_failure{
            .m_sent = true, .m_reason = core::reason::connection_broken};
    }
    auto& response = std::get<http_response>(read);
    release_if_reusable(
        std::move(used), header, response, writer.is_complete());
    co_return std::move(response);
}

void connection_pool::close_idle()
{
    m_idle.clear();
}

void connection_pool::set_max_connections(std::size_t max_connections) noexcept
{
    m_options.m_max_connections = max_connections;
}

std::size_t connection_pool::open_connections() const noexcept
{
    return *m_open_count;
}

std::uint64_t connection_pool::total_opened() const noexcept
{
    return m_total_opened;
}

// Takes or opens a connection, which is closed if the scope is cancelled.
awaitable<std::variant<
    std::unique_ptr<connection_pool::connection>, exchange_failure>>
connection_pool::acquire(
    request_id id, core::time_point deadline, cancel_scope* scope,
    core::duration max_idle)
{
    // A connection that would be opened for nothing, or fails to open because
    // the deadline has passed, is no fault of the server.
    if (clock_now() >= deadline)
    {
        co_return exchange_failure{
            .m_sent = false, .m_reason = core::reason::deadline_passed};
    }
    auto acquired = co_await acquire_unscoped(id, deadline, max_idle);
    auto* const used = std::get_if<std::unique_ptr<connection>>(&acquired);
    if (used == nullptr)
    {
        co_return acquired;
    }
    // Opening a connection takes time. The caller writes the request without
    // suspending after this check.
    if (clock_now() >= deadline)
    {
        co_return exchange_failure{
            .m_sent = false, .m_reason = core::reason::deadline_passed};
    }
    if (scope == nullptr)
    {
        co_return acquired;
    }
    if (scope->is_cancelled())
    {
        release(std::move(*used));
        co_return exchange_failure{
            .m_sent = false, .m_reason = core::reason::caller_left};
    }
    scope->on_cancel(
        [stream = &(*used)->m_stream]
        {
            stream->close();
        });
    co_return acquired;
}

awaitable<std::variant<
    std::unique_ptr<connection_pool::connection>, exchange_failure>>
connection_pool::acquire_unscoped(
    request_id id, core::time_point deadline, core::duration max_idle)
{
    if (auto idle = acquire_idle(id, max_idle))
    {
        co_return std::move(idle);
    }
    if (!has_room_for_connection())
    {
        co_return exchange_failure{.m_reason = core::reason::queue_full};
    }
    auto created = std::make_unique<connection>(
        m_context, max_unparsed_bytes(m_options.m_limits), m_open_count);
    auto& stream = created->m_stream;
    auto const remote = to_asio(m_options.m_remote);
    beast::error_code error;
    if (!m_options.m_local_address.empty())
    {
        auto const local =
            asio::ip::make_address(m_options.m_local_address, error);
        stream.socket().open(remote.protocol(), error);
        if (!error)
        {
            stream.socket().set_option(
                asio::socket_base::reuse_address{true}, error);
            set_bind_no_port(stream.socket().native_handle());
            stream.socket().bind({local, 0}, error);
        }
    }
    if (!error)
    {
        auto const now = std::chrono::steady_clock::now();
        stream.expires_at(std::min<core::time_point>(
            deadline, now + m_options.m_connect_timeout));
        auto const [connect_error] =
            co_await stream.async_connect(remote, no_throw);
        error = connect_error;
    }
    if (error)
    {
        co_return exchange_failure{.m_reason = core::reason::connect_failed};
    }
    beast::error_code ignored;
    stream.socket().set_option(asio::ip::tcp::no_delay{true}, ignored);
    ++m_total_opened;
    co_return std::move(created);
}

// An exception is an error of the connection, so that the exchange ends like
// any other one that fails.
awaitable<std::variant<http_response, beast::error_code>>
connection_pool::read_or_fail(
    connection& used, http_request const& request, core::time_point deadline)
{
    std::exception_ptr failure;
    try
    {
        co_return co_await read_matching_response(used, request, deadline);
    }
    catch (...)
    {
        failure = std::current_exception();
    }
    log_failure("response of a server", failure);
    co_return beast::error_code{asio::error::fault};
}

// Reads the response to the request and skips responses to other requests.
awaitable<std::variant<http_response, beast::error_code>>
connection_pool::read_matching_response(
    connection& used, http_request const& request, core::time_point deadline)
{
    bool const is_head = request.method() == beast::http::verb::head;
    auto const quota = m_response_quota;
    core::admission::buffer_quota::share share{*quota};
    for (int skipped = 0; skipped <= max_skipped_responses; ++skipped)
    {
        auto read = co_await read_response(
            used.m_stream, used.m_buffer, m_options.m_limits, share, is_head,
            deadline);
        if (auto const* const error = std::get_if<beast::error_code>(&read))
        {
            if (is_parse_error(*error))
            {
                report_discarded(request, discard_reason::malformed);
            }
            co_return *error;
        }
        auto const* const response = std::get_if<http_response>(&read);
        bool const is_match = !m_options.m_matches_request ||
                              m_options.m_matches_request(request, *response);
        if (is_match && may_continue(*response))
        {
            co_await wait_for_rest(used, deadline);
        }
        if (is_match && contains_other_response(used, *response))
        {
            report_discarded(request, discard_reason::several_responses);
            break;
        }
        if (is_match)
        {
            co_return std::move(read);
        }
        report_discarded(request, discard_reason::other_request);
        if (!response->keep_alive() || response->need_eof())
        {
            break;
        }
    }
    co_return beast::error_code{beast::http::error::end_of_stream};
}

// Whether the body may have been filled up by the beginning of another response
// whose next bytes have not arrived yet.
bool connection_pool::may_continue(http_response const& response) const
{
    return m_options.m_response_id && !response.need_eof() &&
           ends_within_head(response.body());
}

// Waits until bytes arrive behind a response, for a limited time.
awaitable<void> connection_pool::wait_for_rest(
    connection& used, core::time_point deadline)
{
    asio::steady_timer timer{m_context};
    auto const limit = std::min(deadline, clock_now() + max_rest_delay);
    used.read_rest();
    while (used.m_buffer.size() == 0 && clock_now() < limit)
    {
        timer.expires_after(rest_poll_interval);
        co_await timer.async_wait(no_throw);
        used.read_rest();
    }
}

// Whether the body consists of the beginning of the response and of another
// response, whose bytes filled up the announced length or came before the end
// of the connection.
bool connection_pool::contains_other_response(
    connection& used, http_response const& response) const
{
    if (!m_options.m_response_id)
    {
        return false;
    }
    if (!may_contain_response(response.body()))
    {
        return false;
    }
    if (used.m_buffer.size() == 0)
    {
        used.read_rest();
    }
    auto const rest = used.m_buffer.cdata();
    auto const found = find_embedded_responses(
        response.body(), {static_cast<char const*>(rest.data()), rest.size()});
    return found.m_extends_past_body ||
           std::any_of(
               found.m_heads.begin(), found.m_heads.end(),
               [&](http_response const& head)
               {
                   return used.has_sent(m_options.m_response_id(head));
               });
}

// Takes the most recently used connection first, so that surplus connections
// stay idle until they expire. Skips those on which the same request was sent:
// a copy of its first response would pass for the second one.
std::unique_ptr<connection_pool::connection> connection_pool::acquire_idle(
    request_id id, core::duration max_idle)
{
    auto const now = std::chrono::steady_clock::now();
    close_expired(now);
    for (auto n = m_idle.size(); n > 0; --n)
    {
        auto const position =
            m_idle.begin() + static_cast<std::ptrdiff_t>(n - 1);
        if (now - (*position)->m_idle_since > max_idle)
        {
            break;
        }
        if ((*position)->has_sent(id))
        {
            continue;
        }
        auto candidate = std::move(*position);
        m_idle.erase(position);
        if (is_idle(candidate->m_stream.socket().native_handle()))
        {
            return candidate;
        }
    }
    return nullptr;
}

// Closes the connection that has been idle the longest if there is no room for
// another one: no idle connection can be used for the request.
bool connection_pool::has_room_for_connection()
{
    if (*m_open_count >= m_options.m_max_connections && !m_idle.empty())
    {
        m_idle.pop_front();
    }
    return *m_open_count < m_options.m_max_connections;
}

connection_pool::request_id connection_pool::id_of(
    http_request const& request) const
{
    return m_options.m_request_id ? m_options.m_request_id(request)
                                  : std::nullopt;
}

// Whether the server may have broken off a response to a request that is not
// written completely. The body of a response without a length ends with its
// connection. A write that fails takes the error of a reset, and the next read
// sees the end of the stream as if the server had closed the connection.
bool connection_pool::is_cut(
    connection& used, http_response const& response, bool has_write_failed)
{
    return response.need_eof() &&
           (has_write_failed ||
            !is_ended_in_order(used.m_stream.socket().native_handle()));
}

// A connection is not reused if more bytes follow the response, because they
// belong to no request, or if the server responded before the whole request was
// written, because it may read the rest as part of the next request.
void connection_pool::release_if_reusable(
    std::unique_ptr<connection> used, http_request const& request,
    http_response const& response, bool is_request_written)
{
    if (used->m_buffer.size() > 0)
    {
        report_discarded(request, discard_reason::surplus);
    }
    bool const is_reusable = response.keep_alive() && !response.need_eof() &&
                             used->m_buffer.size() == 0 && is_request_written &&
                             used->m_sent.size() < max_sent_requests;
    if (is_reusable)
    {
        used->m_idle_timeout =
            idle_timeout_of(response, m_options.m_idle_timeout);
        release(std::move(used));
    }
}

void connection_pool::report_discarded(
    http_request const& request, discard_reason why) const
{
    if (m_options.m_on_discarded)
    {
        m_options.m_on_discarded(request, why);
    }
}

void connection_pool::release(std::unique_ptr<connection> used)
{
    used->m_idle_since = std::chrono::steady_clock::now();
    m_idle.push_back(std::move(used));
}

void connection_pool::close_expired(core::time_point now)
{
    std::erase_if(
        m_idle,
        [now](std::unique_ptr<connection> const& candidate)
        {
            return candidate->m_idle_since + candidate->m_idle_timeout <= now;
        });
}

} // namespace hibiscustide::net

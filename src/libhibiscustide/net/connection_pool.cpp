#include "net/connection_pool.hpp"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

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
    if (error == beast::http::error::body_limit)
    {
        return core::reason::answer_too_large;
    }
    return core::reason::connection_broken;
}

// Late answers that are skipped before a connection is given up.
constexpr int max_skipped = 2;

// Taken off what a server says it keeps an idle connection for, since a
// request that crosses its close is lost.
constexpr std::chrono::milliseconds idle_margin{1'000};

// How long the connection may be idle by the response's Keep-Alive field.
core::duration idle_limit_of(
    http_response const& response, core::duration otherwise)
{
    constexpr std::string_view name = "timeout=";
    auto const value = response[field::keep_alive];
    std::string_view const text{value.data(), value.size()};
    auto const at = text.find(name);
    std::uint32_t seconds = 0;
    if (at == std::string_view::npos)
    {
        return otherwise;
    }
    auto const number = text.substr(at + name.size());
    std::from_chars(number.data(), number.data() + number.size(), seconds);
    core::duration const told = std::chrono::seconds{seconds};
    return std::max<core::duration>(told - idle_margin, told / 4);
}

// A request that is being written; owned by the write, which may end after
// the exchange.
struct sending_request
{
    explicit sending_request(http_request const& request)
        : m_request{request}
    {
    }

    http_request m_request;
    beast::error_code m_error;
    std::size_t m_written = 0;
    bool m_done = false;
};

void begin_write(
    beast::tcp_stream& stream, std::shared_ptr<sending_request> const& sending)
{
    beast::http::async_write(
        stream, sending->m_request,
        [sending](beast::error_code error, std::size_t written)
        {
            sending->m_done = true;
            sending->m_error = error;
            sending->m_written = written;
        });
}

} // namespace

struct connection_pool::connection
{
    connection(asio::io_context& context, std::shared_ptr<std::size_t> open)
        : m_stream{context},
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

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    core::time_point m_idle_since;
    core::duration m_idle_timeout{};
    // Shared, since a call that is broken off when the process ends may outlive
    // its pool.
    std::shared_ptr<std::size_t> m_open_count;
};

connection_pool::connection_pool(
    asio::io_context& context, connection_pool_options options)
    : m_context{context},
      m_options{std::move(options)}
{
}

connection_pool::~connection_pool() = default;

awaitable<exchange_result> connection_pool::exchange(
    http_request const& request, core::time_point deadline, cancel_scope* scope,
    core::duration max_idle)
{
    auto taken = co_await acquire(deadline, max_idle);
    if (auto const* const failure = std::get_if<exchange_failure>(&taken))
    {
        co_return *failure;
    }
    auto used = std::move(std::get<std::unique_ptr<connection>>(taken));
    if (scope != nullptr)
    {
        if (scope->is_cancelled())
        {
            release(std::move(used));
            co_return exchange_failure{
                .m_sent = false, .m_reason = core::reason::caller_left};
        }
        scope->on_cancel(
            [stream = &used->m_stream]
            {
                stream->close();
            });
    }
    // The server may answer before it has read the whole request, so the
    // answer is read while the request is being written.
    auto const sending = std::make_shared<sending_request>(request);
    used->m_stream.expires_at(deadline);
    begin_write(used->m_stream, sending);
    auto read = co_await read_answer(*used, request, deadline);
    if (scope != nullptr)
    {
        scope->clear();
    }
    if (auto const* const error = std::get_if<beast::error_code>(&read))
    {
        bool const unsent =
            sending->m_done && sending->m_error && sending->m_written == 0;
        co_return exchange_failure{
            .m_sent = !unsent, .m_reason = reason_for(*error, scope)};
    }
    auto& response = std::get<http_response>(read);
    // Bytes behind the response belong to no request, and a server that did
    // not wait for the whole request may read on in the next one: such a
    // connection is not to be trusted again.
    bool const is_clean = response.keep_alive() && !response.need_eof() &&
                          used->m_buffer.size() == 0 && sending->m_done &&
                          !sending->m_error;
    if (is_clean)
    {
        used->m_idle_timeout =
            idle_limit_of(response, m_options.m_idle_timeout);
        release(std::move(used));
    }
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

awaitable<std::variant<
    std::unique_ptr<connection_pool::connection>, exchange_failure>>
connection_pool::acquire(core::time_point deadline, core::duration max_idle)
{
    if (auto idle = acquire_idle(max_idle))
    {
        co_return std::move(idle);
    }
    if (*m_open_count >= m_options.m_max_connections)
    {
        co_return exchange_failure{.m_reason = core::reason::queue_full};
    }
    auto fresh = std::make_unique<connection>(m_context, m_open_count);
    auto& stream = fresh->m_stream;
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
    co_return std::move(fresh);
}

// Reads the response to the request and skips those that answer another one.
awaitable<std::variant<http_response, beast::error_code>>
connection_pool::read_answer(
    connection& used, http_request const& request, core::time_point deadline)
{
    bool const head = request.method() == beast::http::verb::head;
    for (int skipped = 0; skipped <= max_skipped; ++skipped)
    {
        auto read = co_await read_response(
            used.m_stream, used.m_buffer, m_options.m_limits, head, deadline);
        auto const* const response = std::get_if<http_response>(&read);
        bool const is_ours = response == nullptr ||
                             !m_options.m_matches_request ||
                             m_options.m_matches_request(request, *response);
        if (is_ours)
        {
            co_return std::move(read);
        }
        if (!response->keep_alive() || response->need_eof())
        {
            break;
        }
    }
    co_return beast::error_code{beast::http::error::end_of_stream};
}

// The connection used last is taken first, so that those not needed grow old
// and are closed.
std::unique_ptr<connection_pool::connection> connection_pool::acquire_idle(
    core::duration max_idle)
{
    auto const now = std::chrono::steady_clock::now();
    close_expired(now);
    while (!m_idle.empty() && now - m_idle.back()->m_idle_since <= max_idle)
    {
        auto candidate = std::move(m_idle.back());
        m_idle.pop_back();
        if (is_idle(candidate->m_stream.socket().native_handle()))
        {
            return candidate;
        }
    }
    return nullptr;
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

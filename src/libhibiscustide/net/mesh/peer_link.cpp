#include "net/mesh/peer_link.hpp"

#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <hibiscustide/net/event_log.hpp>

#include "net/clock.hpp"
#include "net/socket.hpp"

namespace hibiscustide::net::mesh
{

namespace
{

using core::observe::event;
using std::chrono::milliseconds;

constexpr milliseconds connect_limit{500};
constexpr milliseconds reconnect_pause{60};
constexpr milliseconds watch_interval{100};

// A gate that has said nothing for this long is asked whether it is there.
constexpr milliseconds ping_after{250};

// Longer than a ping takes to a node that works.
constexpr milliseconds round_trip_limit{100};

// A gate that does not answer that for this long has lost the connection.
constexpr milliseconds answer_limit{650};

// How long a request that may be repeated waits for a gate that can't be
// reached.
constexpr milliseconds repeatable_patience{300};

run_result unreachable(bool sent, core::reason why)
{
    return {
        .m_outcome = sent ? outcome::may_have_run : outcome::not_run,
        .m_reason = why,
        .m_reached_target = sent};
}

} // namespace

peer_link::peer_link(asio::io_context& context, peer_link_options options)
    : m_context{context},
      m_options{std::move(options)},
      m_watch{context}
{
}

std::uint64_t peer_link::run(run_request request, done_handler done)
{
    auto const id = m_next_id++;
    auto const now = clock_now();
    auto const patience = request.m_idempotent
                              ? repeatable_patience
                              : milliseconds{request.m_left_ms};
    auto const left = milliseconds{request.m_left_ms};
    request.m_id = id;
    pending_request added{
        .m_done = std::move(done),
        .m_give_up_at = now + std::min(patience, left),
        .m_message = std::move(request)};
    auto const it = m_pending.emplace(id, std::move(added)).first;
    if (m_stream)
    {
        send_now(it->second);
    }
    else
    {
        begin_connecting();
    }
    begin_watching();
    return id;
}

void peer_link::cancel(std::uint64_t id)
{
    auto const it = m_pending.find(id);
    if (it == m_pending.end())
    {
        return;
    }
    bool const sent = it->second.is_sent();
    m_pending.erase(it);
    if (sent && m_stream)
    {
        m_stream->send(cancel_request{.m_id = id});
    }
}

void peer_link::request_changes(std::uint64_t after)
{
    if (m_stream)
    {
        m_stream->send(changes_wanted{.m_after = after});
        return;
    }
    m_changes_wanted = true;
    m_wanted_after = after;
    begin_connecting();
}

void peer_link::close()
{
    m_closed = true;
    if (m_stream)
    {
        m_stream->close();
        m_stream = nullptr;
    }
    m_watch.cancel();
    auto const pending = std::exchange(m_pending, {});
    for (auto const& [id, request] : pending)
    {
        request.m_done(
            unreachable(request.is_sent(), core::reason::peer_unreachable));
    }
}

std::size_t peer_link::pending() const noexcept
{
    return m_pending.size();
}

bool peer_link::is_responsive(core::time_point now) const noexcept
{
    bool const is_asked =
        m_pinged_at && m_stream && m_stream->last_received_at() < *m_pinged_at;
    return !is_asked || now - *m_pinged_at < round_trip_limit;
}

void peer_link::begin_connecting()
{
    if (m_closed || std::exchange(m_connecting, true))
    {
        return;
    }
    auto self = shared_from_this();
    asio::co_spawn(
        m_context,
        [self]() -> awaitable<void>
        {
            co_await self->connect_loop();
        },
        asio::detached);
}

void peer_link::begin_watching()
{
    if (m_closed || std::exchange(m_watching, true))
    {
        return;
    }
    auto self = shared_from_this();
    asio::co_spawn(
        m_context,
        [self]() -> awaitable<void>
        {
            co_await self->watch_loop();
        },
        asio::detached);
}

// Tries again for as long as somebody waits for a result.
awaitable<void> peer_link::connect_loop()
{
    bool again = true;
    while (again && !m_closed)
    {
        bool const connected = co_await connect();
        if (connected || m_closed)
        {
            break;
        }
        m_changes_wanted = false;
        give_up(clock_now(), true);
        again = !m_pending.empty();
        if (again)
        {
            asio::steady_timer pause{m_context, reconnect_pause};
            co_await pause.async_wait(no_throw);
        }
    }
    m_connecting = false;
    if (!m_stream && !m_pending.empty())
    {
        begin_connecting();
    }
}

awaitable<bool> peer_link::connect()
{
    beast::tcp_stream stream{m_context};
    beast::error_code error;
    auto const remote = to_asio(m_options.m_remote);
    stream.socket().open(remote.protocol(), error);
    if (!error && !m_options.m_local_address.empty())
    {
        auto const local =
            asio::ip::make_address(m_options.m_local_address, error);
        set_bind_no_port(stream.socket().native_handle());
        stream.socket().bind({local, 0}, error);
    }
    if (error)
    {
        log_event(event::peer_unreachable, {{"error", error.message()}});
        co_return false;
    }
    stream.expires_after(connect_limit);
    auto const [failed] = co_await stream.async_connect(remote, no_throw);
    if (failed || m_closed)
    {
        if (!m_closed)
        {
            log_event(
                event::peer_unreachable,
                {{"peer", m_options.m_remote.m_address},
                 {"error", failed.message()},
                 {"pending", static_cast<std::int64_t>(m_pending.size())}});
        }
        co_return false;
    }
    m_stream = std::make_shared<frame_stream>(stream.release_socket());
    auto const weak = weak_from_this();
    m_stream->start(
        [weak](message&& value)
        {
            if (auto const self = weak.lock())
            {
                self->on_message(std::move(value));
            }
        },
        [weak]
        {
            if (auto const self = weak.lock())
            {
                self->on_closed();
            }
        });
    greet();
    co_return true;
}

// Says who is calling, asks after what was sent over an earlier connection, and
// sends what waits.
void peer_link::greet()
{
    ++m_connection;
    m_pinged_at.reset();
    m_stream->send(m_options.m_hello);
    resume_requests earlier;
    for (auto const& [id, request] : m_pending)
    {
        if (request.is_sent())
        {
            earlier.m_ids.push_back(id);
        }
    }
    if (!earlier.m_ids.empty())
    {
        m_stream->send(earlier);
    }
    for (auto& [id, request] : m_pending)
    {
        if (!request.is_sent())
        {
            send_now(request);
        }
    }
    if (std::exchange(m_changes_wanted, false))
    {
        m_stream->send(changes_wanted{.m_after = m_wanted_after});
    }
}

awaitable<void> peer_link::watch_loop()
{
    while (!m_pending.empty() && !m_closed)
    {
        m_watch.expires_after(watch_interval);
        co_await m_watch.async_wait(no_throw);
        auto const now = clock_now();
        if (!m_stream)
        {
            give_up(now, false);
            continue;
        }
        if (m_pinged_at && m_stream->last_received_at() >= *m_pinged_at)
        {
            m_pinged_at.reset();
        }
        if (m_pinged_at && now - *m_pinged_at > answer_limit)
        {
            log_event(
                event::peer_silent,
                {{"peer", m_options.m_remote.m_address},
                 {"pending", static_cast<std::int64_t>(m_pending.size())}});
            m_stream->close();
            on_closed();
        }
        else if (
            !m_pinged_at && now - m_stream->last_received_at() > ping_after)
        {
            m_stream->send(ping{});
            m_pinged_at = now;
        }
    }
    m_watching = false;
}

void peer_link::on_message(message&& value)
{
    if (auto* const result = std::get_if<run_result>(&value))
    {
        auto const id = result->m_id;
        settle(id, std::move(*result));
    }
    else if (auto const* const from = std::get_if<hello>(&value))
    {
        on_hello(*from);
    }
    else if (
        auto* const changes =
            std::get_if<core::directory::item_changes>(&value))
    {
        m_options.m_on_changes(std::move(*changes));
    }
}

// A gate that has started anew knows nothing of what was sent over earlier
// connections; what went out behind the greeting is with the new one.
void peer_link::on_hello(hello const& from)
{
    auto const before = std::exchange(m_incarnation, from.m_incarnation);
    if (before == 0 || before == from.m_incarnation)
    {
        return;
    }
    std::vector<std::uint64_t> lost;
    for (auto const& [id, request] : m_pending)
    {
        if (request.is_sent() && request.m_sent_over < m_connection)
        {
            lost.push_back(id);
        }
    }
    for (auto const id : lost)
    {
        settle(id, unreachable(true, core::reason::gate_restarted));
    }
}

void peer_link::on_closed()
{
    m_stream = nullptr;
    if (m_pending.empty() || m_closed)
    {
        return;
    }
    auto const now = clock_now();
    for (auto& [id, request] : m_pending)
    {
        request.m_give_up_at =
            std::max<core::time_point>(request.m_give_up_at, now);
    }
    begin_connecting();
}

void peer_link::settle(std::uint64_t id, run_result result)
{
    auto const it = m_pending.find(id);
    if (it == m_pending.end())
    {
        return;
    }
    auto const done = std::move(it->second.m_done);
    m_pending.erase(it);
    done(std::move(result));
}

void peer_link::send_now(pending_request& request)
{
    m_stream->send(std::exchange(request.m_message, ping{}));
    request.m_sent_over = m_connection;
}

// Ends requests that have waited long enough for a gate that can't be reached.
// One that was never sent ends as soon as a connection has failed.
void peer_link::give_up(core::time_point now, bool connect_failed)
{
    std::vector<std::uint64_t> over;
    for (auto const& [id, request] : m_pending)
    {
        bool const unsent = connect_failed && !request.is_sent();
        if (unsent || now >= request.m_give_up_at)
        {
            over.push_back(id);
        }
    }
    for (auto const id : over)
    {
        bool const sent = m_pending.at(id).is_sent();
        settle(id, unreachable(sent, core::reason::peer_unreachable));
    }
}

} // namespace hibiscustide::net::mesh

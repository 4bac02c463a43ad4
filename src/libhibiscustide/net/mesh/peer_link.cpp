#include "net/mesh/peer_link.hpp"

#include <algorithm>
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

constexpr milliseconds connect_timeout{500};
constexpr milliseconds reconnect_delay{60};
constexpr milliseconds monitor_interval{100};

// A ping is sent when nothing was received for this long.
constexpr milliseconds idle_before_ping{250};

// Longer than the round trip of a ping to a working node.
constexpr milliseconds max_round_trip{100};

// The connection is replaced when a ping is unanswered for this long.
constexpr milliseconds ping_timeout{650};

// The connection is replaced when nothing could be sent on it for this long.
constexpr milliseconds blocked_timeout{2'500};

// Largest number of bytes of a body in one message.
constexpr std::size_t body_piece_bytes = 8'000;

// How long an idempotent request waits for a gate that cannot be reached. Other
// requests wait until their deadline.
constexpr milliseconds idempotent_timeout{300};

std::int64_t to_ms(core::duration span)
{
    return std::chrono::duration_cast<milliseconds>(span).count();
}

// What follows the bytes of the body before this position.
body_end end_at(body_buffer const& body, std::uint64_t position)
{
    if (body.current_state() == body_buffer::state::failed)
    {
        return body_end::aborted;
    }
    bool const is_last = body.current_state() == body_buffer::state::complete &&
                         position == body.size();
    return is_last ? body_end::complete : body_end::none;
}

run_result failed_result(bool sent, core::reason reason)
{
    return {
        .m_outcome = sent ? outcome::may_have_run : outcome::not_run,
        .m_reason = reason,
        .m_reached_target = sent};
}

} // namespace

peer_link::peer_link(asio::io_context& context, peer_link_options options)
    : m_context{context},
      m_options{std::move(options)},
      m_monitor_timer{context}
{
}

std::uint64_t peer_link::run(
    run_request request, body_buffer_ptr body, done_handler done)
{
    auto const id = m_next_id++;
    auto const now = clock_now();
    auto const timeout = request.m_idempotent
                             ? idempotent_timeout
                             : milliseconds{request.m_deadline_left_ms};
    auto const left = milliseconds{request.m_deadline_left_ms};
    request.m_id = id;
    request.m_body_follows = body != nullptr;
    if (body && body->length())
    {
        request.m_body_length = static_cast<std::int64_t>(*body->length());
    }
    pending_request added{
        .m_done = std::move(done),
        .m_reconnect_deadline = now + std::min(timeout, left),
        .m_message = std::move(request),
        .m_body = std::move(body)};
    auto const it = m_pending.emplace(id, std::move(added)).first;
    if (m_stream && m_greeted)
    {
        send_now(it->second);
    }
    else if (!m_stream)
    {
        start_connecting();
    }
    start_monitoring();
    return id;
}

void peer_link::cancel(std::uint64_t id)
{
    auto const it = m_pending.find(id);
    if (it == m_pending.end())
    {
        return;
    }
    bool const sent = it->second.m_sent;
    finish_body(it->second);
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
        m_stream->send(changes_request{.m_after = after});
        return;
    }
    m_changes_requested = true;
    m_requested_after = after;
    start_connecting();
}

void peer_link::close()
{
    m_closed = true;
    if (m_stream)
    {
        m_stream->close();
        m_stream = nullptr;
    }
    m_monitor_timer.cancel();
    auto const pending = std::exchange(m_pending, {});
    for (auto const& [id, request] : pending)
    {
        if (request.m_body)
        {
            request.m_body->on_change(nullptr);
        }
        request.m_done(
            failed_result(request.m_sent, core::reason::peer_unreachable));
    }
}

std::size_t peer_link::pending() const noexcept
{
    return m_pending.size();
}

bool peer_link::is_responsive(core::time_point now) const noexcept
{
    bool const is_ping_pending = m_ping_sent_at && m_stream &&
                                 !m_stream->has_unsent() &&
                                 m_stream->last_received_at() < *m_ping_sent_at;
    return !is_ping_pending || now - *m_ping_sent_at < max_round_trip;
}

void peer_link::start_connecting()
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

void peer_link::start_monitoring()
{
    if (m_closed || std::exchange(m_monitoring, true))
    {
        return;
    }
    auto self = shared_from_this();
    asio::co_spawn(
        m_context,
        [self]() -> awaitable<void>
        {
            co_await self->monitor_loop();
        },
        asio::detached);
}

// Tries to connect to the peer, and repeats a failed try as long as a request
// is pending and the link is not closed.
awaitable<void> peer_link::connect_loop()
{
    bool retry = true;
    while (retry && !m_closed)
    {
        bool const connected = co_await connect();
        if (connected || m_closed)
        {
            break;
        }
        m_changes_requested = false;
        fail_unsent();
        fail_expired(clock_now());
        retry = !m_pending.empty();
        if (retry)
        {
            asio::steady_timer pause{m_context, reconnect_delay};
            co_await pause.async_wait(no_throw);
        }
    }
    m_connecting = false;
    if (!m_stream && !m_pending.empty())
    {
        start_connecting();
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
    stream.expires_after(connect_timeout);
    auto const [connect_error] =
        co_await stream.async_connect(remote, no_throw);
    if (connect_error || m_closed)
    {
        if (!m_closed)
        {
            log_event(
                event::peer_unreachable,
                {{"peer", m_options.m_remote.m_address},
                 {"error", connect_error.message()},
                 {"pending", static_cast<std::int64_t>(m_pending.size())},
                 {"sent", static_cast<std::int64_t>(sent_requests())}});
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
    on_connected();
    co_return true;
}

void peer_link::on_connected()
{
    m_ping_sent_at.reset();
    m_greeted = false;
    auto greeting = m_options.m_hello;
    greeting.m_connection = ++m_connection_number;
    m_stream->send(greeting);
    if (std::exchange(m_changes_requested, false))
    {
        m_stream->send(changes_request{.m_after = m_requested_after});
    }
}

awaitable<void> peer_link::monitor_loop()
{
    while (!m_pending.empty() && !m_closed)
    {
        m_monitor_timer.expires_after(monitor_interval);
        co_await m_monitor_timer.async_wait(no_throw);
        auto const now = clock_now();
        if (!m_greeted)
        {
            fail_expired(now);
        }
        if (!m_stream)
        {
            continue;
        }
        if (m_ping_sent_at && m_stream->last_received_at() >= *m_ping_sent_at)
        {
            m_ping_sent_at.reset();
        }
        if (m_ping_sent_at && is_silent(now))
        {
            log_silent(now);
            m_silent_since = now;
            m_stream->close();
            on_closed();
        }
        else if (
            !m_ping_sent_at &&
            now - m_stream->last_received_at() > idle_before_ping)
        {
            m_stream->send(ping{});
            m_ping_sent_at = now;
        }
    }
    m_monitoring = false;
}

// Whether the gate has not answered the ping in time. A ping that still waits
// in this node says nothing about the gate, unless nothing leaves for very
// long.
bool peer_link::is_silent(core::time_point now) const noexcept
{
    auto const limit = m_stream->has_unsent() ? blocked_timeout : ping_timeout;
    return now - *m_ping_sent_at > limit;
}

std::size_t peer_link::sent_requests() const noexcept
{
    auto const count = std::count_if(
        m_pending.begin(), m_pending.end(),
        [](auto const& entry)
        {
            return entry.second.m_sent;
        });
    return static_cast<std::size_t>(count);
}

void peer_link::log_silent(core::time_point now) const
{
    log_event(
        event::peer_silent,
        {{"peer", m_options.m_remote.m_address},
         {"pending", static_cast<std::int64_t>(m_pending.size())},
         {"sent", static_cast<std::int64_t>(sent_requests())},
         {"unsent", std::int64_t{m_stream->has_unsent()}},
         {"quiet_ms", to_ms(now - m_stream->last_received_at())},
         {"ping_ms", to_ms(now - *m_ping_sent_at)}});
}

void peer_link::log_responsive(core::time_point now)
{
    if (auto const since = std::exchange(m_silent_since, std::nullopt))
    {
        log_event(
            event::peer_responsive,
            {{"peer", m_options.m_remote.m_address},
             {"silent_ms", to_ms(now - *since)},
             {"sent", static_cast<std::int64_t>(sent_requests())}});
    }
}

void peer_link::on_message(message&& value)
{
    if (auto* const result = std::get_if<run_result>(&value))
    {
        auto const id = result->m_id;
        complete(id, std::move(*result));
    }
    else if (auto const* const greeting = std::get_if<hello>(&value))
    {
        on_hello(*greeting);
    }
    else if (auto const* const grant = std::get_if<body_grant>(&value))
    {
        on_grant(*grant);
    }
    else if (
        auto* const changes =
            std::get_if<core::directory::item_changes>(&value))
    {
        m_options.m_on_changes(std::move(*changes));
    }
}

void peer_link::on_hello(hello const& greeting)
{
    auto const previous = std::exchange(m_incarnation, greeting.m_incarnation);
    m_greeted = true;
    log_responsive(clock_now());
    if (previous != greeting.m_incarnation)
    {
        fail_lost_requests();
    }
    if (m_stream)
    {
        resume_sent_requests();
        send_unsent_requests();
    }
}

// A gate that has restarted has no record of the requests that were sent to its
// predecessor, so they may have run.
void peer_link::fail_lost_requests()
{
    std::vector<std::uint64_t> lost;
    for (auto const& [id, request] : m_pending)
    {
        if (request.m_sent)
        {
            lost.push_back(id);
        }
    }
    for (auto const id : lost)
    {
        complete(id, failed_result(true, core::reason::gate_restarted));
    }
}

// Asks for the outcomes of the requests that were sent on earlier connections.
void peer_link::resume_sent_requests()
{
    resume_requests resume;
    for (auto const& [id, request] : m_pending)
    {
        if (request.m_sent)
        {
            resume.m_ids.push_back(id);
        }
    }
    if (!resume.m_ids.empty())
    {
        m_stream->send(resume);
    }
}

void peer_link::send_unsent_requests()
{
    for (auto& [id, request] : m_pending)
    {
        if (!request.m_sent)
        {
            send_now(request);
        }
    }
}

void peer_link::on_closed()
{
    m_stream = nullptr;
    m_greeted = false;
    if (m_pending.empty() || m_closed)
    {
        return;
    }
    auto const now = clock_now();
    for (auto& [id, request] : m_pending)
    {
        request.m_reconnect_deadline =
            std::max<core::time_point>(request.m_reconnect_deadline, now);
        // Pieces of the body may have been lost with the connection, so the
        // gate ends the request.
        if (request.m_sent)
        {
            finish_body(request);
        }
    }
    start_connecting();
}

void peer_link::complete(std::uint64_t id, run_result result)
{
    auto const it = m_pending.find(id);
    if (it == m_pending.end())
    {
        return;
    }
    auto const done = std::move(it->second.m_done);
    finish_body(it->second);
    m_pending.erase(it);
    done(std::move(result));
}

void peer_link::send_now(pending_request& request)
{
    m_stream->send(std::exchange(request.m_message, ping{}));
    request.m_sent = true;
}

void peer_link::on_grant(body_grant const& grant)
{
    auto const it = m_pending.find(grant.m_id);
    if (it == m_pending.end() || !it->second.m_body)
    {
        return;
    }
    auto& request = it->second;
    request.m_body_limit = std::max(request.m_body_limit, grant.m_limit);
    request.m_body->on_change(
        [weak = weak_from_this(), id = grant.m_id]
        {
            if (auto const self = weak.lock())
            {
                self->send_granted_pieces(id);
            }
        });
    request.m_body->want();
    send_granted_pieces(grant.m_id);
}

// Sends the bytes that have arrived and are granted, and the end of the body.
void peer_link::send_granted_pieces(std::uint64_t id)
{
    auto const it = m_pending.find(id);
    bool const can_send =
        it != m_pending.end() && it->second.m_body && m_stream && m_greeted;
    if (!can_send)
    {
        return;
    }
    auto& request = it->second;
    auto const body = request.m_body;
    bool has_ended = false;
    while (!has_ended)
    {
        auto const granted = request.m_body_limit - request.m_body_position;
        body_piece piece{
            .m_id = id,
            .m_bytes = std::string{body->read(
                request.m_body_position,
                std::min<std::uint64_t>(granted, body_piece_bytes))}};
        request.m_body_position += piece.m_bytes.size();
        piece.m_end = end_at(*body, request.m_body_position);
        has_ended = piece.m_end != body_end::none;
        if (piece.m_bytes.empty() && !has_ended)
        {
            break;
        }
        m_stream->send(piece);
        body->release_before(request.m_body_position);
    }
    if (has_ended)
    {
        finish_body(request);
    }
}

void peer_link::finish_body(pending_request& request)
{
    if (auto const body = std::exchange(request.m_body, nullptr))
    {
        body->on_change(nullptr);
    }
}

// Ends the requests whose deadline for reaching the gate has passed. If a
// connection exists, a request that was sent is resumed on it and has no such
// deadline.
void peer_link::fail_expired(core::time_point now)
{
    std::vector<std::uint64_t> expired;
    for (auto const& [id, request] : m_pending)
    {
        bool const is_waiting = !m_stream || !request.m_sent;
        if (is_waiting && now >= request.m_reconnect_deadline)
        {
            expired.push_back(id);
        }
    }
    for (auto const id : expired)
    {
        bool const sent = m_pending.at(id).m_sent;
        complete(id, failed_result(sent, core::reason::peer_unreachable));
    }
}

void peer_link::fail_unsent()
{
    std::vector<std::uint64_t> unsent;
    for (auto const& [id, request] : m_pending)
    {
        if (!request.m_sent)
        {
            unsent.push_back(id);
        }
    }
    for (auto const id : unsent)
    {
        complete(id, failed_result(false, core::reason::peer_unreachable));
    }
}

} // namespace hibiscustide::net::mesh

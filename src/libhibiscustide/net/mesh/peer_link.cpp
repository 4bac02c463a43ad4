#include "net/mesh/peer_link.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <hibiscustide/net/event_log.hpp>

#include "net/clock.hpp"
#include "net/failure_guard.hpp"
#include "net/socket.hpp"

namespace hibiscustide::net::mesh
{

namespace
{

using core::observe::event;
using std::chrono::milliseconds;

constexpr milliseconds connect_timeout{500};
// The timeouts for connecting double after each failed try, up to this factor,
// because a full link delays every packet for longer than the first timeout.
constexpr int max_timeout_factor = 4;
constexpr milliseconds reconnect_delay{60};
constexpr milliseconds monitor_interval{100};

// A ping is sent when nothing was received for this long.
constexpr milliseconds idle_before_ping{250};

// Longer than the round trip of a ping to a working node.
constexpr milliseconds max_round_trip{100};

// The connection is replaced when a ping is unanswered for this long. The hello
// of the gate must arrive within the same time.
constexpr milliseconds ping_timeout{650};

// The connection is replaced when nothing could be sent on it for this long.
constexpr milliseconds blocked_timeout{2'500};

// Largest number of bytes of a body in one message.
constexpr std::size_t body_piece_bytes = 8'000;

// How long an idempotent request waits for a gate that cannot be reached before
// it may be sent to another gate. Other requests that were sent wait until
// their deadline.
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
      m_monitor_timer{context},
      m_hello_timer{context}
{
}

std::uint64_t peer_link::run(
    run_request request, body_buffer_ptr body, done_handler done)
{
    auto const id = m_options.m_numbers->next_request();
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
        .m_send_deadline = now + std::min(timeout, left),
        .m_queued_at = now,
        .m_message = std::move(request),
        .m_body = std::move(body)};
    auto const it = m_pending.emplace(id, std::move(added)).first;
    if (is_usable())
    {
        send_now(it->second);
    }
    else
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
    if (sent && m_stream && !m_stream->remove_unwritten(id))
    {
        m_stream->send(cancel_request{.m_id = id});
    }
}

void peer_link::request_changes(core::directory::published_state const& after)
{
    if (is_usable())
    {
        m_stream->send(
            changes_request{.m_era = after.m_era, .m_after = after.m_revision});
        return;
    }
    m_changes_requested = true;
    m_requested_after = after;
    start_connecting();
}

void peer_link::close()
{
    m_closed = true;
    drop_connection();
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
    bool const is_late =
        is_ping_pending && now - *m_ping_sent_at >= max_round_trip;
    return !m_lost_since && !is_late;
}

bool peer_link::is_lost(core::time_point now) const noexcept
{
    return m_lost_since && now - *m_lost_since >= idempotent_timeout;
}

// Whether requests can be sent now.
bool peer_link::is_usable() const noexcept
{
    return m_stream && !m_lost_since;
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
        [self](std::exception_ptr const& error)
        {
            if (error)
            {
                log_failure("connecting to a node", error);
                self->m_connecting = false;
            }
        });
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
        [self](std::exception_ptr const& error)
        {
            if (error)
            {
                log_failure("monitor of a node", error);
                self->m_monitoring = false;
                self->start_monitoring();
            }
        });
}

// Tries to connect to the peer, and repeats a failed try as long as a request
// is pending and the link is not closed.
awaitable<void> peer_link::connect_loop()
{
    bool retry = true;
    while (retry && !m_closed)
    {
        auto const result = co_await connect();
        if (result == connect_result::usable || m_closed)
        {
            break;
        }
        on_connect_failed(result);
        retry = !m_pending.empty();
        if (retry)
        {
            asio::steady_timer pause{m_context, reconnect_delay};
            co_await pause.async_wait(no_throw);
        }
    }
    m_connecting = false;
    if (!is_usable() && !m_pending.empty())
    {
        start_connecting();
    }
}

awaitable<peer_link::connect_result> peer_link::connect()
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
    if (!error)
    {
        stream.expires_after(connect_timeout * m_timeout_factor);
        auto const [connect_error] =
            co_await stream.async_connect(remote, no_throw);
        error = connect_error;
    }
    if (m_closed || is_usable())
    {
        co_return connect_result::usable;
    }
    if (error)
    {
        log_unreachable(error.message());
        co_return error == asio::error::connection_refused
            ? connect_result::refused
            : connect_result::out_of_reach;
    }
    open_stream(stream.release_socket());
    co_return co_await wait_for_hello();
}

void peer_link::open_stream(asio::ip::tcp::socket socket)
{
    if (m_opening)
    {
        m_opening->close();
    }
    m_opening = std::make_shared<frame_stream>(std::move(socket));
    auto const weak = weak_from_this();
    std::weak_ptr<frame_stream> const opened = m_opening;
    m_opening->start(
        [weak, opened](message&& value)
        {
            if (auto const self = weak.lock())
            {
                self->on_message(opened.lock(), std::move(value));
            }
        },
        [weak, opened]
        {
            if (auto const self = weak.lock())
            {
                self->on_closed(opened.lock());
            }
        });
    auto greeting = m_options.m_hello;
    greeting.m_connection = m_options.m_numbers->next_connection();
    m_opening->send(greeting);
    if (std::exchange(m_changes_requested, false))
    {
        m_opening->send(changes_request{
            .m_era = m_requested_after.m_era,
            .m_after = m_requested_after.m_revision});
    }
}

awaitable<peer_link::connect_result> peer_link::wait_for_hello()
{
    m_hello_timer.expires_after(ping_timeout * m_timeout_factor);
    co_await m_hello_timer.async_wait(no_throw);
    if (is_usable())
    {
        co_return connect_result::usable;
    }
    if (!m_opening)
    {
        co_return connect_result::closed;
    }
    m_opening->close();
    m_opening = nullptr;
    log_unreachable("no hello");
    co_return connect_result::out_of_reach;
}

// A request that was sent stays pending while the gate is out of reach, since
// the gate may be running it. If no process listens, its result is lost.
void peer_link::on_connect_failed(connect_result why)
{
    if (why == connect_result::closed)
    {
        return;
    }
    m_changes_requested = false;
    m_timeout_factor = std::min(2 * m_timeout_factor, max_timeout_factor);
    // A silent connection may still deliver results of a gate that has ended.
    if (why == connect_result::refused && !m_stream)
    {
        fail_lost_requests(core::reason::peer_unreachable);
    }
    refuse_unsent();
}

awaitable<void> peer_link::monitor_loop()
{
    while (!m_pending.empty() && !m_closed)
    {
        m_monitor_timer.expires_after(monitor_interval);
        co_await m_monitor_timer.async_wait(no_throw);
        auto const now = clock_now();
        if (!is_usable())
        {
            refuse_expired(now);
        }
        if (m_stream)
        {
            check_connection(now);
        }
    }
    m_monitoring = false;
    // Nothing is left to monitor, so the next request opens a connection.
    if (m_lost_since)
    {
        drop_connection();
    }
}

// Detects that the connection has become silent, or that it responds again.
void peer_link::check_connection(core::time_point now)
{
    if (m_ping_sent_at && m_stream->last_received_at() >= *m_ping_sent_at)
    {
        m_ping_sent_at.reset();
        if (m_lost_since)
        {
            log_responsive(now);
            m_lost_since.reset();
            send_unsent_requests();
        }
    }
    if (m_ping_sent_at && m_stream->has_unsent())
    {
        m_ping_flushed_at.reset();
    }
    else if (m_ping_sent_at && !m_ping_flushed_at)
    {
        m_ping_flushed_at = now;
    }
    if (m_ping_sent_at && !m_lost_since && is_silent(now))
    {
        log_silent(now);
        m_lost_since = now;
        start_connecting();
    }
    else if (
        !m_ping_sent_at &&
        now - m_stream->last_received_at() > idle_before_ping)
    {
        m_stream->send(ping{});
        m_ping_sent_at = now;
        m_ping_flushed_at.reset();
    }
}

void peer_link::drop_connection()
{
    m_lost_since.reset();
    m_ping_sent_at.reset();
    for (auto* const stream : {&m_stream, &m_opening})
    {
        if (auto const open_stream = std::exchange(*stream, nullptr))
        {
            open_stream->close();
        }
    }
    m_hello_timer.cancel();
}

// Whether the gate has not answered the ping in time. A ping that still waits
// in this node says nothing about the gate, unless nothing leaves for very
// long.
bool peer_link::is_silent(core::time_point now) const noexcept
{
    return m_ping_flushed_at ? now - *m_ping_flushed_at > ping_timeout
                             : now - *m_ping_sent_at > blocked_timeout;
}

void peer_link::log_unreachable(std::string const& error) const
{
    log_event(
        event::peer_unreachable,
        {{"peer", m_options.m_remote.m_address},
         {"error", error},
         {"pending", static_cast<std::int64_t>(m_pending.size())},
         {"sent", static_cast<std::int64_t>(sent_requests())}});
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

void peer_link::log_responsive(core::time_point now) const
{
    log_event(
        event::peer_responsive,
        {{"peer", m_options.m_remote.m_address},
         {"lost_ms", to_ms(now - *m_lost_since)},
         {"sent", static_cast<std::int64_t>(sent_requests())}});
}

void peer_link::on_message(stream_ptr const& stream, message&& value)
{
    if (auto* const result = std::get_if<run_result>(&value))
    {
        auto const id = result->m_id;
        complete(id, std::move(*result));
    }
    else if (auto const* const greeting = std::get_if<hello>(&value))
    {
        if (stream == m_opening)
        {
            on_hello(*greeting);
        }
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

// The opened connection replaces the present one, whose bytes may be lost.
void peer_link::on_hello(hello const& greeting)
{
    auto const replaced = std::exchange(m_stream, std::move(m_opening));
    m_opening = nullptr;
    m_timeout_factor = 1;
    m_hello_timer.cancel();
    if (replaced)
    {
        replaced->close();
        finish_sent_bodies();
    }
    if (m_lost_since)
    {
        log_responsive(clock_now());
    }
    m_lost_since.reset();
    m_ping_sent_at.reset();
    auto const previous = std::exchange(m_incarnation, greeting.m_incarnation);
    if (previous != greeting.m_incarnation)
    {
        // A gate that has restarted has no record of the requests that were
        // sent to its predecessor, so they may have run.
        fail_lost_requests(core::reason::gate_restarted);
    }
    if (m_stream)
    {
        resume_sent_requests();
        send_unsent_requests();
    }
}

void peer_link::fail_lost_requests(core::reason why)
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
        complete(id, failed_result(true, why));
    }
}

// Asks for the outcomes of the requests that were sent on earlier connections.
// The list is sent even if it is empty: the gate uses a further connection only
// from its list on, and cancels the requests that are not in it.
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
    m_stream->send(resume);
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

void peer_link::on_closed(stream_ptr const& stream)
{
    if (stream == m_opening)
    {
        m_opening = nullptr;
        m_hello_timer.cancel();
        return;
    }
    if (stream != m_stream)
    {
        return;
    }
    m_stream = nullptr;
    m_ping_sent_at.reset();
    if (m_pending.empty() || m_closed)
    {
        m_lost_since.reset();
        return;
    }
    m_lost_since = m_lost_since.value_or(clock_now());
    finish_sent_bodies();
    start_connecting();
}

// Pieces of a body may have been lost with the connection, so the gate ends the
// request.
void peer_link::finish_sent_bodies()
{
    for (auto& [id, request] : m_pending)
    {
        if (request.m_sent)
        {
            finish_body(request);
        }
    }
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
    auto sent = std::exchange(request.m_message, {});
    // The gate counts the remaining time from the arrival of the request.
    auto const waited = to_ms(clock_now() - request.m_queued_at);
    sent.m_deadline_left_ms =
        std::max<std::int64_t>(sent.m_deadline_left_ms - waited, 1);
    sent.m_objective_left_ms -= waited;
    sent.m_sent_at_us = std::chrono::duration_cast<std::chrono::microseconds>(
                            clock_with_suspensions_now().time_since_epoch())
                            .count();
    m_stream->send(sent);
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
        it != m_pending.end() && it->second.m_body && m_stream;
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

// Refuses the requests that could not be sent in time.
void peer_link::refuse_expired(core::time_point now)
{
    std::vector<std::uint64_t> expired;
    for (auto const& [id, request] : m_pending)
    {
        if (!request.m_sent && now >= request.m_send_deadline)
        {
            expired.push_back(id);
        }
    }
    for (auto const id : expired)
    {
        complete(id, failed_result(false, core::reason::peer_unreachable));
    }
}

void peer_link::refuse_unsent()
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

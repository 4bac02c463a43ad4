#include "net/mesh/peer_server.hpp"

#include <set>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>

#include <hibiscustide/net/event_log.hpp>

#include "net/clock.hpp"
#include "net/failure_guard.hpp"
#include "net/mesh/codec.hpp"
#include "net/socket.hpp"

namespace hibiscustide::net::mesh
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds accept_retry_delay{50};

// How long the queued requests of a sender wait for it to reconnect. After that
// they are refused, so that the sender can place them elsewhere.
constexpr milliseconds queued_resume_timeout{400};

// How long the running idempotent requests of a sender wait for it to reconnect
// before they are aborted. On a full link, several tries to connect time out.
constexpr milliseconds running_resume_timeout{2'000};

// How long a result is kept for a sender that reconnects. After that, the
// request is reported as possibly run.
constexpr milliseconds result_retention{3'000};

// How long the id of a request is kept after its end, so that a repeated
// question about its outcome gets the same answer.
constexpr milliseconds id_retention{15'000};
constexpr milliseconds cleanup_interval{1'000};

// How long the transit delay of a sender without requests is kept.
constexpr core::duration transit_retention =
    2 * core::admission::transit_delay::max_window;

// Latest sending time that is accepted, which is far longer than a VM runs but
// can be represented in nanoseconds.
constexpr std::int64_t max_sent_at_us = std::int64_t{1} << 52U;

// The size of a reply to a request for changes is known only once it has been
// prepared, so few are prepared at the same time.
constexpr std::size_t max_replies_in_preparation = 4;

} // namespace

struct peer_server::session
{
    std::shared_ptr<frame_stream> m_stream;
    std::uint64_t m_incarnation = 0; ///< Of the sender; 0 before its hello.
    bool m_is_current = false;       ///< Whether requests are accepted on it.
    std::uint64_t m_number = 0; ///< Of the sender's connections to this node.
    std::string m_node;         ///< Address of the sender.
    /// Whether a result was sent since the stream was last seen as flushed.
    bool m_has_unsent_result = false;
};

peer_server::peer_server(
    asio::io_context& context, peer_server_options options, target_gate& gate)
    : m_context{context},
      m_options{std::move(options)},
      m_gate{gate},
      m_acceptor{context},
      m_bodies{
          context,
          {.m_link_rate = m_options.m_link_rate},
          [this](request_key const& key, std::uint64_t limit)
          {
              send_grant(key, limit);
          }},
      m_change_replies{m_options.m_link_rate}
{
}

std::optional<std::string> peer_server::start()
{
    if (auto failure = open_listener(m_acceptor, m_options.m_listen, false))
    {
        return failure;
    }
    spawn_loop(
        m_context, "acceptor for peers",
        [this]
        {
            return accept_loop();
        });
    spawn_loop(
        m_context, "cleanup of results",
        [this]
        {
            return cleanup_loop();
        });
    return std::nullopt;
}

// Pings and their answers keep a connection from being idle, so a connection
// counts as flushed for good once it was flushed after its last result.
std::size_t peer_server::unsent_results()
{
    std::size_t count = 0;
    for (auto const& [incarnation, each] : m_sessions)
    {
        each->m_has_unsent_result =
            each->m_has_unsent_result && !each->m_stream->is_flushed();
        count += each->m_has_unsent_result ? 1 : 0;
    }
    return count;
}

awaitable<void> peer_server::accept_loop()
{
    while (m_acceptor.is_open())
    {
        auto [error, socket] = co_await m_acceptor.async_accept(no_throw);
        if (error)
        {
            asio::steady_timer pause{m_context, accept_retry_delay};
            co_await pause.async_wait(no_throw);
            continue;
        }
        start_session(std::move(socket));
    }
}

awaitable<void> peer_server::cleanup_loop()
{
    asio::steady_timer timer{m_context};
    while (m_acceptor.is_open())
    {
        timer.expires_after(cleanup_interval);
        co_await timer.async_wait(no_throw);
        remove_old_records(clock_now());
    }
}

void peer_server::remove_old_records(core::time_point now)
{
    for (auto it = m_requests.begin(); it != m_requests.end();)
    {
        auto& [key, state] = *it;
        auto const age = now - state.m_ended_at;
        if (state.m_ended && age > result_retention)
        {
            state.m_result.reset();
        }
        if (!state.m_ended || age <= id_retention)
        {
            ++it;
            continue;
        }
        m_senders.on_record_removed(key.m_incarnation, key.m_id, now);
        it = m_requests.erase(it);
    }
    m_senders.expire(now);
    auto const last_kept = clock_with_suspensions_now() - transit_retention;
    std::erase_if(
        m_transit_delays,
        [last_kept](auto const& entry)
        {
            return entry.second.last_frame_at() < last_kept;
        });
}

void peer_server::start_session(asio::ip::tcp::socket socket)
{
    auto connection = std::make_shared<session>();
    connection->m_stream = std::make_shared<frame_stream>(std::move(socket));
    std::weak_ptr<session> const weak = connection;
    connection->m_stream->start(
        [this, connection](message&& value)
        {
            on_message(connection, std::move(value));
        },
        [this, weak]
        {
            auto const closed_session = weak.lock();
            if (!closed_session)
            {
                return;
            }
            auto const it = m_sessions.find(closed_session->m_incarnation);
            if (it != m_sessions.end() && it->second == closed_session)
            {
                m_sessions.erase(it);
                on_closed(closed_session);
            }
        });
    connection->m_stream->send(m_options.m_hello);
}

void peer_server::on_message(session_ptr const& sender, message&& value)
{
    if (auto const* const greeting = std::get_if<hello>(&value))
    {
        on_hello(sender, *greeting);
    }
    else if (std::holds_alternative<ping>(value))
    {
        sender->m_stream->send(ping{.m_is_answer = true});
    }
    else if (auto const* const requested = std::get_if<changes_request>(&value))
    {
        on_changes_request(sender, *requested);
    }
    else if (auto const* const resume = std::get_if<resume_requests>(&value))
    {
        on_resume(sender, *resume);
    }
    else if (sender->m_is_current)
    {
        on_request_message(sender, std::move(value));
    }
}

void peer_server::on_request_message(session_ptr const& sender, message&& value)
{
    auto const incarnation = sender->m_incarnation;
    if (auto* const request = std::get_if<run_request>(&value))
    {
        on_run(sender, std::move(*request));
    }
    else if (auto* const piece = std::get_if<body_piece>(&value))
    {
        request_key const key{
            .m_incarnation = incarnation, .m_id = piece->m_id};
        m_bodies.on_piece(key, std::move(*piece));
    }
    else if (auto const* const cancelled = std::get_if<cancel_request>(&value))
    {
        on_cancel({.m_incarnation = incarnation, .m_id = cancelled->m_id});
    }
}

// A request that exceeds the budget gets no reply: the sender asks again, and
// by then more nodes have the changes.
void peer_server::on_changes_request(
    session_ptr const& sender, changes_request const& requested)
{
    if (m_replies_in_preparation >= max_replies_in_preparation ||
        !m_change_replies.may_reply(clock_now()))
    {
        return;
    }
    ++m_replies_in_preparation;
    std::weak_ptr<frame_stream> const stream = sender->m_stream;
    m_options.m_changes_after(
        {.m_era = requested.m_era, .m_revision = requested.m_after},
        [this, stream](core::directory::item_changes const& changes)
        {
            --m_replies_in_preparation;
            if (auto const open_stream = stream.lock())
            {
                send_changes(*open_stream, changes);
            }
        });
}

void peer_server::send_changes(
    frame_stream& stream, core::directory::item_changes const& changes)
{
    auto const bytes = encode_message(changes);
    m_change_replies.on_reply(bytes.size(), clock_now());
    stream.send_encoded(bytes);
}

// The first connection of a sender is used at once. A further one is used from
// its list of resumed requests on, since the sender may give it up before, and
// the earlier one may still deliver results and pieces of bodies until then.
void peer_server::on_hello(session_ptr const& sender, hello const& greeting)
{
    if (m_senders.has_reconnected(
            greeting.m_incarnation, greeting.m_connection))
    {
        sender->m_stream->close();
        return;
    }
    sender->m_incarnation = greeting.m_incarnation;
    sender->m_number = greeting.m_connection;
    sender->m_node = greeting.m_node;
    if (!m_sessions.contains(greeting.m_incarnation))
    {
        static_cast<void>(make_current(sender));
    }
}

// Only the newest connection of a sender is used. Requests that still arrive on
// an older one must not run, since on the newest one they are reported as not
// run. Returns whether this connection is the newest one.
bool peer_server::make_current(session_ptr const& sender)
{
    if (sender->m_is_current)
    {
        return true;
    }
    bool const is_newest =
        sender->m_incarnation != 0 &&
        m_senders.accept_connection(
            sender->m_incarnation, sender->m_number, clock_now());
    if (!is_newest)
    {
        sender->m_stream->close();
        return false;
    }
    auto const replaced =
        std::exchange(m_sessions[sender->m_incarnation], sender);
    sender->m_is_current = true;
    if (replaced)
    {
        replaced->m_is_current = false;
        replaced->m_stream->close();
        m_bodies.fail_all_of(sender->m_incarnation);
    }
    return true;
}

void peer_server::on_run(session_ptr const& sender, run_request&& request)
{
    request_key const key{
        .m_incarnation = sender->m_incarnation, .m_id = request.m_id};
    m_requests[key].m_idempotent = request.m_idempotent;
    subtract_transit_delay(sender->m_incarnation, request);
    following_body body;
    if (request.m_body_follows)
    {
        body.m_expected_in = m_bodies.expected_time(request.m_body_length);
        body.m_buffer = m_bodies.add(key, request);
    }
    auto const ticket = m_gate.run(
        std::move(request), body,
        [this, key](run_result result)
        {
            on_result(key, std::move(result));
        });
    m_requests[key].m_ticket = ticket;
    m_bodies.grant();
}

// The time left counts from the sending of the request. A request may wait in
// the sender, on a saturated link, and for this node to read it.
void peer_server::subtract_transit_delay(
    std::uint64_t incarnation, run_request& request)
{
    if (request.m_sent_at_us <= 0 || request.m_sent_at_us > max_sent_at_us)
    {
        return;
    }
    auto const delay = std::chrono::duration_cast<milliseconds>(
        m_transit_delays[incarnation].on_frame(
            std::chrono::microseconds{request.m_sent_at_us},
            clock_with_suspensions_now()));
    request.m_deadline_left_ms -= delay.count();
    request.m_objective_left_ms -= delay.count();
}

void peer_server::on_cancel(request_key const& key)
{
    auto const it = m_requests.find(key);
    if (it == m_requests.end() || it->second.m_ended)
    {
        return;
    }
    it->second.m_ended = true;
    it->second.m_ended_at = clock_now();
    m_gate.cancel(it->second.m_ticket);
    m_bodies.remove(key);
}

void peer_server::send_grant(request_key const& key, std::uint64_t limit)
{
    auto const it = m_sessions.find(key.m_incarnation);
    if (it != m_sessions.end())
    {
        it->second->m_stream->send(
            body_grant{.m_id = key.m_id, .m_limit = limit});
    }
}

void peer_server::on_resume(
    session_ptr const& sender, resume_requests const& resume)
{
    if (!make_current(sender))
    {
        return;
    }
    cancel_unlisted(sender->m_incarnation, resume);
    for (auto const id : resume.m_ids)
    {
        auto const it = m_requests.find(
            {.m_incarnation = sender->m_incarnation, .m_id = id});
        run_result const possibly_run{
            .m_id = id,
            .m_outcome = outcome::may_have_run,
            .m_reason = core::reason::connection_broken,
            .m_reached_target = true};
        if (it != m_requests.end())
        {
            if (it->second.m_ended)
            {
                sender->m_stream->send(
                    it->second.m_result.value_or(possibly_run));
            }
        }
        else if (m_senders.may_have_been_removed(sender->m_incarnation, id))
        {
            sender->m_stream->send(possibly_run);
        }
        else
        {
            sender->m_stream->send(run_result{
                .m_id = id, .m_reason = core::reason::connection_broken});
        }
    }
}

void peer_server::on_result(request_key const& key, run_result&& result)
{
    m_bodies.remove(key);
    result.m_id = key.m_id;
    auto& state = m_requests[key];
    state.m_ended = true;
    state.m_ended_at = clock_now();
    auto const it = m_sessions.find(key.m_incarnation);
    if (it != m_sessions.end())
    {
        it->second->m_stream->send(result);
        it->second->m_has_unsent_result = true;
    }
    state.m_result = std::move(result);
}

void peer_server::on_closed(session_ptr const& closed_session)
{
    m_bodies.fail_all_of(closed_session->m_incarnation);
    asio::co_spawn(
        m_context, await_reconnect(closed_session),
        log_if_failed{"wait for a sender"});
}

awaitable<void> peer_server::await_reconnect(session_ptr closed_session)
{
    auto const incarnation = closed_session->m_incarnation;
    asio::steady_timer timer{m_context, queued_resume_timeout};
    co_await timer.async_wait(no_throw);
    if (m_senders.has_reconnected(incarnation, closed_session->m_number))
    {
        co_return;
    }
    for (auto const ticket : active_tickets(incarnation))
    {
        m_gate.abandon_queued(ticket);
    }
    timer.expires_after(running_resume_timeout - queued_resume_timeout);
    co_await timer.async_wait(no_throw);
    auto const running = active_tickets(incarnation);
    if (m_senders.has_reconnected(incarnation, closed_session->m_number) ||
        running.empty())
    {
        co_return;
    }
    log_event(
        core::observe::event::sender_lost,
        {{"sender", closed_session->m_node},
         {"requests", static_cast<std::int64_t>(running.size())},
         {"ms", running_resume_timeout.count()}});
    for (auto const ticket : running)
    {
        m_gate.abandon(ticket);
    }
}

// The requests of the sender that have not ended.
std::vector<target_gate::ticket> peer_server::active_tickets(
    std::uint64_t incarnation) const
{
    std::vector<target_gate::ticket> active;
    auto it = m_requests.lower_bound({.m_incarnation = incarnation});
    for (; it != m_requests.end() && it->first.m_incarnation == incarnation;
         ++it)
    {
        if (!it->second.m_ended)
        {
            active.push_back(it->second.m_ticket);
        }
    }
    return active;
}

// Cancels the requests whose results the sender no longer needs.
void peer_server::cancel_unlisted(
    std::uint64_t incarnation, resume_requests const& resume)
{
    std::vector<request_key> unlisted;
    std::set<std::uint64_t> const listed{
        resume.m_ids.begin(), resume.m_ids.end()};
    auto it = m_requests.lower_bound({.m_incarnation = incarnation});
    for (; it != m_requests.end() && it->first.m_incarnation == incarnation;
         ++it)
    {
        if (!it->second.m_ended && !listed.contains(it->first.m_id))
        {
            unlisted.push_back(it->first);
        }
    }
    for (auto const& key : unlisted)
    {
        on_cancel(key);
    }
}

} // namespace hibiscustide::net::mesh

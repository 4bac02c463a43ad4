#include "net/mesh/incoming_bodies.hpp"

#include <utility>
#include <vector>

#include "net/clock.hpp"
#include "net/failure_guard.hpp"

namespace hibiscustide::net::mesh
{

namespace
{

// Interval between checks for senders that do not use their grants.
constexpr std::chrono::milliseconds check_interval{50};

} // namespace

incoming_bodies::incoming_bodies(
    asio::io_context& context,
    core::admission::transfer_scheduler_options const& options,
    grant_sender send_grant)
    : m_context{context},
      m_options{options},
      m_scheduler{options},
      m_send_grant{std::move(send_grant)}
{
}

body_buffer_ptr incoming_bodies::add(
    request_key const& key, run_request const& request)
{
    auto const now = clock_now();
    std::optional<std::uint64_t> length;
    if (request.m_body_length >= 0)
    {
        length = static_cast<std::uint64_t>(request.m_body_length);
    }
    auto buffer = std::make_shared<body_buffer>(body_buffer_options{
        .m_length = length, .m_capacity = m_options.m_max_buffered});
    buffer->on_room(
        [this, key]
        {
            on_freed(key);
        });
    auto const transfer = m_next_transfer++;
    m_entries[key] = {.m_buffer = buffer, .m_transfer = transfer};
    m_keys.emplace(transfer, key);
    m_scheduler.add(
        {.m_id = transfer,
         .m_priority = request.m_priority,
         .m_objective =
             now + std::chrono::milliseconds{request.m_objective_left_ms},
         .m_length = length},
        now);
    return buffer;
}

void incoming_bodies::grant()
{
    for (auto const& grant : m_scheduler.take_grants(clock_now()))
    {
        auto const it = m_keys.find(grant.m_id);
        if (it != m_keys.end())
        {
            m_send_grant(it->second, grant.m_limit);
        }
    }
    if (m_scheduler.size() > 0 && !std::exchange(m_granting, true))
    {
        spawn_loop(
            m_context, "grants for bodies",
            [this]
            {
                return grant_loop();
            });
    }
}

void incoming_bodies::on_piece(request_key const& key, body_piece&& piece)
{
    auto const it = m_entries.find(key);
    if (it == m_entries.end())
    {
        return;
    }
    auto const buffer = it->second.m_buffer;
    auto const transfer = it->second.m_transfer;
    m_scheduler.on_received(transfer, piece.m_bytes.size(), clock_now());
    if (piece.m_end != body_end::none)
    {
        m_scheduler.remove(transfer);
    }
    if (!piece.m_bytes.empty())
    {
        buffer->append(piece.m_bytes);
    }
    if (piece.m_end == body_end::complete)
    {
        buffer->finish();
    }
    else if (piece.m_end == body_end::aborted)
    {
        buffer->fail(status::unknown);
    }
    grant();
}

void incoming_bodies::remove(request_key const& key)
{
    auto const it = m_entries.find(key);
    if (it == m_entries.end())
    {
        return;
    }
    it->second.m_buffer->on_room(nullptr);
    m_scheduler.remove(it->second.m_transfer);
    m_keys.erase(it->second.m_transfer);
    m_entries.erase(it);
    grant();
}

void incoming_bodies::fail_all_of(std::uint64_t incarnation)
{
    std::vector<body_buffer_ptr> lost;
    for (auto const& [key, each] : m_entries)
    {
        if (key.m_incarnation == incarnation)
        {
            lost.push_back(each.m_buffer);
        }
    }
    for (auto const& buffer : lost)
    {
        buffer->fail(status::unknown);
    }
}

core::duration incoming_bodies::expected_time(
    std::int64_t length) const noexcept
{
    return m_scheduler.expected_time(
        length >= 0 ? static_cast<std::uint64_t>(length) : 0);
}

// Grants again after a while, since a sender may not use its grant.
awaitable<void> incoming_bodies::grant_loop()
{
    asio::steady_timer timer{m_context};
    while (m_scheduler.size() > 0)
    {
        timer.expires_after(check_interval);
        co_await timer.async_wait(no_throw);
        grant();
    }
    m_granting = false;
}

void incoming_bodies::on_freed(request_key const& key)
{
    auto const it = m_entries.find(key);
    if (it == m_entries.end())
    {
        return;
    }
    auto& each = it->second;
    auto const freed = each.m_buffer->freed();
    m_scheduler.on_consumed(each.m_transfer, freed - each.m_freed);
    each.m_freed = freed;
    grant();
}

} // namespace hibiscustide::net::mesh

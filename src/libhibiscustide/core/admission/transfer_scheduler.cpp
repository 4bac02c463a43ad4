#include <hibiscustide/core/admission/transfer_scheduler.hpp>

#include <algorithm>
#include <chrono>

namespace hibiscustide::core::admission
{

namespace
{

// Smallest window, so that a slow link is not idle while a grant and the bytes
// that it permits travel.
constexpr std::uint64_t min_window = 16'384;

// Smaller grants are delayed until more can be granted, to limit the number of
// messages.
constexpr std::uint64_t min_grant = 4'096;

// A sender that has not used its grant within this time does not keep the
// window from others.
constexpr std::chrono::milliseconds stall_time{150};

// Length that is assumed for a body of unknown length.
constexpr std::uint64_t assumed_length = 65'536;

} // namespace

transfer_scheduler::transfer_scheduler(
    transfer_scheduler_options const& options)
    : m_options{options}
{
}

void transfer_scheduler::add(transfer const& offered, time_point now)
{
    rank const key{
        .m_priority = offered.m_priority,
        .m_objective = offered.m_objective,
        .m_id = offered.m_id};
    m_ranks.insert_or_assign(offered.m_id, key);
    m_bodies[key] = {.m_length = offered.m_length, .m_last_progress = now};
}

void transfer_scheduler::on_received(
    std::uint64_t id, std::uint64_t bytes, time_point now)
{
    auto const it = m_ranks.find(id);
    if (it == m_ranks.end())
    {
        return;
    }
    auto& body = m_bodies.at(it->second);
    body.m_received += bytes;
    body.m_last_progress = now;
}

void transfer_scheduler::on_consumed(std::uint64_t id, std::uint64_t bytes)
{
    auto const it = m_ranks.find(id);
    if (it != m_ranks.end())
    {
        m_bodies.at(it->second).m_consumed += bytes;
    }
}

void transfer_scheduler::remove(std::uint64_t id)
{
    auto const it = m_ranks.find(id);
    if (it != m_ranks.end())
    {
        m_bodies.erase(it->second);
        m_ranks.erase(it);
    }
}

std::vector<transfer_grant> transfer_scheduler::take_grants(time_point now)
{
    std::vector<transfer_grant> grants;
    auto const in_flight = bytes_in_flight(now);
    auto available = window() > in_flight ? window() - in_flight : 0;
    for (auto& [key, body] : m_bodies)
    {
        if (available < min_grant)
        {
            break;
        }
        auto const limit = next_limit(body, available);
        if (limit <= body.m_granted || is_stalled(body, now))
        {
            continue;
        }
        available -= limit - body.m_granted;
        body.m_granted = limit;
        body.m_last_progress = now;
        grants.push_back({.m_id = key.m_id, .m_limit = limit});
    }
    return grants;
}

duration transfer_scheduler::expected_time(std::uint64_t length) const noexcept
{
    auto bytes = static_cast<double>(length);
    for (auto const& [key, body] : m_bodies)
    {
        bytes += static_cast<double>(remaining(body));
    }
    std::chrono::duration<double> const time{bytes / m_options.m_link_rate};
    return std::chrono::duration_cast<duration>(time);
}

std::size_t transfer_scheduler::size() const noexcept
{
    return m_bodies.size();
}

std::uint64_t transfer_scheduler::window() const noexcept
{
    std::chrono::duration<double> const delay = max_link_delay;
    auto const bytes =
        static_cast<std::uint64_t>(m_options.m_link_rate * delay.count());
    return std::max(bytes, min_window);
}

std::uint64_t transfer_scheduler::bytes_in_flight(time_point now) const noexcept
{
    std::uint64_t sum = 0;
    for (auto const& [key, body] : m_bodies)
    {
        sum += is_stalled(body, now) ? 0 : body.in_flight();
    }
    return sum;
}

// Whether the sender has not used its grant for a long time. It gets no further
// grant until it has.
bool transfer_scheduler::is_stalled(state const& body, time_point now) noexcept
{
    return body.in_flight() > 0 && now - body.m_last_progress > stall_time;
}

// Position up to which the body can be granted if `available` more bytes may be
// in flight.
std::uint64_t transfer_scheduler::next_limit(
    state const& body, std::uint64_t available) const noexcept
{
    auto const buffer_limit = body.m_consumed + m_options.m_max_buffered;
    auto const end =
        std::min(body.m_length.value_or(buffer_limit), buffer_limit);
    auto const limit = std::min(end, body.m_granted + available);
    bool const is_worthwhile =
        limit == end || limit >= body.m_granted + min_grant;
    return is_worthwhile ? limit : body.m_granted;
}

std::uint64_t transfer_scheduler::remaining(state const& body) const noexcept
{
    auto const length =
        body.m_length.value_or(std::max(assumed_length, body.m_granted));
    return length > body.m_received ? length - body.m_received : 0;
}

} // namespace hibiscustide::core::admission

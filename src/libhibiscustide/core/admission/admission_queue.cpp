#include <hibiscustide/core/admission/admission_queue.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace hibiscustide::core::admission
{

using routing::expected_time;

namespace
{

// Time over which the need of urgent requests is averaged.
constexpr std::chrono::duration<double> need_time{1.0};

// Kept beyond the mean, since the need varies.
constexpr double need_margin = 1.2;

// Requests a second.
constexpr double least_cold_rate = 0.1;

} // namespace

void admission_queue::set_slots(std::uint32_t slots) noexcept
{
    m_slots = std::max<std::uint32_t>(slots, 1);
}

void admission_queue::set_speed(routing::speed const& forecast) noexcept
{
    m_speed = forecast;
}

void admission_queue::set_cold_rate(std::optional<double> per_second) noexcept
{
    m_cold_rate = per_second;
}

admission_decision admission_queue::enter(
    admission_request const& request, bool may_start, time_point now)
{
    if (request.m_deadline <= now)
    {
        return refuse_request{.m_reason = reason::deadline_passed};
    }
    place const mine{
        .m_priority = request.m_priority,
        .m_objective = request.m_objective,
        .m_id = request.m_id,
        .m_deadline = request.m_deadline,
        .m_work = request.m_work};
    m_least_urgent = std::max(m_least_urgent, request.m_priority);
    track_need(now);
    bool const is_first = m_queue.empty() || mine < *m_queue.begin();
    if (is_first && may_start && has_slot(mine))
    {
        begin(mine);
        return run_now{};
    }
    auto const wait = wait_before(mine);
    if (!is_in_time(mine, wait, now))
    {
        return refuse_request{
            .m_reason = reason::queue_full, .m_retry_after = wait};
    }
    wait_in_queue decision;
    if (m_queue.size() >= std::size_t{m_slots} * queue_per_slot)
    {
        auto const last = std::prev(m_queue.end());
        if (last->m_priority <= mine.m_priority)
        {
            return refuse_request{
                .m_reason = reason::queue_full, .m_retry_after = wait};
        }
        decision.m_displaced = last->m_id;
        m_queue.erase(last);
    }
    m_queue.insert(mine);
    return decision;
}

std::optional<std::uint64_t> admission_queue::next(time_point now)
{
    track_need(now);
    auto chosen = std::find_if(
        m_queue.begin(), m_queue.end(),
        [this, now](place const& waiting)
        {
            return has_slot(waiting) && is_in_time(waiting, duration{}, now);
        });
    if (chosen == m_queue.end())
    {
        chosen = std::find_if(
            m_queue.begin(), m_queue.end(),
            [this, now](place const& waiting)
            {
                return has_slot(waiting) && waiting.m_deadline > now;
            });
    }
    if (chosen == m_queue.end())
    {
        return std::nullopt;
    }
    auto const id = chosen->m_id;
    begin(*chosen);
    m_queue.erase(chosen);
    return id;
}

std::vector<std::uint64_t> admission_queue::take_hopeless(time_point now)
{
    std::vector<std::uint64_t> hopeless;
    std::erase_if(
        m_queue,
        [&](place const& waiting)
        {
            bool const is_late = now + expected_time(m_speed, waiting.m_work) >
                                 waiting.m_deadline;
            if (is_late)
            {
                hopeless.push_back(waiting.m_id);
            }
            return is_late;
        });
    return hopeless;
}

bool admission_queue::remove(std::uint64_t id)
{
    return std::erase_if(
               m_queue,
               [id](place const& waiting)
               {
                   return waiting.m_id == id;
               }) > 0;
}

std::vector<std::uint64_t> admission_queue::take_all()
{
    std::vector<std::uint64_t> ids;
    ids.reserve(m_queue.size());
    for (auto const& waiting : m_queue)
    {
        ids.push_back(waiting.m_id);
    }
    m_queue.clear();
    return ids;
}

void admission_queue::end(
    duration work, std::uint32_t priority, time_point now) noexcept
{
    track_need(now);
    m_running -= m_running > 0 ? 1 : 0;
    bool const was_urgent = priority < m_least_urgent;
    m_urgent_running -= was_urgent && m_urgent_running > 0 ? 1 : 0;
    m_running_work = std::max(duration{}, m_running_work - work);
}

std::uint32_t admission_queue::running() const noexcept
{
    return m_running;
}

std::uint32_t admission_queue::waiting() const noexcept
{
    return static_cast<std::uint32_t>(m_queue.size());
}

std::uint32_t admission_queue::slots() const noexcept
{
    return m_slots;
}

bool admission_queue::is_urgent(place const& waiting) const noexcept
{
    return waiting.m_priority < m_least_urgent;
}

bool admission_queue::has_slot(place const& waiting) const noexcept
{
    if (is_urgent(waiting))
    {
        return m_running < m_slots;
    }
    return m_running + kept_slots() < m_slots;
}

// Slots that stay free for urgent requests: what these need beyond those that
// run, and never more than half of all.
std::uint32_t admission_queue::kept_slots() const noexcept
{
    auto const needed =
        static_cast<std::uint32_t>(std::ceil(m_urgent_need * need_margin));
    auto const more = needed > m_urgent_running ? needed - m_urgent_running : 0;
    return std::min(more, m_slots / 2);
}

// The mean of what is there, weighted towards the present.
void admission_queue::track_need(time_point now) noexcept
{
    std::chrono::duration<double> const passed = now - m_tracked_at;
    double const weight = 1.0 - std::exp(-passed / need_time);
    m_urgent_need += (m_urgent_running - m_urgent_need) * weight;
    m_tracked_at = now;
}

// A slot comes free each time that one of the running requests ends, which is
// as often as there are slots in the time that one takes.
duration admission_queue::wait_before(place const& mine) const
{
    duration work = m_running_work / std::max<std::uint32_t>(m_running, 1);
    double ahead = 1;
    for (auto const& waiting : m_queue)
    {
        if (mine < waiting)
        {
            break;
        }
        work += waiting.m_work;
        ++ahead;
    }
    auto const for_slot = expected_time(m_speed, work / m_slots);
    if (!m_cold_rate)
    {
        return for_slot;
    }
    std::chrono::duration<double> const for_rate{
        ahead / std::max(*m_cold_rate, least_cold_rate)};
    return std::max(for_slot, std::chrono::duration_cast<duration>(for_rate));
}

bool admission_queue::is_in_time(
    place const& waiting, duration wait, time_point now) const
{
    auto const end = now + wait + expected_time(m_speed, waiting.m_work);
    auto const limit = is_urgent(waiting)
                           ? waiting.m_deadline
                           : std::min(waiting.m_objective, waiting.m_deadline);
    return end <= limit;
}

void admission_queue::begin(place const& waiting)
{
    ++m_running;
    m_urgent_running += is_urgent(waiting) ? 1 : 0;
    m_running_work += waiting.m_work;
}

} // namespace hibiscustide::core::admission

#include <hibiscustide/core/admission/admission_queue.hpp>

#include <algorithm>

namespace hibiscustide::core::admission
{

void admission_queue::set_slots(std::uint32_t slots) noexcept
{
    m_slots = std::max<std::uint32_t>(slots, 1);
}

void admission_queue::set_slowness(std::uint32_t percent) noexcept
{
    m_slowness = std::max<std::uint32_t>(percent, 1);
}

admission_decision admission_queue::enter(
    admission_request const& request, time_point now)
{
    if (request.m_deadline <= now)
    {
        return refuse_request{.m_reason = reason::deadline_passed};
    }
    if (m_running < m_slots && m_queue.empty())
    {
        ++m_running;
        return run_now{};
    }
    place const mine{
        .m_for_new_work = !request.m_for_running_work,
        .m_priority = request.m_priority,
        .m_objective = request.m_objective,
        .m_id = request.m_id,
        .m_deadline = request.m_deadline,
        .m_work = request.m_work};
    auto const wait = wait_before(mine);
    bool const is_full = m_queue.size() >= m_slots * queue_per_slot;
    bool const is_late =
        now + wait + work_time(request.m_work) > request.m_deadline;
    if (is_full || is_late)
    {
        return refuse_request{
            .m_reason = reason::queue_full, .m_retry_after = wait};
    }
    m_queue.insert(mine);
    return wait_in_queue{};
}

std::optional<std::uint64_t> admission_queue::next(time_point now)
{
    if (m_running >= m_slots)
    {
        return std::nullopt;
    }
    auto const it = std::find_if(
        m_queue.begin(), m_queue.end(),
        [now](place const& waiting)
        {
            return waiting.m_deadline > now;
        });
    if (it == m_queue.end())
    {
        return std::nullopt;
    }
    auto const id = it->m_id;
    m_queue.erase(it);
    ++m_running;
    return id;
}

std::vector<std::uint64_t> admission_queue::take_hopeless(time_point now)
{
    std::vector<std::uint64_t> hopeless;
    std::erase_if(
        m_queue,
        [&](place const& waiting)
        {
            bool const is_late =
                now + work_time(waiting.m_work) > waiting.m_deadline;
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
    for (auto const& waiting : m_queue)
    {
        ids.push_back(waiting.m_id);
    }
    m_queue.clear();
    return ids;
}

void admission_queue::end() noexcept
{
    m_running -= m_running > 0 ? 1 : 0;
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

duration admission_queue::work_time(duration usual) const noexcept
{
    return usual * m_slowness / 100;
}

// The work in front, running work half done, shared among the slots.
duration admission_queue::wait_before(place const& mine) const
{
    duration work = mine.m_work * m_running / 2;
    for (auto const& waiting : m_queue)
    {
        if (mine < waiting)
        {
            break;
        }
        work += waiting.m_work;
    }
    return work_time(work) / m_slots;
}

} // namespace hibiscustide::core::admission

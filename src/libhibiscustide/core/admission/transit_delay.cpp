#include <hibiscustide/core/admission/transit_delay.hpp>

#include <algorithm>

namespace hibiscustide::core::admission
{

duration transit_delay::on_frame(duration sent_at, time_point now)
{
    advance(now);
    m_last_frame_at = now;
    auto const difference = now.time_since_epoch() - sent_at;
    duration excess{};
    for (auto const* const part : {&m_previous, &m_current})
    {
        if (*part)
        {
            std::chrono::duration<double, duration::period> const age =
                now - (*part)->m_least_at;
            auto const tolerance =
                resolution +
                std::chrono::duration_cast<duration>(age * max_rate_error);
            excess = std::max<duration>(
                excess, difference - (*part)->m_least - tolerance);
        }
    }
    add(difference, now);
    return excess;
}

time_point transit_delay::last_frame_at() const noexcept
{
    return m_last_frame_at;
}

// Starts a new period when the current one is complete, and forgets periods
// that are too old.
void transit_delay::advance(time_point now)
{
    if (m_current)
    {
        auto const age = now - m_current->m_began_at;
        bool const is_complete =
            age >= max_window ||
            (age >= busy_window && m_current->m_samples >= min_samples);
        if (is_complete)
        {
            m_previous = m_current;
            m_current.reset();
        }
    }
    if (m_previous && now - m_previous->m_began_at >= 2 * max_window)
    {
        m_previous.reset();
    }
}

void transit_delay::add(duration difference, time_point now)
{
    if (!m_current)
    {
        m_current =
            period{.m_began_at = now, .m_least = difference, .m_least_at = now};
    }
    if (difference <= m_current->m_least)
    {
        m_current->m_least = difference;
        m_current->m_least_at = now;
    }
    ++m_current->m_samples;
}

} // namespace hibiscustide::core::admission

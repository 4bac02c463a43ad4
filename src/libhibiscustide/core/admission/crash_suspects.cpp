#include <hibiscustide/core/admission/crash_suspects.hpp>

#include <algorithm>

namespace hibiscustide::core::admission
{

namespace
{

// Stands for the own node among those that tell of crashes.
constexpr std::uint64_t own_node = 0;

} // namespace

void crash_suspects::on_broken(fingerprint request, time_point now)
{
    m_broken.emplace_back(now, request);
    while (m_broken.front().first + broken_before < now)
    {
        m_broken.pop_front();
    }
}

std::size_t crash_suspects::on_crash(time_point now)
{
    crash_notice notice{.m_number = ++m_number};
    for (auto const& [at, request] : m_broken)
    {
        bool const is_full = notice.m_suspects.size() == most_suspects;
        bool const is_suspect =
            at + broken_before >= now && !was_answered(request, now);
        if (is_suspect && !is_full)
        {
            notice.m_suspects.push_back(request);
        }
    }
    m_broken.clear();
    if (notice.m_suspects.empty())
    {
        return 0;
    }
    blame(own_node, notice, now);
    m_crashes.push_back({.m_at = now, .m_notice = notice});
    return notice.m_suspects.size();
}

void crash_suspects::on_answered(fingerprint request, time_point now)
{
    if (m_suspects.contains(request))
    {
        clear(request);
        m_cleared.emplace_back(now, request);
    }
    if (m_answered.size() == most_answered)
    {
        m_answered.clear();
    }
    m_answered.insert_or_assign(request, now);
}

void crash_suspects::on_news(
    std::uint64_t node, crash_news const& news, time_point now)
{
    forget(now);
    for (auto const& notice : news.m_crashes)
    {
        blame(node, notice, now);
        for (auto const request : notice.m_suspects)
        {
            if (was_answered(request, now) && m_suspects.contains(request))
            {
                clear(request);
                m_cleared.emplace_back(now, request);
            }
        }
    }
    for (auto const request : news.m_cleared)
    {
        clear(request);
    }
}

std::optional<duration> crash_suspects::blocked_for(
    fingerprint request, time_point now) const
{
    auto const it = m_suspects.find(request);
    if (it == m_suspects.end() || it->second.m_crashes < crashes_to_block)
    {
        return std::nullopt;
    }
    auto const until = it->second.m_last + remembered_for;
    return until > now ? std::optional<duration>{until - now} : std::nullopt;
}

bool crash_suspects::has_suspects() const noexcept
{
    return !m_suspects.empty();
}

crash_news crash_suspects::news(time_point now)
{
    forget(now);
    crash_news told;
    for (auto const& each : m_crashes)
    {
        told.m_crashes.push_back(each.m_notice);
    }
    for (auto const& [at, request] : m_cleared)
    {
        told.m_cleared.push_back(request);
    }
    return told;
}

// A crash that is told again counts once, also where it was cleared meanwhile.
void crash_suspects::blame(
    std::uint64_t node, crash_notice const& notice, time_point now)
{
    if (!m_known.try_emplace({node, notice.m_number}, now).second)
    {
        return;
    }
    for (auto const request : notice.m_suspects)
    {
        auto& entry = m_suspects[request];
        ++entry.m_crashes;
        entry.m_last = now;
    }
}

bool crash_suspects::was_answered(fingerprint request, time_point now) const
{
    auto const it = m_answered.find(request);
    return it != m_answered.end() && it->second + answered_before > now;
}

void crash_suspects::clear(fingerprint request)
{
    m_suspects.erase(request);
    for (auto& each : m_crashes)
    {
        std::erase(each.m_notice.m_suspects, request);
    }
}

void crash_suspects::forget(time_point now)
{
    std::erase_if(
        m_suspects,
        [now](auto const& entry)
        {
            return entry.second.m_last + remembered_for < now;
        });
    std::erase_if(
        m_known,
        [now](auto const& entry)
        {
            return entry.second + remembered_for < now;
        });
    while (!m_crashes.empty() && (m_crashes.front().m_at + told_for < now ||
                                  m_crashes.size() > most_told))
    {
        m_crashes.pop_front();
    }
    while (!m_cleared.empty() && (m_cleared.front().first + told_for < now ||
                                  m_cleared.size() > most_suspects))
    {
        m_cleared.pop_front();
    }
}

} // namespace hibiscustide::core::admission

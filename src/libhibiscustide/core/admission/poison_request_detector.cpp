#include <hibiscustide/core/admission/poison_request_detector.hpp>

#include <algorithm>

namespace hibiscustide::core::admission
{

namespace
{

// Identifies the local node as the source of a crash report.
constexpr std::uint64_t local_node = 0;

} // namespace

void poison_request_detector::on_connection_lost(
    fingerprint request, time_point now)
{
    m_lost_connections.emplace_back(now, request);
    while (m_lost_connections.front().first + connection_loss_window < now)
    {
        m_lost_connections.pop_front();
    }
}

std::size_t poison_request_detector::on_crash(time_point now)
{
    crash_report report{.m_number = ++m_last_number};
    for (auto const& [at, request] : m_lost_connections)
    {
        bool const is_full = report.m_suspects.size() == max_suspects;
        bool const is_suspect =
            at + connection_loss_window >= now && !was_answered(request, now);
        if (is_suspect && !is_full)
        {
            report.m_suspects.push_back(request);
        }
    }
    m_lost_connections.clear();
    if (report.m_suspects.empty())
    {
        return 0;
    }
    count_crash(local_node, report, now);
    m_local_crashes.push_back({.m_at = now, .m_report = report});
    return report.m_suspects.size();
}

void poison_request_detector::on_answered(fingerprint request, time_point now)
{
    if (m_suspects.contains(request))
    {
        clear(request);
        m_cleared.emplace_back(now, request);
    }
    if (m_answered.size() == max_answers)
    {
        m_answered.clear();
    }
    m_answered.insert_or_assign(request, now);
}

void poison_request_detector::on_update(
    std::uint64_t node, crash_update const& update, time_point now)
{
    remove_expired(now);
    for (auto const& report : update.m_crashes)
    {
        count_crash(node, report, now);
        for (auto const request : report.m_suspects)
        {
            if (was_answered(request, now) && m_suspects.contains(request))
            {
                clear(request);
                m_cleared.emplace_back(now, request);
            }
        }
    }
    for (auto const request : update.m_cleared)
    {
        clear(request);
    }
}

std::optional<duration> poison_request_detector::remaining_block_time(
    fingerprint request, time_point now) const
{
    auto const it = m_suspects.find(request);
    if (it == m_suspects.end() || it->second.m_crash_count < crashes_to_block)
    {
        return std::nullopt;
    }
    auto const until = it->second.m_last_crash_at + suspect_lifetime;
    return until > now ? std::optional<duration>{until - now} : std::nullopt;
}

bool poison_request_detector::has_suspects() const noexcept
{
    return !m_suspects.empty();
}

crash_update poison_request_detector::current_update(time_point now)
{
    remove_expired(now);
    crash_update update;
    for (auto const& each : m_local_crashes)
    {
        update.m_crashes.push_back(each.m_report);
    }
    for (auto const& [at, request] : m_cleared)
    {
        update.m_cleared.push_back(request);
    }
    return update;
}

// A crash that is reported again counts only once, even if its suspects have
// been cleared in the meantime.
void poison_request_detector::count_crash(
    std::uint64_t node, crash_report const& report, time_point now)
{
    if (!m_seen_crashes.try_emplace({node, report.m_number}, now).second)
    {
        return;
    }
    for (auto const request : report.m_suspects)
    {
        auto& entry = m_suspects[request];
        ++entry.m_crash_count;
        entry.m_last_crash_at = now;
    }
}

bool poison_request_detector::was_answered(
    fingerprint request, time_point now) const
{
    auto const it = m_answered.find(request);
    return it != m_answered.end() && it->second + answer_window > now;
}

void poison_request_detector::clear(fingerprint request)
{
    m_suspects.erase(request);
    for (auto& each : m_local_crashes)
    {
        std::erase(each.m_report.m_suspects, request);
    }
}

void poison_request_detector::remove_expired(time_point now)
{
    std::erase_if(
        m_suspects,
        [now](auto const& entry)
        {
            return entry.second.m_last_crash_at + suspect_lifetime < now;
        });
    std::erase_if(
        m_seen_crashes,
        [now](auto const& entry)
        {
            return entry.second + suspect_lifetime < now;
        });
    while (!m_local_crashes.empty() &&
           (m_local_crashes.front().m_at + report_lifetime < now ||
            m_local_crashes.size() > max_reported_crashes))
    {
        m_local_crashes.pop_front();
    }
    while (!m_cleared.empty() &&
           (m_cleared.front().first + report_lifetime < now ||
            m_cleared.size() > max_suspects))
    {
        m_cleared.pop_front();
    }
}

} // namespace hibiscustide::core::admission

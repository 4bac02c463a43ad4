#include <hibiscustide/core/admission/sender_table.hpp>

#include <algorithm>

namespace hibiscustide::core::admission
{

bool sender_table::accept_connection(
    std::uint64_t incarnation, std::uint64_t connection, time_point now)
{
    auto& entry = m_senders[incarnation];
    entry.m_last_contact = now;
    if (connection <= entry.m_newest_connection)
    {
        return false;
    }
    entry.m_newest_connection = connection;
    return true;
}

bool sender_table::has_reconnected(
    std::uint64_t incarnation, std::uint64_t connection) const noexcept
{
    auto const it = m_senders.find(incarnation);
    return it != m_senders.end() && it->second.m_newest_connection > connection;
}

void sender_table::on_record_removed(
    std::uint64_t incarnation, std::uint64_t request, time_point now)
{
    auto& entry = m_senders[incarnation];
    entry.m_highest_removed = std::max(entry.m_highest_removed, request);
    entry.m_last_contact = now;
}

bool sender_table::may_have_been_removed(
    std::uint64_t incarnation, std::uint64_t request) const noexcept
{
    auto const it = m_senders.find(incarnation);
    return it != m_senders.end() && request <= it->second.m_highest_removed;
}

void sender_table::expire(time_point now)
{
    std::erase_if(
        m_senders,
        [now](auto const& entry)
        {
            return now - entry.second.m_last_contact > retention;
        });
}

std::size_t sender_table::size() const noexcept
{
    return m_senders.size();
}

} // namespace hibiscustide::core::admission

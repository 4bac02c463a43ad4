#include <hibiscustide/core/directory/reader_selection.hpp>

#include <hibiscustide/core/hash.hpp>

namespace hibiscustide::core::directory
{

reader_selection::reader_selection(std::string_view own_address)
    : m_own_rank{hash_of(own_address)}
{
}

void reader_selection::on_peer(
    std::string_view address, bool reads, time_point now)
{
    if (!is_outranked_by(address))
    {
        return;
    }
    m_higher_rank_heard_at = now;
    if (reads)
    {
        m_reader_heard_at = now;
    }
}

bool reader_selection::is_outranked_by(std::string_view address) const noexcept
{
    return hash_of(address) > m_own_rank;
}

void reader_selection::start_grace_period(time_point now) noexcept
{
    m_reader_heard_at = now + (startup_grace - reader_timeout);
}

bool reader_selection::should_read(time_point now) const noexcept
{
    return !m_reader_heard_at || now - *m_reader_heard_at > reader_timeout;
}

std::chrono::milliseconds reader_selection::max_retry_delay(
    time_point now) const noexcept
{
    bool const is_first = !m_higher_rank_heard_at ||
                          now - *m_higher_rank_heard_at > reader_timeout;
    return is_first ? top_rank_max_retry : lower_rank_max_retry;
}

} // namespace hibiscustide::core::directory

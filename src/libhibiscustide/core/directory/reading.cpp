#include <hibiscustide/core/directory/reading.hpp>

#include <hibiscustide/core/hash.hpp>

namespace hibiscustide::core::directory
{

reading_duty::reading_duty(std::string_view own_address)
    : m_own_rank{hash_of(own_address)}
{
}

void reading_duty::on_peer(std::string_view address, bool reads, time_point now)
{
    if (!is_outranked_by(address))
    {
        return;
    }
    m_outranked_at = now;
    if (reads)
    {
        m_heard_at = now;
    }
}

bool reading_duty::is_outranked_by(std::string_view address) const noexcept
{
    return hash_of(address) > m_own_rank;
}

void reading_duty::begin(time_point now) noexcept
{
    m_heard_at = now + (start_grace - reader_silence);
}

bool reading_duty::is_due(time_point now) const noexcept
{
    return !m_heard_at || now - *m_heard_at > reader_silence;
}

std::chrono::milliseconds reading_duty::longest_retry(
    time_point now) const noexcept
{
    bool const is_first =
        !m_outranked_at || now - *m_outranked_at > reader_silence;
    return is_first ? first_rank_retry : other_rank_retry;
}

} // namespace hibiscustide::core::directory

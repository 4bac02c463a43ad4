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
    if (reads && hash_of(address) > m_own_rank)
    {
        m_heard_at = now;
    }
}

void reading_duty::begin(time_point now) noexcept
{
    m_heard_at = now;
}

bool reading_duty::is_due(time_point now) const noexcept
{
    return !m_heard_at || now - *m_heard_at > reader_silence;
}

} // namespace hibiscustide::core::directory

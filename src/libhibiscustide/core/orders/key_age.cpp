#include <hibiscustide/core/orders/key_age.hpp>

#include <hibiscustide/core/orders/key_creation_time.hpp>

namespace hibiscustide::core::orders
{

key_age key_age_of(
    std::string_view key, records_start const& start, duration horizon,
    time_point now, unix_ms now_unix) noexcept
{
    auto const created = creation_time_of(key);
    if (created && *created + key_age_margin + horizon < now_unix)
    {
        return key_age::too_old;
    }
    if (now >= start.m_at + horizon)
    {
        return key_age::covered;
    }
    if (created && *created > start.m_at_unix + key_age_margin)
    {
        return key_age::covered;
    }
    return key_age::too_old;
}

} // namespace hibiscustide::core::orders

#include <hibiscustide/core/admission/buffer_quota.hpp>

namespace hibiscustide::core::admission
{

buffer_quota::buffer_quota(buffer_quota_options const& options) noexcept
    : m_options{options}
{
}

std::size_t buffer_quota::used_bytes() const noexcept
{
    return m_used_bytes;
}

buffer_quota::share::share(buffer_quota& quota) noexcept
    : m_quota{quota}
{
}

buffer_quota::share::~share()
{
    m_quota.m_used_bytes -= m_bytes;
}

bool buffer_quota::share::grow_to(std::size_t bytes) noexcept
{
    if (bytes <= m_bytes)
    {
        return true;
    }
    auto const total = m_quota.m_used_bytes - m_bytes + bytes;
    auto const& options = m_quota.m_options;
    bool const fits =
        bytes <= options.m_min_bytes_each || total <= options.m_max_total_bytes;
    if (fits)
    {
        m_quota.m_used_bytes = total;
        m_bytes = bytes;
    }
    return fits;
}

void buffer_quota::share::shrink_to(std::size_t bytes) noexcept
{
    if (bytes < m_bytes)
    {
        m_quota.m_used_bytes -= m_bytes - bytes;
        m_bytes = bytes;
    }
}

} // namespace hibiscustide::core::admission

#include <hibiscustide/core/admission/failed_calls.hpp>

namespace hibiscustide::core::admission
{

void failed_calls::on_call_failed(time_point now)
{
    if (m_failed_at.size() == max_count)
    {
        m_failed_at.pop_front();
    }
    m_failed_at.push_back(now);
}

bool failed_calls::explains_failure(time_point now)
{
    while (!m_failed_at.empty() && now - m_failed_at.front() > max_age)
    {
        m_failed_at.pop_front();
    }
    if (m_failed_at.empty())
    {
        return false;
    }
    m_failed_at.pop_front();
    return true;
}

} // namespace hibiscustide::core::admission

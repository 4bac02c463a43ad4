#include <hibiscustide/core/retry/attempt_budget.hpp>

namespace hibiscustide::core::retry
{

namespace
{

constexpr std::chrono::milliseconds slice_length{250};

// The part of all second attempts that repeats may use.
constexpr double repeat_share = 0.6;

} // namespace

attempt_budget::attempt_budget(attempt_budget_options const& options)
    : m_options{options}
{
}

void attempt_budget::set_slack(double slack) noexcept
{
    m_options.m_slack = slack;
}

void attempt_budget::earn(time_point now)
{
    ++slice_at(now).m_requests;
    ++m_requests;
}

bool attempt_budget::spend(attempt_purpose purpose, time_point now)
{
    if (left(purpose, now) < 1.0)
    {
        return false;
    }
    ++slice_at(now).m_spent;
    ++m_spent;
    return true;
}

double attempt_budget::left(attempt_purpose purpose, time_point now)
{
    static_cast<void>(slice_at(now));
    double const all = m_options.m_ratio * m_requests + m_options.m_slack;
    double const part = purpose == attempt_purpose::repeat ? repeat_share : 1.0;
    return all * part - m_spent;
}

// The slice that is open now. One that has left the window takes its requests
// and attempts with it.
attempt_budget::slice& attempt_budget::slice_at(time_point now)
{
    while (!m_slices.empty() &&
           m_slices.front().m_begins + m_options.m_window < now)
    {
        m_requests -= m_slices.front().m_requests;
        m_spent -= m_slices.front().m_spent;
        m_slices.pop_front();
    }
    if (m_slices.empty() || m_slices.back().m_begins + slice_length <= now)
    {
        m_slices.push_back({.m_begins = now});
    }
    return m_slices.back();
}

} // namespace hibiscustide::core::retry

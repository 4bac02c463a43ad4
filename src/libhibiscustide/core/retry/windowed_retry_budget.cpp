#include <hibiscustide/core/retry/windowed_retry_budget.hpp>

namespace hibiscustide::core::retry
{

namespace
{

constexpr std::chrono::milliseconds slice_length{250};

// Share of the budget that retries of requests that may have run can use.
constexpr double may_have_run_share = 0.6;

} // namespace

windowed_retry_budget::windowed_retry_budget(
    windowed_retry_budget_options const& options)
    : m_options{options}
{
}

void windowed_retry_budget::set_slack(double slack) noexcept
{
    m_options.m_slack = slack;
}

void windowed_retry_budget::deposit(time_point now)
{
    ++slice_at(now).m_requests;
    ++m_requests;
}

bool windowed_retry_budget::try_withdraw(retry_cause cause, time_point now)
{
    if (available(cause, now) < 1.0)
    {
        return false;
    }
    ++slice_at(now).m_retries;
    ++m_retries;
    return true;
}

double windowed_retry_budget::available(retry_cause cause, time_point now)
{
    static_cast<void>(slice_at(now));
    double const total = m_options.m_ratio * m_requests + m_options.m_slack;
    double const share =
        cause == retry_cause::may_have_run ? may_have_run_share : 1.0;
    return total * share - m_retries;
}

// Returns the current slice and removes the slices that have left the window,
// together with their requests and retries.
windowed_retry_budget::slice& windowed_retry_budget::slice_at(time_point now)
{
    while (!m_slices.empty() &&
           m_slices.front().m_started_at + m_options.m_window < now)
    {
        m_requests -= m_slices.front().m_requests;
        m_retries -= m_slices.front().m_retries;
        m_slices.pop_front();
    }
    if (m_slices.empty() || m_slices.back().m_started_at + slice_length <= now)
    {
        m_slices.push_back({.m_started_at = now});
    }
    return m_slices.back();
}

} // namespace hibiscustide::core::retry

#include <hibiscustide/core/retry/windowed_retry_budget.hpp>

#include <algorithm>

namespace hibiscustide::core::retry
{

namespace
{

constexpr std::chrono::milliseconds slice_length{250};

// Share of the budget that retries of requests that may have run can use.
constexpr double may_have_run_share = 0.6;

// Time over which the wanted retries of a request are averaged. Short, so that
// the reserve follows the beginning and the end of a disruption.
constexpr std::chrono::milliseconds wanted_averaging_time{1'500};

// Largest share of the budget that is kept for more urgent requests. The rest
// keeps less urgent requests from losing all of their retries.
constexpr double max_reserved_share = 0.85;

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

void windowed_retry_budget::deposit(std::uint32_t priority, time_point now)
{
    auto& current = slice_at(now);
    ++current.m_requests;
    ++current.m_by_priority[priority].m_requests;
    ++m_requests;
    ++m_by_priority[priority].m_requests;
}

bool windowed_retry_budget::try_withdraw(
    retry_cause cause, std::uint32_t priority, time_point now)
{
    auto& current = slice_at(now);
    ++current.m_wanted;
    if (available(cause, priority, now) < 1.0)
    {
        return false;
    }
    ++current.m_by_priority[priority].m_retries;
    ++m_retries;
    ++m_by_priority[priority].m_retries;
    return true;
}

double windowed_retry_budget::available(
    retry_cause cause, std::uint32_t priority, time_point now)
{
    static_cast<void>(slice_at(now));
    double const total = m_options.m_ratio * m_requests + m_options.m_slack;
    double const share =
        cause == retry_cause::may_have_run ? may_have_run_share : 1.0;
    double const reserved = std::min(
        reserved_for_more_urgent(priority, now), total * max_reserved_share);
    return total * share - m_retries - reserved;
}

// Returns the current slice and removes the slices that have left the window,
// together with their requests and retries.
windowed_retry_budget::slice& windowed_retry_budget::slice_at(time_point now)
{
    while (!m_slices.empty() &&
           m_slices.front().m_started_at + m_options.m_window < now)
    {
        subtract(m_slices.front());
        m_slices.pop_front();
    }
    if (m_slices.empty() || m_slices.back().m_started_at + slice_length <= now)
    {
        m_slices.push_back({.m_started_at = now});
    }
    return m_slices.back();
}

void windowed_retry_budget::subtract(slice const& expired)
{
    m_requests -= expired.m_requests;
    for (auto const& [priority, each] : expired.m_by_priority)
    {
        auto& total = m_by_priority[priority];
        total.m_requests -= each.m_requests;
        total.m_retries -= each.m_retries;
        m_retries -= each.m_retries;
    }
}

// Retries that were recently wanted for each request, of any priority: a node
// gets few urgent requests, so that their own retries come too late for an
// estimate.
double windowed_retry_budget::wanted_per_request(time_point now) const
{
    std::uint32_t requests = 0;
    std::uint32_t wanted = 0;
    for (auto it = m_slices.rbegin();
         it != m_slices.rend() &&
         it->m_started_at + wanted_averaging_time > now;
         ++it)
    {
        requests += it->m_requests;
        wanted += it->m_wanted;
    }
    return requests > 0 ? static_cast<double>(wanted) / requests : 0.0;
}

// Retries that the more urgent requests of the window are expected to need in
// addition to those that they had.
double windowed_retry_budget::reserved_for_more_urgent(
    std::uint32_t priority, time_point now) const
{
    double const needed_per_request = wanted_per_request(now);
    double reserved = 0;
    for (auto const& [urgent, each] : m_by_priority)
    {
        if (urgent >= priority)
        {
            break;
        }
        reserved += std::max(
            0.0, needed_per_request * each.m_requests - each.m_retries);
    }
    return reserved;
}

} // namespace hibiscustide::core::retry

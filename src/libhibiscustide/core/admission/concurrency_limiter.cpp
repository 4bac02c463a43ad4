#include <hibiscustide/core/admission/concurrency_limiter.hpp>

#include <algorithm>

namespace hibiscustide::core::admission
{

namespace
{

// The newest answer has a weight of 1 / mean_weight_divisor in the mean time.
constexpr int mean_weight_divisor = 16;

// The limit counts as in use while at least limit / busy_divisor requests run.
constexpr std::uint32_t busy_divisor = 2;

} // namespace

concurrency_limiter::concurrency_limiter(
    concurrency_limiter_options const& options)
    : m_options{options},
      m_limit{options.m_cold_slots}
{
}

entry_decision concurrency_limiter::enter(
    release::request_class value, time_point deadline, time_point now)
{
    if (deadline <= now)
    {
        return rejected{.m_reason = reason::deadline_passed};
    }
    if (m_running < m_limit && m_queue.empty())
    {
        ++m_running;
        return entered{};
    }
    if (m_queue.size() >= std::size_t{m_limit} * max_waiting_per_slot)
    {
        return rejected{.m_reason = reason::queue_full};
    }
    if (now + expected_wait() >= deadline)
    {
        return rejected{.m_reason = reason::deadline_passed};
    }
    auto const granted = m_next_ticket++;
    m_queue.insert(
        {.m_background = value == release::request_class::background,
         .m_deadline = deadline,
         .m_ticket = granted});
    return waiting{.m_ticket = granted};
}

std::vector<ticket> concurrency_limiter::leave(
    run_result result, duration took, time_point now)
{
    if (result == run_result::succeeded)
    {
        // An answer given while most slots were idle is no evidence that the
        // target can run one more request.
        if (m_running * busy_divisor >= m_limit)
        {
            count_success();
        }
        update_mean_time(took);
    }
    --m_running;
    return admit_waiting(now);
}

bool concurrency_limiter::cancel(ticket waiting_ticket)
{
    auto const is_same = [&](queued_request const& entry)
    {
        return entry.m_ticket == waiting_ticket;
    };
    auto const it = std::find_if(m_queue.begin(), m_queue.end(), is_same);
    if (it == m_queue.end())
    {
        return false;
    }
    m_queue.erase(it);
    return true;
}

void concurrency_limiter::reset_to_cold()
{
    m_limit = m_options.m_cold_slots;
    m_successes = 0;
}

std::vector<ticket> concurrency_limiter::set_options(
    concurrency_limiter_options const& options, time_point now)
{
    m_options = options;
    m_limit = std::clamp(m_limit, options.m_cold_slots, options.m_slots);
    return admit_waiting(now);
}

std::uint32_t concurrency_limiter::limit() const noexcept
{
    return m_limit;
}

std::uint32_t concurrency_limiter::running() const noexcept
{
    return m_running;
}

std::size_t concurrency_limiter::queued() const noexcept
{
    return m_queue.size();
}

duration concurrency_limiter::mean_time() const noexcept
{
    return m_mean_time;
}

void concurrency_limiter::count_success()
{
    if (m_limit >= m_options.m_slots)
    {
        return;
    }
    ++m_successes;
    if (m_successes >= successes_per_slot)
    {
        m_successes = 0;
        ++m_limit;
    }
}

void concurrency_limiter::update_mean_time(duration took)
{
    if (m_mean_time == duration{0})
    {
        m_mean_time = took;
        return;
    }
    m_mean_time += (took - m_mean_time) / mean_weight_divisor;
}

duration concurrency_limiter::expected_wait() const noexcept
{
    auto const ahead = static_cast<std::int64_t>(m_queue.size() + 1);
    return m_mean_time * ahead / std::max<std::int64_t>(m_limit, 1);
}

// Requests whose deadline has passed are only removed from the queue; the
// timers of these requests report the timeout to the callers.
std::vector<ticket> concurrency_limiter::admit_waiting(time_point now)
{
    std::vector<ticket> admitted;
    while (m_running < m_limit && !m_queue.empty())
    {
        auto const first = *m_queue.begin();
        m_queue.erase(m_queue.begin());
        if (first.m_deadline <= now)
        {
            continue;
        }
        ++m_running;
        admitted.push_back(first.m_ticket);
    }
    return admitted;
}

} // namespace hibiscustide::core::admission

#include <hibiscustide/core/retry/hedging.hpp>

#include <algorithm>
#include <chrono>

namespace hibiscustide::core::retry
{

namespace
{

// Progress after which an answer counts as lost. Processing times vary, so this
// is well past the expected end.
constexpr double lost_after_progress = 2.0;

// Processing times vary: some requests take only this share of the usual time.
constexpr double min_work_share = 0.6;

// An overdue request is expected to need this share of its expected time more.
constexpr double min_remaining_share = 0.1;

// The second attempt must be faster by this share of the usual processing time.
constexpr double min_gain_share = 0.3;

} // namespace

double run_forecast::progress(time_point now) const noexcept
{
    std::chrono::duration<double> const expected =
        std::max<duration>(m_expected, std::chrono::milliseconds{1});
    return (now - m_began_at) / expected;
}

bool can_answer_in_time(
    double cost, duration usual_work, duration deadline_left) noexcept
{
    std::chrono::duration<double> const usual = usual_work;
    return usual * cost * min_work_share <=
           std::chrono::duration<double>{deadline_left};
}

bool should_hedge(hedge_conditions const& conditions) noexcept
{
    using seconds = std::chrono::duration<double>;
    seconds const usual = conditions.m_usual_work;
    seconds const objective = conditions.m_objective_left;
    seconds const hedge_time = usual * conditions.m_other_cost;
    if (!can_answer_in_time(
            conditions.m_other_cost, conditions.m_usual_work,
            conditions.m_deadline_left))
    {
        return false;
    }
    double const progress = conditions.m_run.progress(conditions.m_now);
    if (progress > lost_after_progress)
    {
        return true;
    }
    seconds const remaining_time =
        seconds{conditions.m_run.m_expected} *
        std::max(min_remaining_share, 1.0 - progress);
    bool const first_is_late = remaining_time > objective;
    bool const hedge_is_in_time = hedge_time < objective;
    return first_is_late && hedge_is_in_time &&
           hedge_time + usual * min_gain_share < remaining_time;
}

} // namespace hibiscustide::core::retry

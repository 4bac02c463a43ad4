#include <hibiscustide/core/retry/repeat.hpp>

#include <algorithm>
#include <chrono>

namespace hibiscustide::core::retry
{

namespace
{

// Work varies, so an answer is taken for lost only well past its time.
constexpr double lost_after = 2.0;

// Work varies: some takes only this part of the usual time.
constexpr double quickest_share = 0.6;

// What is overdue is expected to take this part of its expected time more.
constexpr double least_rest = 0.1;

// The second attempt must be earlier by this part of the usual work.
constexpr double least_gain = 0.3;

} // namespace

double run_forecast::done(time_point now) const noexcept
{
    std::chrono::duration<double> const expected =
        std::max<duration>(m_expected, std::chrono::milliseconds{1});
    return (now - m_began_at) / expected;
}

bool can_answer_in_time(
    double cost, duration usual_work, duration deadline_left) noexcept
{
    std::chrono::duration<double> const usual = usual_work;
    return usual * cost * quickest_share <=
           std::chrono::duration<double>{deadline_left};
}

bool is_worth_repeating(repeat_question const& question) noexcept
{
    using seconds = std::chrono::duration<double>;
    seconds const usual = question.m_usual_work;
    seconds const objective = question.m_objective_left;
    seconds const there = usual * question.m_other_cost;
    if (!can_answer_in_time(
            question.m_other_cost, question.m_usual_work,
            question.m_deadline_left))
    {
        return false;
    }
    double const done = question.m_run.done(question.m_now);
    if (done > lost_after)
    {
        return true;
    }
    seconds const here =
        seconds{question.m_run.m_expected} * std::max(least_rest, 1.0 - done);
    bool const misses = here > objective;
    bool const helps = there < objective;
    return misses && helps && there + usual * least_gain < here;
}

} // namespace hibiscustide::core::retry

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

// The second attempt must be earlier by this part of the usual work.
constexpr double least_gain = 0.3;

} // namespace

progress::progress(duration usual_work, time_point began_at) noexcept
    : m_usual_work{std::max<duration>(
          usual_work, std::chrono::milliseconds{1})},
      m_at{began_at}
{
}

void progress::advance(std::uint32_t slowness, time_point now) noexcept
{
    std::chrono::duration<double> const passed = now - m_at;
    std::chrono::duration<double> const usual = m_usual_work;
    double const factor = std::max<std::uint32_t>(slowness, 20) / 100.0;
    m_done += passed / usual / factor;
    m_at = now;
}

double progress::done() const noexcept
{
    return m_done;
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
    if (question.m_done > lost_after)
    {
        return true;
    }
    seconds const missing = usual * std::max(0.1, 1.0 - question.m_done);
    seconds const here = routing::expected_time(
        question.m_speed, std::chrono::duration_cast<duration>(missing));
    bool const misses = here > objective;
    bool const helps = there < objective;
    return misses && helps && there + usual * least_gain < here;
}

} // namespace hibiscustide::core::retry

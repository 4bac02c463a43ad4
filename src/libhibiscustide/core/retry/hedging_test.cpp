#include <hibiscustide/core/retry/hedging.hpp>

#include <doctest/doctest.h>

namespace retry = hibiscustide::core::retry;
using namespace std::chrono_literals;

namespace
{

hibiscustide::core::time_point const start{1h};

retry::hedge_conditions make_conditions()
{
    return {
        .m_run = {.m_began_at = start, .m_expected = 1'400ms},
        .m_now = start + 200ms,
        .m_other_cost = 1.2,
        .m_usual_work = 200ms,
        .m_objective_left = 500ms,
        .m_deadline_left = 2s};
}

} // namespace

TEST_CASE("a slow request is hedged if the second attempt meets the objective")
{
    CHECK(retry::should_hedge(make_conditions()));
}

TEST_CASE("a request that will meet its objective is not hedged")
{
    auto conditions = make_conditions();
    conditions.m_run.m_expected = 200ms;
    CHECK_FALSE(retry::should_hedge(conditions));
}

TEST_CASE("a request is not hedged if the second attempt would be late as well")
{
    auto conditions = make_conditions();
    conditions.m_other_cost = 4;
    CHECK_FALSE(retry::should_hedge(conditions));
    conditions = make_conditions();
    conditions.m_deadline_left = 50ms;
    CHECK_FALSE(retry::should_hedge(conditions));
}

TEST_CASE("a request is hedged if its answer is long overdue and the deadline "
          "allows it")
{
    auto conditions = make_conditions();
    conditions.m_run.m_expected = 200ms;
    conditions.m_now = start + 600ms;
    conditions.m_objective_left = -100ms;
    CHECK(retry::should_hedge(conditions));
    conditions.m_deadline_left = 10ms;
    CHECK_FALSE(retry::should_hedge(conditions));
}

TEST_CASE("a request that failed at its deadline has no time for another "
          "attempt")
{
    CHECK_FALSE(retry::can_answer_in_time(1.0, 200ms, 2ms));
    CHECK(retry::can_answer_in_time(1.0, 200ms, 150ms));
}

TEST_CASE("progress is the elapsed share of the expected time")
{
    retry::run_forecast const run{.m_began_at = start, .m_expected = 200ms};
    CHECK(run.progress(start + 100ms) == doctest::Approx(0.5));
    CHECK(run.progress(start + 400ms) == doctest::Approx(2.0));
}

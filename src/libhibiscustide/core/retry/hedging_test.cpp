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

TEST_CASE("a request that turned slow is repeated where that saves it")
{
    CHECK(retry::should_hedge(make_conditions()));
}

TEST_CASE("a request that will be in time is not repeated")
{
    auto conditions = make_conditions();
    conditions.m_run.m_expected = 200ms;
    CHECK_FALSE(retry::should_hedge(conditions));
}

TEST_CASE("a request that can't be saved is not repeated")
{
    auto conditions = make_conditions();
    conditions.m_other_cost = 4;
    CHECK_FALSE(retry::should_hedge(conditions));
    conditions = make_conditions();
    conditions.m_deadline_left = 50ms;
    CHECK_FALSE(retry::should_hedge(conditions));
}

TEST_CASE("an answer that is long overdue is taken for lost")
{
    auto conditions = make_conditions();
    conditions.m_run.m_expected = 200ms;
    conditions.m_now = start + 600ms;
    conditions.m_objective_left = -100ms;
    CHECK(retry::should_hedge(conditions));
    conditions.m_deadline_left = 10ms;
    CHECK_FALSE(retry::should_hedge(conditions));
}

TEST_CASE("what ended at its deadline has no time for another attempt")
{
    CHECK_FALSE(retry::can_answer_in_time(1.0, 200ms, 2ms));
    CHECK(retry::can_answer_in_time(1.0, 200ms, 150ms));
}

TEST_CASE("a run is done when its expected time has passed")
{
    retry::run_forecast const run{.m_began_at = start, .m_expected = 200ms};
    CHECK(run.progress(start + 100ms) == doctest::Approx(0.5));
    CHECK(run.progress(start + 400ms) == doctest::Approx(2.0));
}

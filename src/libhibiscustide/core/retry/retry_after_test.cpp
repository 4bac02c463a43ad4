#include <hibiscustide/core/retry/retry_after.hpp>

#include <algorithm>
#include <array>
#include <random>

#include <doctest/doctest.h>

namespace retry = hibiscustide::core::retry;
using namespace std::chrono_literals;

namespace
{

retry::refusal make_refusal(std::chrono::milliseconds capacity_expected_in)
{
    return {
        .m_capacity_expected_in = capacity_expected_in,
        .m_usual_work = 100ms,
        .m_objective_left = 1'500ms,
        .m_deadline_left = 6s,
        .m_caller_left = 6s};
}

} // namespace

TEST_CASE("a caller that can be answered in time waits for the expected "
          "capacity, and at least for the minimum")
{
    CHECK(
        retry::compute_retry_after(make_refusal(0ms), 0.0) ==
        retry::min_retry_after);
    CHECK(retry::compute_retry_after(make_refusal(800ms), 0.0) == 800ms);
    CHECK(retry::compute_retry_after(make_refusal(800ms), 1.0) == 1'200ms);
}

// An early retry would take capacity from requests that can still be answered
// in time.
TEST_CASE("a caller that cannot be answered in time waits nearly as long as it "
          "may")
{
    auto late = make_refusal(100ms);
    late.m_objective_left = -200ms;
    CHECK(retry::compute_retry_after(late, 0.0) == 2'000ms);
    CHECK(retry::compute_retry_after(late, 1.0) == 1'500ms);
    late.m_overloaded = false;
    CHECK(retry::compute_retry_after(late, 0.0) == 100ms);
    late.m_overloaded = true;
    late.m_capacity_expected_in = 3s;
    CHECK(retry::compute_retry_after(late, 0.0) == 3'000ms);
}

// With a deadline of 600 ms, refusals named times after it: a cold service
// expects capacity later than that.
TEST_CASE("the time after which a caller should retry lies before its deadline")
{
    auto refused = make_refusal(800ms);
    refused.m_objective_left = 250ms;
    for (auto const deadline_left : {600ms, 300ms, 120ms})
    {
        refused.m_deadline_left = deadline_left / 2;
        refused.m_caller_left = deadline_left;
        for (bool const overloaded : {true, false})
        {
            refused.m_overloaded = overloaded;
            auto const longest = retry::compute_retry_after(refused, 0.0);
            CHECK(longest <= deadline_left / 3);
            CHECK(longest >= deadline_left / 3 - 1ms);
            auto const shortest = retry::compute_retry_after(refused, 1.0);
            CHECK(shortest <= deadline_left / 4);
            CHECK(shortest >= deadline_left / 4 - 1ms);
        }
    }
    refused.m_caller_left = 59ms;
    CHECK(retry::compute_retry_after(refused, 0.0) == 0ms);
    refused.m_caller_left = -1ms;
    CHECK(retry::compute_retry_after(refused, 0.0) == 0ms);
}

TEST_CASE("replay of a burst: callers refused together retry spread over time")
{
    constexpr std::size_t callers = 1'000;
    std::mt19937_64 random{3};
    std::uniform_real_distribution<double> draw{0.0, 1.0};
    // Capacity is free after 400 ms; from then on, retries are counted in
    // intervals of 20 ms.
    std::array<std::size_t, 11> returns{};
    for (std::size_t n = 0; n < callers; ++n)
    {
        auto const after =
            retry::compute_retry_after(make_refusal(400ms), draw(random)) -
            400ms;
        ++returns.at(static_cast<std::size_t>(after / 20ms));
    }
    CHECK(*std::max_element(returns.begin(), returns.end()) < callers / 6);
}

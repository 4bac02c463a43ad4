#include <hibiscustide/core/retry/retry_after.hpp>

#include <algorithm>
#include <array>
#include <random>

#include <doctest/doctest.h>

namespace retry = hibiscustide::core::retry;
using namespace std::chrono_literals;

TEST_CASE("a retry waits for the expected capacity, and at least the minimum")
{
    CHECK(retry::compute_retry_after(0ms, 0.0) == retry::min_retry_after);
    CHECK(retry::compute_retry_after(800ms, 0.0) == 800ms);
    CHECK(retry::compute_retry_after(800ms, 1.0) == 1'200ms);
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
            retry::compute_retry_after(400ms, draw(random)) - 400ms;
        ++returns.at(static_cast<std::size_t>(after / 20ms));
    }
    CHECK(*std::max_element(returns.begin(), returns.end()) < callers / 6);
}

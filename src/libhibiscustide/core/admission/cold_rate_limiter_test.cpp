#include <hibiscustide/core/admission/cold_rate_limiter.hpp>

#include <deque>

#include <doctest/doctest.h>

using hibiscustide::core::time_point;
using hibiscustide::core::admission::cold_rate_limiter;
using namespace std::chrono_literals;

namespace
{

time_point const start{1h};

} // namespace

TEST_CASE("a target that has just become cold gets no request at once")
{
    cold_rate_limiter rate;
    rate.set_max_rate(26);
    rate.start_empty(start);
    CHECK_FALSE(rate.try_acquire(start));
    CHECK(rate.next_token_at(start) > start);
    CHECK(rate.try_acquire(start + 100ms));
}

TEST_CASE(
    "replay of bursts: no second exceeds the maximum rate, and the busiest one "
    "uses at least 80 % of it")
{
    constexpr double max_rate = 26;
    cold_rate_limiter rate;
    rate.set_max_rate(max_rate);
    rate.start_empty(start);
    std::deque<time_point> taken;
    std::size_t max_tokens = 0;
    for (auto now = start; now < start + 20s; now += 1ms)
    {
        // Pauses between the bursts let tokens accumulate.
        bool const is_pause = (now - start) % 3s < 700ms;
        if (!is_pause && rate.try_acquire(now))
        {
            taken.push_back(now);
        }
        while (!taken.empty() && taken.front() + 1s <= now)
        {
            taken.pop_front();
        }
        max_tokens = std::max(max_tokens, taken.size());
    }
    CHECK(max_tokens <= max_rate);
    CHECK(max_tokens >= max_rate * 0.8);
}

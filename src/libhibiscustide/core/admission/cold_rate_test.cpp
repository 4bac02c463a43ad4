#include <hibiscustide/core/admission/cold_rate.hpp>

#include <deque>

#include <doctest/doctest.h>

using hibiscustide::core::time_point;
using hibiscustide::core::admission::cold_rate;
using namespace std::chrono_literals;

namespace
{

time_point const start{1h};

} // namespace

TEST_CASE("a target that has just turned cold gets nothing at once")
{
    cold_rate rate;
    rate.set_bound(26);
    rate.start(start);
    CHECK_FALSE(rate.take(start));
    CHECK(rate.next(start) > start);
    CHECK(rate.take(start + 100ms));
}

TEST_CASE(
    "replay of a herd: every second stays within the bound and uses most of it")
{
    constexpr double bound = 26;
    cold_rate rate;
    rate.set_bound(bound);
    rate.start(start);
    std::deque<time_point> taken;
    std::size_t most = 0;
    for (auto now = start; now < start + 20s; now += 1ms)
    {
        // Bursts with silence between them, so that tokens gather.
        bool const is_quiet = (now - start) % 3s < 700ms;
        if (!is_quiet && rate.take(now))
        {
            taken.push_back(now);
        }
        while (!taken.empty() && taken.front() + 1s <= now)
        {
            taken.pop_front();
        }
        most = std::max(most, taken.size());
    }
    CHECK(most <= bound);
    CHECK(most >= bound * 0.8);
}

#include <hibiscustide/core/routing/speed.hpp>

#include <random>

#include <doctest/doctest.h>

namespace routing = hibiscustide::core::routing;
using hibiscustide::core::time_point;
using namespace std::chrono_literals;

namespace
{

time_point const start{1h};

double to_ms(hibiscustide::core::duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

} // namespace

TEST_CASE("work keeps the speed at which it begins")
{
    routing::speed const slow{
        .m_slowness = 700, .m_mean_slowness = 200, .m_remaining_ms = 350};
    CHECK(to_ms(processing_time_now(slow, 550ms)) == doctest::Approx(3'850));
    CHECK(
        to_ms(processing_time_after(slow, 100ms, 550ms)) ==
        doctest::Approx(3'850));
    CHECK(
        to_ms(processing_time_after(slow, 350ms, 550ms)) ==
        doctest::Approx(1'100));
}

TEST_CASE("on a slow VM short work begins at once and long work waits")
{
    routing::speed const slow{
        .m_slowness = 700, .m_mean_slowness = 200, .m_remaining_ms = 350};
    CHECK(to_ms(best_wait(slow, 50ms)) == 0);
    CHECK(to_ms(expected_completion_time(slow, 50ms)) == doctest::Approx(350));
    CHECK(to_ms(best_wait(slow, 550ms)) == 350);
    CHECK(
        to_ms(expected_completion_time(slow, 550ms)) == doctest::Approx(1'450));
    CHECK(to_ms(routing::best_wait({}, 550ms)) == 0);
}

TEST_CASE("the wait for a VM that stays slow ends within 2 s")
{
    routing::speed_history history;
    auto now = start;
    for (int n = 0; n < 100; ++n, now += 40ms)
    {
        history.on_report(n / 12 % 4 == 0 ? 700 : 100, now);
    }
    auto const turned_slow_at = now;
    history.on_report(700, now);
    CHECK(best_wait(history.forecast(now), 220ms) > 0ms);
    while (best_wait(history.forecast(now), 220ms) > 0ms)
    {
        now += 40ms;
        history.on_report(700, now);
        REQUIRE(now < turned_slow_at + 3s);
    }
    CHECK(now - turned_slow_at < 2s);
}

TEST_CASE(
    "with noisy neighbours, the forecast follows the mean and the periods")
{
    std::mt19937_64 random{7};
    std::bernoulli_distribution slow{0.25};
    routing::speed_history history;
    auto now = start;
    double slowness_sum = 0;
    int reports = 0;
    for (int period = 0; period < 120; ++period)
    {
        std::uint32_t const slowness = slow(random) ? 700 : 100;
        for (int n = 0; n < 12; ++n)
        {
            now += 41ms;
            history.on_report(slowness, now);
            slowness_sum += slowness;
            ++reports;
        }
    }
    auto const forecast = history.forecast(now);
    double const mean = slowness_sum / reports;
    CHECK(forecast.m_mean_slowness > mean * 0.5);
    CHECK(forecast.m_mean_slowness < mean * 1.6);
    history.on_report(forecast.m_slowness > 300 ? 100 : 700, now + 1ms);
    auto const fresh = history.forecast(now + 1ms);
    CHECK(fresh.m_remaining_ms > 400);
    CHECK(fresh.m_remaining_ms < 1'800);
}

TEST_CASE("a first report from a slow period does not set the mean")
{
    routing::speed_history history;
    history.on_report(1'400, start);
    CHECK(to_ms(best_wait(history.forecast(start), 160ms)) > 0);
    CHECK(
        to_ms(expected_completion_time(history.forecast(start), 160ms)) <
        1'000);
}

TEST_CASE("small changes of slowness continue the period")
{
    routing::speed_history history;
    history.on_report(100, start);
    history.on_report(115, start + 100ms);
    history.on_report(95, start + 200ms);
    CHECK(history.forecast(start + 200ms).m_slowness == 100);
}

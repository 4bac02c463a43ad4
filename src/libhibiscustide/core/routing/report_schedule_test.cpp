#include <hibiscustide/core/routing/report_schedule.hpp>

#include <string>

#include <doctest/doctest.h>

namespace routing = hibiscustide::core::routing;
using namespace std::chrono_literals;

namespace
{

hibiscustide::core::time_point const start{1h};

constexpr routing::report_schedule_options options{
    .m_min_slowness_ratio = 1.4,
    .m_min_load_change = 0.3,
    .m_min_interval = 20ms,
    .m_max_interval = 1'500ms};

routing::target_report make_report(
    std::uint32_t running, std::uint32_t slowness = 100)
{
    return {
        .m_running = running,
        .m_slots = 10,
        .m_speed = {.m_slowness = slowness}};
}

} // namespace

TEST_CASE("small changes wait for the maximum interval")
{
    routing::report_schedule schedule{options};
    schedule.on_report_sent(make_report(1), start);
    CHECK_FALSE(schedule.is_due(make_report(2, 120), start + 500ms));
    CHECK(schedule.is_due(make_report(2, 120), start + 1'500ms));
}

TEST_CASE("if speed and load are deferred, changes of state are due at once "
          "and changes of speed wait")
{
    auto deferring = options;
    deferring.m_defer_speed_and_load = true;
    routing::report_schedule schedule{deferring};
    schedule.on_report_sent(make_report(1), start);
    CHECK_FALSE(schedule.is_due(make_report(1, 700), start + 500ms));
    CHECK(schedule.is_due(make_report(1, 700), start + 1'500ms));
    auto closed = make_report(1);
    closed.m_open = false;
    CHECK(schedule.is_due(closed, start + 20ms));
    auto failing = make_report(1);
    failing.m_failure_percent = 40;
    CHECK(schedule.is_due(failing, start + 20ms));
}

// Guards against overloading cold targets: after a power failure all targets
// are cold and soon have no capacity left.
TEST_CASE("if speed and load are deferred, changes of the capacity of a cold "
          "target are due at once")
{
    auto deferring = options;
    deferring.m_defer_speed_and_load = true;
    routing::report_schedule schedule{deferring};
    auto cold = make_report(1);
    cold.m_cold = true;
    cold.m_cold_budget = 2;
    schedule.on_report_sent(cold, start);
    cold.m_cold_budget = 0;
    CHECK(schedule.is_due(cold, start + 20ms));
}

TEST_CASE("all of a few receivers follow and about the expected number of many")
{
    CHECK(routing::is_follower("a", "b", routing::expected_followers));
    constexpr std::size_t receivers = 600;
    std::size_t followers = 0;
    for (std::size_t n = 0; n < receivers; ++n)
    {
        followers += routing::is_follower(
                         "10.0.0.1", "10.1.0." + std::to_string(n), receivers)
                         ? 1
                         : 0;
    }
    CHECK(followers >= routing::expected_followers / 2);
    CHECK(followers <= routing::expected_followers * 2);
}

TEST_CASE("a change of speed, load or state is due after the minimum interval")
{
    routing::report_schedule schedule{options};
    schedule.on_report_sent(make_report(1), start);
    CHECK(schedule.is_due(make_report(1, 700), start + 20ms));
    CHECK(schedule.is_due(make_report(5), start + 20ms));
    auto closed = make_report(1);
    closed.m_open = false;
    CHECK(schedule.is_due(closed, start + 20ms));
    CHECK_FALSE(schedule.is_due(closed, start + 10ms));
}

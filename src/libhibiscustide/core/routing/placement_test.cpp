#include <hibiscustide/core/routing/placement.hpp>

#include <array>
#include <cmath>
#include <random>
#include <vector>

#include <doctest/doctest.h>

namespace routing = hibiscustide::core::routing;
using hibiscustide::core::duration;
using hibiscustide::core::time_point;
using namespace std::chrono_literals;

namespace
{

time_point const start{1h};

routing::target_report make_report(
    std::uint32_t running, std::uint32_t slowness = 100)
{
    return {
        .m_running = running,
        .m_slots = 10,
        .m_speed = {
            .m_slowness = slowness,
            .m_mean_slowness = 150,
            .m_remaining_ms = 500}};
}

routing::target_view make_view(routing::target_report const& report)
{
    routing::target_view view;
    view.on_report(report, 1, start);
    return view;
}

std::optional<std::size_t> choose(
    std::vector<routing::placement_candidate> const& candidates,
    std::size_t tie = 0, time_point now = start)
{
    return routing::place(candidates, 100ms, tie, now);
}

} // namespace

TEST_CASE(
    "a fast target is preferred to a slow target, a free target to a full "
    "target")
{
    auto const slow = make_view(make_report(0, 700));
    auto const fast = make_view(make_report(3));
    auto const full = make_view(make_report(12));
    CHECK(
        choose({{.m_view = &slow}, {.m_view = &fast}, {.m_view = &full}}) == 1);
}

TEST_CASE("a request is refused by the reports only if no target admits it in "
          "time")
{
    auto full_report = make_report(10);
    full_report.m_wait_ms = 300;
    auto const full = make_view(full_report);
    auto const free = make_view(make_report(3));
    routing::request_needs const needs{
        .m_usual_work = 100ms,
        .m_objective_left = 350ms,
        .m_deadline_left = 2s};
    auto const wait_for =
        [&needs](std::vector<routing::placement_candidate> const& candidates)
    {
        return routing::expected_wait_for_room(candidates, needs, start);
    };
    CHECK(wait_for({{.m_view = &full}}) == 300ms);
    CHECK_FALSE(wait_for({{.m_view = &full}, {.m_view = &free}}).has_value());
    // Nothing is known about the load if no target may be chosen.
    CHECK_FALSE(wait_for({}).has_value());
    CHECK_FALSE(
        wait_for({{.m_view = &full, .m_responsive = false}}).has_value());
    CHECK(
        wait_for({{.m_view = &full}, {.m_view = &free, .m_excluded = true}}) ==
        300ms);
}

TEST_CASE("a reported wait gets shorter with its age and longer with requests "
          "that are sent")
{
    auto full_report = make_report(10);
    full_report.m_wait_ms = 300;
    auto full = make_view(full_report);
    std::vector<routing::placement_candidate> const candidates{
        {.m_view = &full}};
    routing::request_needs const needs{
        .m_usual_work = 100ms,
        .m_objective_left = 200ms,
        .m_deadline_left = 2s};
    CHECK(
        routing::expected_wait_for_room(candidates, needs, start + 100ms) ==
        200ms);
    full.on_sent();
    CHECK(
        routing::expected_wait_for_room(candidates, needs, start + 100ms) ==
        210ms);
}

TEST_CASE("an urgent request needs only to meet its deadline")
{
    auto full_report = make_report(10);
    full_report.m_wait_ms = 300;
    auto const full = make_view(full_report);
    std::vector<routing::placement_candidate> const candidates{
        {.m_view = &full}};
    routing::request_needs needs{
        .m_usual_work = 100ms,
        .m_objective_left = 200ms,
        .m_deadline_left = 500ms,
        .m_urgent = true};
    CHECK_FALSE(
        routing::expected_wait_for_room(candidates, needs, start).has_value());
    CHECK_FALSE(routing::has_tried_enough({.m_expected = 2}, needs));
    CHECK(routing::has_tried_enough({.m_expected = 3}, needs));
    needs.m_deadline_left = 350ms;
    CHECK(
        routing::expected_wait_for_room(candidates, needs, start).has_value());
    needs.m_urgent = false;
    CHECK(routing::has_tried_enough({.m_expected = 1}, needs));
}

TEST_CASE("after a gate with an old report had no room, two others are tried")
{
    auto const view = make_view(make_report(3));
    routing::request_needs const needs{.m_usual_work = 100ms};
    routing::full_gates refused;
    refused.count(view, start + 1s);
    CHECK_FALSE(routing::has_tried_enough(refused, needs));
    refused.count(view, start + 1s);
    CHECK_FALSE(routing::has_tried_enough(refused, needs));
    refused.count(view, start + 1s);
    CHECK(routing::has_tried_enough(refused, needs));
    refused = {};
    refused.count(view, start + 50ms);
    CHECK(routing::has_tried_enough(refused, needs));
}

TEST_CASE("a gate without room is avoided until it expects room or sends a "
          "report")
{
    auto view = make_view(make_report(3));
    std::vector<routing::placement_candidate> const candidates{
        {.m_view = &view}};
    routing::request_needs const needs{
        .m_usual_work = 100ms,
        .m_objective_left = 200ms,
        .m_deadline_left = 2s};
    view.on_full(400ms, start);
    auto const wait_at = [&](duration passed)
    {
        return routing::expected_wait_for_room(
            candidates, needs, start + passed);
    };
    CHECK(wait_at(100ms) == 300ms);
    CHECK_FALSE(wait_at(400ms).has_value());
    view.on_report(make_report(3), 2, start + 100ms);
    CHECK_FALSE(wait_at(100ms).has_value());
}

TEST_CASE("the same failure domain decides only between similar costs")
{
    auto const here = make_view(make_report(3));
    auto const there = make_view(make_report(1));
    CHECK(
        choose(
            {{.m_view = &there}, {.m_view = &here, .m_same_domain = true}}) ==
        1);
    auto const slow = make_view(make_report(3, 700));
    CHECK(
        choose(
            {{.m_view = &there}, {.m_view = &slow, .m_same_domain = true}}) ==
        0);
}

TEST_CASE("own requests count until a newer report arrives")
{
    auto first = make_view(make_report(0));
    auto const second = make_view(make_report(1));
    std::vector<routing::placement_candidate> const both{
        {.m_view = &first}, {.m_view = &second}};
    CHECK(choose(both) == 0);
    first.on_sent();
    first.on_sent();
    CHECK(choose(both) == 1);
    first.on_ended();
    first.on_ended();
    first.on_report(make_report(0), 2, start + 10ms);
    CHECK(choose(both) == 0);
    first.on_report(make_report(9), 1, start + 20ms);
    CHECK(choose(both) == 0);
}

TEST_CASE("closed, failing, cold and ejected targets are ranked last")
{
    auto closed_report = make_report(0);
    closed_report.m_open = false;
    auto const closed = make_view(closed_report);
    auto failing_report = make_report(0);
    failing_report.m_failure_percent = 50;
    auto const failing = make_view(failing_report);
    auto cold_report = make_report(0);
    cold_report.m_cold = true;
    auto const cold = make_view(cold_report);
    auto const busy = make_view(make_report(9));
    CHECK(
        choose(
            {{.m_view = &closed},
             {.m_view = &failing},
             {.m_view = &cold},
             {.m_view = &busy}}) == 3);
    auto ejected = make_view(make_report(0));
    ejected.on_failed(start);
    CHECK(choose({{.m_view = &ejected}, {.m_view = &busy}}) == 1);
    CHECK(
        choose({{.m_view = &ejected}, {.m_view = &busy}}, 0, start + 3s) == 0);
    CHECK(choose({{.m_view = &closed}}) == 0);
    CHECK_FALSE(choose({{.m_view = &closed, .m_excluded = true}}).has_value());
}

// Guards against choosing a target whose node is down: after a power failure of
// all VMs, some nodes are up and others are still starting.
TEST_CASE("a target without a recent report is ranked last")
{
    routing::target_view const unreported;
    auto const slow = make_view(make_report(5, 700));
    std::vector<routing::placement_candidate> const both{
        {.m_view = &unreported}, {.m_view = &slow}};
    CHECK(choose(both) == 1);
    CHECK(choose({{.m_view = &unreported}}) == 0);
    // A node sends a report at least every 1.5 s, even without a change.
    auto const stale = make_view(make_report(0));
    auto const later =
        start + routing::target_view::other_domain_report_timeout + 1ms;
    auto busy = make_view(make_report(5));
    busy.on_report(make_report(5), 2, later);
    std::vector<routing::placement_candidate> const old_and_new{
        {.m_view = &stale}, {.m_view = &busy}};
    CHECK(choose(old_and_new) == 0);
    CHECK(choose(old_and_new, 0, later) == 1);
}

// Guards against choosing a target on a VM that is paused for seconds: nodes of
// the same failure domain report often, and a link with requests in flight is
// pinged.
TEST_CASE("a target whose node may be paused is ranked last")
{
    auto const same_domain = make_view(make_report(0));
    auto busy = make_view(make_report(5));
    auto const later =
        start + routing::target_view::same_domain_report_timeout + 1ms;
    busy.on_report(make_report(5), 2, later);
    CHECK(
        choose(
            {{.m_view = &same_domain, .m_same_domain = true},
             {.m_view = &busy}},
            0, later) == 1);
    CHECK(
        choose(
            {{.m_view = &same_domain, .m_responsive = false},
             {.m_view = &busy}}) == 1);
}

TEST_CASE(
    "an old report holds if every change is reported, otherwise the mean holds")
{
    routing::target_view followed;
    followed.on_report(make_report(0, 700), 1, start, true);
    routing::target_view other;
    other.on_report(make_report(0, 700), 1, start, false);
    CHECK(other.speed_at(start + 499ms).m_slowness == 700);
    CHECK(other.speed_at(start + 500ms).m_slowness == 150);
    CHECK(followed.speed_at(start + 500ms).m_slowness == 700);
}

TEST_CASE("the lowest cost covers only reachable targets with capacity")
{
    auto closed_report = make_report(0);
    closed_report.m_open = false;
    auto const closed = make_view(closed_report);
    routing::target_view const unreported;
    auto const busy = make_view(make_report(5));
    std::vector<routing::placement_candidate> candidates{
        {.m_view = &closed},
        {.m_view = &unreported},
        {.m_view = &busy, .m_same_domain = true}};
    auto const expected =
        routing::expected_cost(candidates.back(), 100ms, start);
    CHECK(routing::min_expected_cost(candidates, 100ms, start) == expected);
    candidates.back().m_excluded = true;
    CHECK(std::isinf(routing::min_expected_cost(candidates, 100ms, start)));
}

TEST_CASE("the tie value decides between equal targets")
{
    auto const one = make_view(make_report(0));
    auto const other = make_view(make_report(0));
    std::vector<routing::placement_candidate> const both{
        {.m_view = &one}, {.m_view = &other}};
    CHECK(choose(both, 0) == 0);
    CHECK(choose(both, 1) == 1);
}

// Simulates five targets, a request every 20 ms and work of 100 ms. Every half
// second each target becomes seven times as slow with a probability of a
// quarter. Work keeps the speed at which it begins; gates with a speed report
// begin it when it is expected to end earliest. Returns the share of requests
// that finish within three usual processing times.
static double share_in_time(bool by_speed)
{
    constexpr std::size_t targets = 5;
    constexpr int step_ms = 5;
    constexpr int steps = 24'000;
    std::mt19937_64 random{11};
    std::bernoulli_distribution is_slow{0.25};
    std::array<double, targets> slowness{};
    std::array<routing::speed_history, targets> history;
    std::array<routing::target_view, targets> views;
    std::array<std::uint64_t, targets> sequences{};
    struct running
    {
        std::size_t m_target;
        double m_left_ms;
        int m_age_ms;
        double m_slowness; // 0 before it begins
    };
    std::vector<running> requests;
    int done = 0;
    int in_time = 0;
    auto now = start;
    for (int n = 0; n < steps; ++n, now += std::chrono::milliseconds{step_ms})
    {
        if (n % (500 / step_ms) == 0)
        {
            for (auto& each : slowness)
            {
                each = is_slow(random) ? 7.0 : 1.0;
            }
        }
        for (std::size_t t = 0; t < targets && n % 8 == 0; ++t)
        {
            history[t].on_report(
                static_cast<std::uint32_t>(slowness[t] * 100), now);
            routing::target_report report{.m_slots = 10};
            for (auto const& each : requests)
            {
                report.m_running += each.m_target == t ? 1 : 0;
            }
            if (by_speed)
            {
                report.m_speed = history[t].forecast(now);
            }
            views[t].on_report(report, ++sequences[t], now);
        }
        if (n % (20 / step_ms) == 0)
        {
            std::vector<routing::placement_candidate> candidates;
            candidates.reserve(views.size());
            for (auto const& view : views)
            {
                candidates.push_back({.m_view = &view, .m_same_domain = true});
            }
            auto const chosen =
                *routing::place(candidates, 100ms, random(), now);
            views[chosen].on_sent();
            requests.push_back({chosen, 100.0, 0, 0.0});
        }
        std::erase_if(
            requests,
            [&](running& each)
            {
                auto const wait = routing::best_wait(
                    views[each.m_target].report().m_speed, 100ms);
                if (each.m_slowness == 0 && wait == 0ms)
                {
                    each.m_slowness = slowness[each.m_target];
                }
                each.m_left_ms -=
                    each.m_slowness > 0 ? step_ms / each.m_slowness : 0;
                each.m_age_ms += step_ms;
                bool const ended = each.m_left_ms <= 0;
                if (ended)
                {
                    views[each.m_target].on_ended();
                    ++done;
                    in_time += each.m_age_ms <= 300 ? 1 : 0;
                }
                return ended;
            });
    }
    return static_cast<double>(in_time) / done;
}

TEST_CASE(
    "with noisy neighbours, placement by speed finishes more requests in time "
    "than placement by load alone")
{
    auto const by_load = share_in_time(false);
    auto const by_speed = share_in_time(true);
    MESSAGE("in time by load ", by_load, ", by speed ", by_speed);
    CHECK(by_speed > by_load + 0.05);
    CHECK(by_speed > 0.9);
}

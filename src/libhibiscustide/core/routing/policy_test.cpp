#include <hibiscustide/core/routing/policy.hpp>

#include <array>
#include <map>

#include <doctest/doctest.h>

#include <hibiscustide/core/retry/budget.hpp>
#include <hibiscustide/core/routing/routes.hpp>

#include "core/release/test_notes.hpp"

namespace routing = hibiscustide::core::routing;
using routing::load_report;
using routing::target_load;
using namespace std::chrono_literals;

namespace
{

hibiscustide::core::time_point const start{1h};

void report(target_load& load, load_report const& value)
{
    load.began(start);
    load.ended(start, start, value);
}

std::map<std::size_t, int> draw(
    routing::policy how, std::array<target_load, 4> const& loads, int count)
{
    std::vector<routing::candidate> members;
    members.reserve(loads.size());
    for (auto const& load : loads)
    {
        members.push_back({.m_load = &load});
    }
    routing::random_engine random{11};
    std::map<std::size_t, int> picked;
    for (int n = 0; n < count; ++n)
    {
        ++picked[routing::choose(how, members, start, random)];
    }
    return picked;
}

} // namespace

TEST_CASE("every named policy exists and no other")
{
    for (auto const name : routing::policy_names())
    {
        CHECK(routing::policy_from(name));
    }
    CHECK_FALSE(routing::policy_from("best"));
}

TEST_CASE("sampled load leaves a slow and a full target nearly alone")
{
    std::array<target_load, 4> loads;
    for (auto& load : loads)
    {
        report(load, {.m_in_flight = 5, .m_limit = 20, .m_latency_us = 1'000});
    }
    report(loads[1], {.m_in_flight = 5, .m_limit = 20, .m_latency_us = 9'000});
    report(loads[2], {.m_in_flight = 20, .m_limit = 20, .m_latency_us = 500});
    auto picked = draw(routing::sampled_load{}, loads, 1'000);
    CHECK(picked[1] + picked[2] < 300);
    CHECK(picked[0] > 250);
    CHECK(picked[3] > 250);
}

TEST_CASE("sampled load does not herd to the best target")
{
    std::array<target_load, 4> loads;
    for (auto& load : loads)
    {
        report(load, {.m_in_flight = 5, .m_limit = 20, .m_latency_us = 1'000});
    }
    report(loads[0], {.m_in_flight = 1, .m_limit = 20, .m_latency_us = 900});
    auto picked = draw(routing::sampled_load{}, loads, 1'000);
    CHECK(picked[0] < 700);
    CHECK(picked.size() == 4);
}

TEST_CASE("round robin takes turns and least in flight takes the idlest")
{
    std::array<target_load, 4> loads;
    for (auto const& [position, count] :
         draw(routing::round_robin{}, loads, 40))
    {
        CHECK(position < loads.size());
        CHECK(count == 10);
    }
    for (auto& load : loads)
    {
        load.began(start);
    }
    loads[3].ended(start, start, std::nullopt);
    CHECK(draw(routing::least_in_flight{}, loads, 50)[3] == 50);
}

TEST_CASE("a report fades and what was sent since is added")
{
    target_load load;
    report(load, {.m_in_flight = 10, .m_limit = 10, .m_latency_us = 1'000});
    CHECK(load.estimated_use(start) == doctest::Approx(1.0));
    CHECK(load.estimated_use(start + 100ms) == doctest::Approx(0.5));
    load.began(start + 100ms);
    CHECK(load.estimated_use(start + 100ms) == doctest::Approx(0.6));
}

TEST_CASE("an answer that was overtaken does not replace a newer report")
{
    target_load load;
    load.began(start);
    load.began(start + 2ms);
    load.ended(start + 2ms, start + 3ms, {{.m_in_flight = 1, .m_limit = 10}});
    load.ended(start, start + 4ms, {{.m_in_flight = 9, .m_limit = 10}});
    CHECK(load.estimated_use(start + 3ms) < 0.2);
}

TEST_CASE("a failed target is left out for longer each time, up to 2 s")
{
    target_load load;
    load.failed(start);
    CHECK_FALSE(load.is_available(start + 49ms));
    CHECK(load.is_available(start + 50ms));
    load.failed(start);
    CHECK_FALSE(load.is_available(start + 99ms));
    for (int n = 0; n < 20; ++n)
    {
        load.failed(start);
    }
    CHECK(load.is_available(start + 2s));
    CHECK_FALSE(load.is_available(start + 1'999ms));
    load.began(start);
    load.ended(start, start, load_report{});
    CHECK(load.is_available(start));
}

TEST_CASE("a load report reads back and nothing else does")
{
    load_report const value{
        .m_in_flight = 3, .m_limit = 20, .m_latency_us = 1'234};
    CHECK(routing::parse_load(routing::to_string(value)) == value);
    for (auto const* const text : {"", "1", "1;2", "1;2;", "1;2;3;", "a;2;3"})
    {
        CHECK_FALSE(routing::parse_load(text));
    }
}

TEST_CASE("the longest route prefix gives the class")
{
    auto const service = hibiscustide::core::release::tests::initial_note()
                             .m_services.m_added.front();
    using hibiscustide::core::release::request_class;
    CHECK(routing::class_of(service, "/x") == request_class::live);
    CHECK(routing::class_of(service, "/orders/7?a=/") == request_class::order);
    CHECK(routing::class_of(service, "/orders/old/7") == request_class::status);
    CHECK(routing::class_of(service, "/?x=/orders/") == request_class::live);
    CHECK_FALSE(routing::class_of(service, "x"));
}

TEST_CASE("retries stay within their share of the traffic")
{
    hibiscustide::core::retry::budget budget;
    int retries = 0;
    for (int n = 0; n < 10'000; ++n)
    {
        budget.earn(0.1);
        retries += budget.spend() ? 1 : 0;
        retries += budget.spend() ? 1 : 0;
    }
    CHECK(retries <= 1'000 + hibiscustide::core::retry::budget::most_saved);
    CHECK(retries >= 900);
}

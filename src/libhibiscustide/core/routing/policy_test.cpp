#include <hibiscustide/core/routing/policy.hpp>

#include <array>
#include <map>

#include <doctest/doctest.h>

#include <hibiscustide/core/retry/retry_budget.hpp>
#include <hibiscustide/core/routing/request_class.hpp>

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
    load.on_attempt_started(start);
    load.on_attempt_ended(start, start, value);
}

std::map<std::size_t, int> count_choices(
    routing::policy selected, std::array<target_load, 4> const& loads,
    int count)
{
    std::vector<routing::candidate> candidates;
    candidates.reserve(loads.size());
    for (auto const& load : loads)
    {
        candidates.push_back({.m_load = &load});
    }
    routing::random_engine random{11};
    std::map<std::size_t, int> counts;
    for (int n = 0; n < count; ++n)
    {
        ++counts[routing::choose(selected, candidates, start, random)];
    }
    return counts;
}

} // namespace

TEST_CASE("each policy name is accepted and other names are rejected")
{
    for (auto const name : routing::policy_names())
    {
        CHECK(routing::parse_policy(name));
    }
    CHECK_FALSE(routing::parse_policy("best"));
}

TEST_CASE("sampled load rarely chooses a slow or a full target")
{
    std::array<target_load, 4> loads;
    for (auto& load : loads)
    {
        report(load, {.m_in_flight = 5, .m_limit = 20, .m_latency_us = 1'000});
    }
    report(loads[1], {.m_in_flight = 5, .m_limit = 20, .m_latency_us = 9'000});
    report(loads[2], {.m_in_flight = 20, .m_limit = 20, .m_latency_us = 500});
    auto counts = count_choices(routing::sampled_load{}, loads, 1'000);
    CHECK(counts[1] + counts[2] < 300);
    CHECK(counts[0] > 250);
    CHECK(counts[3] > 250);
}

TEST_CASE("sampled load does not send most requests to the best target")
{
    std::array<target_load, 4> loads;
    for (auto& load : loads)
    {
        report(load, {.m_in_flight = 5, .m_limit = 20, .m_latency_us = 1'000});
    }
    report(loads[0], {.m_in_flight = 1, .m_limit = 20, .m_latency_us = 900});
    auto counts = count_choices(routing::sampled_load{}, loads, 1'000);
    CHECK(counts[0] < 700);
    CHECK(counts.size() == 4);
}

TEST_CASE(
    "round robin chooses in turn and least in flight the least loaded target")
{
    std::array<target_load, 4> loads;
    for (auto const& [position, count] :
         count_choices(routing::round_robin{}, loads, 40))
    {
        CHECK(position < loads.size());
        CHECK(count == 10);
    }
    for (auto& load : loads)
    {
        load.on_attempt_started(start);
    }
    loads[3].on_attempt_ended(start, start, std::nullopt);
    CHECK(count_choices(routing::least_in_flight{}, loads, 50)[3] == 50);
}

TEST_CASE("the weight of a report decays and attempts sent since it are added")
{
    target_load load;
    report(load, {.m_in_flight = 10, .m_limit = 10, .m_latency_us = 1'000});
    CHECK(load.estimated_utilisation(start) == doctest::Approx(1.0));
    CHECK(load.estimated_utilisation(start + 100ms) == doctest::Approx(0.5));
    load.on_attempt_started(start + 100ms);
    CHECK(load.estimated_utilisation(start + 100ms) == doctest::Approx(0.6));
}

TEST_CASE("a report of an older attempt does not replace a newer report")
{
    target_load load;
    load.on_attempt_started(start);
    load.on_attempt_started(start + 2ms);
    load.on_attempt_ended(
        start + 2ms, start + 3ms, {{.m_in_flight = 1, .m_limit = 10}});
    load.on_attempt_ended(
        start, start + 4ms, {{.m_in_flight = 9, .m_limit = 10}});
    CHECK(load.estimated_utilisation(start + 3ms) < 0.2);
}

TEST_CASE("a failed target is ejected for longer with each failure, up to 2 s")
{
    target_load load;
    load.on_attempt_failed(start);
    CHECK_FALSE(load.is_available(start + 49ms));
    CHECK(load.is_available(start + 50ms));
    load.on_attempt_failed(start);
    CHECK_FALSE(load.is_available(start + 99ms));
    for (int n = 0; n < 20; ++n)
    {
        load.on_attempt_failed(start);
    }
    CHECK(load.is_available(start + 2s));
    CHECK_FALSE(load.is_available(start + 1'999ms));
    load.on_attempt_started(start);
    load.on_attempt_ended(start, start, load_report{});
    CHECK(load.is_available(start));
}

TEST_CASE("only a formatted load report is parsed")
{
    load_report const value{
        .m_in_flight = 3, .m_limit = 20, .m_latency_us = 1'234};
    CHECK(routing::parse_load(routing::to_string(value)) == value);
    for (auto const* const text : {"", "1", "1;2", "1;2;", "1;2;3;", "a;2;3"})
    {
        CHECK_FALSE(routing::parse_load(text));
    }
}

TEST_CASE("the route with the longest matching prefix gives the class")
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
    hibiscustide::core::retry::retry_budget budget;
    int retries = 0;
    for (int n = 0; n < 10'000; ++n)
    {
        budget.deposit(0.1);
        retries += budget.try_withdraw() ? 1 : 0;
        retries += budget.try_withdraw() ? 1 : 0;
    }
    CHECK(
        retries <= 1'000 + hibiscustide::core::retry::retry_budget::max_saved);
    CHECK(retries >= 900);
}

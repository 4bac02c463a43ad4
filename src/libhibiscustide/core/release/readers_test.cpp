#include <hibiscustide/core/release/readers.hpp>

#include <doctest/doctest.h>

#include "core/release/test_notes.hpp"

namespace release = hibiscustide::core::release;
using namespace std::chrono_literals;

TEST_CASE("every failure domain has readers, even if it is withdrawn")
{
    auto note = release::tests::initial_note();
    for (int n = 10; n < 40; ++n)
    {
        auto copy = note.m_targets.m_added[static_cast<std::size_t>(n % 3)];
        copy.m_name = "lookup-" + std::to_string(n);
        copy.m_node = "10.0.1." + std::to_string(n) + ":7400";
        note.m_targets.m_added.push_back(copy);
    }
    note.m_failure_domains.m_withdrawn = {"c"};
    auto const fleet =
        std::get<release::fleet>(release::apply({}, note, "test"));
    for (auto const& domain : fleet.failure_domains())
    {
        std::size_t readers = 0;
        for (auto const& target : fleet.targets())
        {
            bool const in_domain =
                target.m_failure_domain == domain.m_spec.m_name;
            if (in_domain && release::is_reader(fleet, target.m_name))
            {
                ++readers;
            }
        }
        CHECK(readers == release::readers_per_domain);
    }
    CHECK_FALSE(release::is_reader(fleet, "unknown"));
}

TEST_CASE(
    "the total read rate of all nodes stays within the limit of the service")
{
    constexpr std::size_t nodes = 5'700;
    constexpr std::size_t domains = 8;
    constexpr auto readers = domains * release::readers_per_domain;
    auto const sum =
        release::max_read_rate(nodes, domains, true) * readers +
        release::max_read_rate(nodes, domains, false) * (nodes - readers);
    CHECK(sum <= release::max_service_reads_per_second);
    CHECK(sum > 0.5 * release::max_service_reads_per_second);
    // A reader needs two reads for each note. Its rate must be high enough to
    // read a burst of notes without a delay of seconds.
    CHECK(release::max_read_rate(nodes, domains, true) > 20.0);
}

TEST_CASE("the limiter grants no more tokens than the rate and the burst allow")
{
    hibiscustide::core::time_point const start{};
    release::read_rate_limiter limiter{10.0, start};
    int taken = 0;
    for (auto now = start; now < start + 60s; now += 10ms)
    {
        while (limiter.try_take(now))
        {
            ++taken;
        }
    }
    CHECK(taken <= 10 * 60 + release::read_rate_limiter::burst);
    CHECK(taken >= 10 * 60);
}

TEST_CASE("time_to_next returns the time until the next token is available")
{
    hibiscustide::core::time_point now{};
    release::read_rate_limiter limiter{100.0, now};
    while (limiter.try_take(now))
    {
    }
    auto const wait = limiter.time_to_next(now);
    CHECK(wait > 0s);
    CHECK_FALSE(limiter.try_take(now + wait / 2));
    CHECK(limiter.try_take(now + wait + 1ms));
}

#include <hibiscustide/core/orders/home.hpp>

#include <doctest/doctest.h>

#include <hibiscustide/core/orders/key_age.hpp>
#include <hibiscustide/core/orders/key_birth.hpp>

#include "core/release/test_notes.hpp"

namespace orders = hibiscustide::core::orders;
namespace release = hibiscustide::core::release;
namespace tests = hibiscustide::core::release::tests;
using namespace std::chrono_literals;

namespace
{

using fleet_ptr = std::shared_ptr<release::fleet const>;
hibiscustide::core::time_point const start{1h};

fleet_ptr after(fleet_ptr const& before, release::release_note const& note)
{
    auto next = release::apply(*before, note, "test");
    return std::make_shared<release::fleet const>(
        std::get<release::fleet>(std::move(next)));
}

fleet_ptr region()
{
    return after(
        std::make_shared<release::fleet const>(), tests::initial_note());
}

} // namespace

TEST_CASE("only the ranges of a withdrawn node change their home")
{
    auto const whole = region();
    auto const away = after(whole, tests::withdraw_domain("b"));
    std::size_t moved = 0;
    for (std::uint32_t n = 0; n < orders::ranges_per_service; ++n)
    {
        auto const before = orders::home_of(*whole, "lookup", n);
        auto const now = orders::home_of(*away, "lookup", n);
        REQUIRE(before);
        REQUIRE(now);
        CHECK(now->m_name != "lookup-2");
        CHECK((before == now || before->m_name == "lookup-2"));
        moved += before != now ? 1 : 0;
    }
    CHECK(moved > 0);
    CHECK(moved < orders::ranges_per_service);
    CHECK_FALSE(orders::home_of(*whole, "unknown", 0));
}

TEST_CASE("earlier homes are remembered for the horizon")
{
    auto const whole = region();
    auto const away = after(whole, tests::withdraw_domain("b"));
    auto const back = after(away, tests::restore_domain("b"));
    std::uint32_t range = 0;
    while (orders::home_of(*whole, "lookup", range)->m_name != "lookup-2")
    {
        ++range;
    }
    orders::home_history history{"lookup"};
    history.change(whole, start);
    CHECK(history.previous_homes(range, start).empty());
    history.change(away, start + 1s);
    auto const previous = history.previous_homes(range, start + 60s);
    REQUIRE(previous.size() == 1);
    CHECK(previous.front().m_name == "lookup-2");
    CHECK(history.previous_homes(range, start + 62s).empty());
    history.change(back, start + 2s);
    REQUIRE(history.previous_homes(range, start + 3s).size() == 1);
    CHECK(
        history.previous_homes(range, start + 3s).front() ==
        *orders::home_of(*away, "lookup", range));
}

TEST_CASE("a history that overflows says so")
{
    auto const whole = region();
    auto const away = after(whole, tests::withdraw_domain("b"));
    orders::home_history history{"lookup"};
    for (std::size_t n = 0; n < orders::home_history::max_changes + 2; ++n)
    {
        history.change(n % 2 == 0 ? whole : away, start);
    }
    CHECK(history.incomplete_until() > start);
}

TEST_CASE("the birth of a key is read from a UUID of version 7 only")
{
    // The example of RFC 9562, appendix A.6.
    CHECK(
        orders::birth_of("017F22E2-79B0-7CC3-98C4-DC0C0C07398F") ==
        std::chrono::milliseconds{1'645'557'742'000});
    CHECK_FALSE(orders::birth_of("017F22E2-79B0-4CC3-98C4-DC0C0C07398F"));
    CHECK_FALSE(orders::birth_of("017F22E2-79B0-7CC3-C8C4-DC0C0C07398F"));
    CHECK_FALSE(orders::birth_of("017F22E279B07CC398C4DC0C0C07398F"));
    CHECK_FALSE(orders::birth_of("order-17"));
}

TEST_CASE("a young home covers only keys that prove a later birth")
{
    constexpr char const* key = "017F22E2-79B0-7CC3-98C4-DC0C0C07398F";
    auto const birth = *orders::birth_of(key);
    auto const age = [&](std::chrono::milliseconds started,
                         std::chrono::milliseconds now, char const* which)
    {
        return orders::age_of(
            which, {.m_at = start, .m_at_unix = started}, 60s,
            start + (now - started), now);
    };
    using orders::key_age;
    auto const settling = orders::settling_time;
    CHECK(age(birth - settling - 1ms, birth, key) == key_age::covered);
    CHECK(age(birth - settling, birth, key) == key_age::too_old);
    CHECK(age(birth + 1s, birth + 2s, key) == key_age::too_old);
    // Records that began a horizon ago cover keys of any form.
    CHECK(age(birth - 60s, birth, "order-17") == key_age::covered);
    CHECK(age(birth - 59s, birth, "order-17") == key_age::too_old);
    // A key older than the horizon may have run before the records reach.
    CHECK(age(birth - 1h, birth + 2min, key) == key_age::too_old);
}

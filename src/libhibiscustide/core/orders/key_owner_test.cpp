#include <hibiscustide/core/orders/key_owner.hpp>

#include <doctest/doctest.h>

#include <hibiscustide/core/orders/key_age.hpp>
#include <hibiscustide/core/orders/key_creation_time.hpp>

#include "core/release/test_notes.hpp"

namespace orders = hibiscustide::core::orders;
namespace release = hibiscustide::core::release;
namespace tests = hibiscustide::core::release::tests;
using namespace std::chrono_literals;

namespace
{

using fleet_ptr = std::shared_ptr<release::fleet const>;
hibiscustide::core::time_point const start{1h};

fleet_ptr apply_note(fleet_ptr const& before, release::release_note const& note)
{
    auto next = release::apply(*before, note, "test");
    return std::make_shared<release::fleet const>(
        std::get<release::fleet>(std::move(next)));
}

fleet_ptr make_fleet()
{
    return apply_note(
        std::make_shared<release::fleet const>(), tests::initial_note());
}

} // namespace

TEST_CASE("withdrawing a failure domain moves only the ranges of its nodes")
{
    auto const initial = make_fleet();
    auto const withdrawn = apply_note(initial, tests::withdraw_domain("b"));
    std::size_t moved = 0;
    for (std::uint32_t n = 0; n < orders::ranges_per_service; ++n)
    {
        auto const before = orders::owner_of(*initial, "lookup", n);
        auto const now = orders::owner_of(*withdrawn, "lookup", n);
        REQUIRE(before);
        REQUIRE(now);
        CHECK(now->m_name != "lookup-2");
        CHECK((before == now || before->m_name == "lookup-2"));
        moved += before != now ? 1 : 0;
    }
    CHECK(moved > 0);
    CHECK(moved < orders::ranges_per_service);
    CHECK_FALSE(orders::owner_of(*initial, "unknown", 0));
}

TEST_CASE(
    "previous owners of a range are listed until the resend horizon passes")
{
    auto const initial = make_fleet();
    auto const withdrawn = apply_note(initial, tests::withdraw_domain("b"));
    auto const returned = apply_note(withdrawn, tests::restore_domain("b"));
    std::uint32_t range = 0;
    while (orders::owner_of(*initial, "lookup", range)->m_name != "lookup-2")
    {
        ++range;
    }
    orders::owner_history history{"lookup"};
    history.update(initial, start);
    CHECK(history.previous_owners(range, start).empty());
    history.update(withdrawn, start + 1s);
    auto const previous = history.previous_owners(range, start + 60s);
    REQUIRE(previous.size() == 1);
    CHECK(previous.front().m_name == "lookup-2");
    CHECK(history.previous_owners(range, start + 62s).empty());
    history.update(returned, start + 2s);
    REQUIRE(history.previous_owners(range, start + 3s).size() == 1);
    CHECK(
        history.previous_owners(range, start + 3s).front() ==
        *orders::owner_of(*withdrawn, "lookup", range));
}

TEST_CASE("a history with more than max_changes changes is incomplete")
{
    auto const initial = make_fleet();
    auto const withdrawn = apply_note(initial, tests::withdraw_domain("b"));
    orders::owner_history history{"lookup"};
    for (std::size_t n = 0; n < orders::owner_history::max_changes + 2; ++n)
    {
        history.update(n % 2 == 0 ? initial : withdrawn, start);
    }
    CHECK(history.incomplete_until() > start);
}

TEST_CASE("only a UUID of version 7 has a creation time")
{
    // The example of RFC 9562, appendix A.6.
    CHECK(
        orders::creation_time_of("017F22E2-79B0-7CC3-98C4-DC0C0C07398F") ==
        std::chrono::milliseconds{1'645'557'742'000});
    CHECK_FALSE(
        orders::creation_time_of("017F22E2-79B0-4CC3-98C4-DC0C0C07398F"));
    CHECK_FALSE(
        orders::creation_time_of("017F22E2-79B0-7CC3-C8C4-DC0C0C07398F"));
    CHECK_FALSE(orders::creation_time_of("017F22E279B07CC398C4DC0C0C07398F"));
    CHECK_FALSE(orders::creation_time_of("order-17"));
}

TEST_CASE("records younger than the horizon cover only keys created after them")
{
    constexpr char const* key = "017F22E2-79B0-7CC3-98C4-DC0C0C07398F";
    auto const created = *orders::creation_time_of(key);
    auto const age = [&](std::chrono::milliseconds started,
                         std::chrono::milliseconds now, char const* which)
    {
        return orders::key_age_of(
            which, {.m_at = start, .m_at_unix = started}, 60s,
            start + (now - started), now);
    };
    using orders::key_age;
    auto const margin = orders::key_age_margin;
    CHECK(age(created - margin - 1ms, created, key) == key_age::covered);
    CHECK(age(created - margin, created, key) == key_age::too_old);
    CHECK(age(created + 1s, created + 2s, key) == key_age::too_old);
    // Records that began at least a horizon ago cover keys of any form.
    CHECK(age(created - 60s, created, "order-17") == key_age::covered);
    CHECK(age(created - 59s, created, "order-17") == key_age::too_old);
    // The record of a key older than the horizon may have expired.
    CHECK(age(created - 1h, created + 2min, key) == key_age::too_old);
}

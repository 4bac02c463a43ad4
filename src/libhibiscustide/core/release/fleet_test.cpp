#include <hibiscustide/core/release/fleet.hpp>

#include <doctest/doctest.h>

#include "core/release/test_notes.hpp"

namespace release = hibiscustide::core::release;
using hibiscustide::core::field_errors;

namespace
{

release::fleet must_apply(
    release::fleet const& before, release::release_note const& note)
{
    auto result = release::apply(before, note, "test");
    REQUIRE(std::holds_alternative<release::fleet>(result));
    return std::get<release::fleet>(std::move(result));
}

std::string must_reject(
    release::fleet const& before, release::release_note const& note)
{
    auto const result = release::apply(before, note, "test");
    REQUIRE(std::holds_alternative<field_errors>(result));
    return to_string(std::get<field_errors>(result));
}

} // namespace

TEST_CASE("a withdrawn failure domain takes its targets out of service")
{
    auto const before = must_apply({}, release::tests::initial_note());
    CHECK(before.targets_in_service("lookup").size() == 3);
    auto const away = must_apply(before, release::tests::withdraw_domain("b"));
    CHECK(away.targets_in_service("lookup").size() == 2);
    CHECK_FALSE(away.in_service("lookup-2"));
    CHECK(away.find_target("lookup-2") != nullptr);
    auto const back = must_apply(away, release::tests::restore_domain("b"));
    CHECK(back.in_service("lookup-2"));
}

TEST_CASE("a withdrawn target is forgotten")
{
    auto const before = must_apply({}, release::tests::initial_note());
    release::release_note note;
    note.m_targets.m_withdrawn = {"lookup-1"};
    auto const after = must_apply(before, note);
    CHECK(after.find_target("lookup-1") == nullptr);
    CHECK(after.targets_in_service("lookup").size() == 2);
}

TEST_CASE("a checkpoint makes the same fleet")
{
    auto const before = must_apply({}, release::tests::initial_note());
    auto const away = must_apply(before, release::tests::withdraw_domain("b"));
    CHECK(must_apply({}, release::checkpoint_of(away)) == away);
}

TEST_CASE("a note that does not fit is refused with the place")
{
    auto const fleet = must_apply({}, release::tests::initial_note());
    release::release_note note;
    SUBCASE("unknown domain")
    {
        note.m_failure_domains.m_withdrawn = {"x"};
        CHECK(
            must_reject(fleet, note) ==
            "test: failure_domains.withdrawn[0]: 'x' is not in service");
    }
    SUBCASE("domain withdrawn twice")
    {
        auto const away =
            must_apply(fleet, release::tests::withdraw_domain("b"));
        CHECK(
            must_reject(away, release::tests::withdraw_domain("b")) ==
            "test: failure_domains.withdrawn[0]: 'b' is not in service");
    }
    SUBCASE("target that is there")
    {
        note.m_targets.m_added = {fleet.targets().front()};
        CHECK(
            must_reject(fleet, note) ==
            "test: targets.added[0]: 'lookup-1' is there already");
    }
    SUBCASE("target of an unknown service")
    {
        note.m_targets.m_added = {
            {.m_name = "x-1",
             .m_service = "x",
             .m_failure_domain = "a",
             .m_node = "10.0.0.9:1"}};
        CHECK(
            must_reject(fleet, note) ==
            "test: targets[3]: 'x-1' names the unknown service 'x'");
    }
    SUBCASE("two targets behind one node")
    {
        auto copy = fleet.targets().front();
        copy.m_name = "lookup-9";
        note.m_targets.m_added = {copy};
        CHECK(
            must_reject(fleet, note) == "test: targets[3]: 'lookup-9' has the "
                                        "node address of another target");
    }
    SUBCASE("service that still has targets")
    {
        note.m_services.m_withdrawn = {"lookup"};
        CHECK_FALSE(must_reject(fleet, note).empty());
    }
}

#include <hibiscustide/core/release/fleet.hpp>

#include <doctest/doctest.h>

#include "core/release/test_notes.hpp"

namespace release = hibiscustide::core::release;
using hibiscustide::core::field_errors;

namespace
{

release::fleet apply_or_fail(
    release::fleet const& before, release::release_note const& note)
{
    auto result = release::apply(before, note, "test");
    REQUIRE(std::holds_alternative<release::fleet>(result));
    return std::get<release::fleet>(std::move(result));
}

std::string errors_of(
    release::fleet const& before, release::release_note const& note)
{
    auto const result = release::apply(before, note, "test");
    REQUIRE(std::holds_alternative<field_errors>(result));
    return to_string(std::get<field_errors>(result));
}

} // namespace

TEST_CASE("a withdrawn failure domain takes its targets out of service")
{
    auto const before = apply_or_fail({}, release::tests::initial_note());
    CHECK(before.targets_in_service("lookup").size() == 3);
    auto const withdrawn =
        apply_or_fail(before, release::tests::withdraw_domain("b"));
    CHECK(withdrawn.targets_in_service("lookup").size() == 2);
    CHECK_FALSE(withdrawn.in_service("lookup-2"));
    CHECK(withdrawn.find_target("lookup-2") != nullptr);
    auto const restored =
        apply_or_fail(withdrawn, release::tests::restore_domain("b"));
    CHECK(restored.in_service("lookup-2"));
}

TEST_CASE("a withdrawn target is removed from the fleet")
{
    auto const before = apply_or_fail({}, release::tests::initial_note());
    release::release_note note;
    note.m_targets.m_withdrawn = {"lookup-1"};
    auto const after = apply_or_fail(before, note);
    CHECK(after.find_target("lookup-1") == nullptr);
    CHECK(after.targets_in_service("lookup").size() == 2);
}

TEST_CASE("applying a checkpoint to an empty fleet restores the same fleet")
{
    auto const before = apply_or_fail({}, release::tests::initial_note());
    auto const withdrawn =
        apply_or_fail(before, release::tests::withdraw_domain("b"));
    CHECK(apply_or_fail({}, release::checkpoint_of(withdrawn)) == withdrawn);
}

TEST_CASE(
    "a note that can't be applied is rejected with the position of the error")
{
    auto const fleet = apply_or_fail({}, release::tests::initial_note());
    release::release_note note;
    SUBCASE("withdrawal of an unknown failure domain")
    {
        note.m_failure_domains.m_withdrawn = {"x"};
        CHECK(
            errors_of(fleet, note) ==
            "test: failure_domains.withdrawn[0]: 'x' is not in service");
    }
    SUBCASE("withdrawal of a failure domain that is already withdrawn")
    {
        auto const withdrawn =
            apply_or_fail(fleet, release::tests::withdraw_domain("b"));
        CHECK(
            errors_of(withdrawn, release::tests::withdraw_domain("b")) ==
            "test: failure_domains.withdrawn[0]: 'b' is not in service");
    }
    SUBCASE("addition of an existing target")
    {
        note.m_targets.m_added = {fleet.targets().front()};
        CHECK(
            errors_of(fleet, note) ==
            "test: targets.added[0]: 'lookup-1' already exists");
    }
    SUBCASE("addition of a target of an unknown service")
    {
        note.m_targets.m_added = {
            {.m_name = "x-1",
             .m_service = "x",
             .m_failure_domain = "a",
             .m_node = "10.0.0.9:1"}};
        CHECK(
            errors_of(fleet, note) ==
            "test: targets[3]: 'x-1' refers to the unknown service 'x'");
    }
    SUBCASE("two targets with the same node address")
    {
        auto duplicate = fleet.targets().front();
        duplicate.m_name = "lookup-9";
        note.m_targets.m_added = {duplicate};
        CHECK(
            errors_of(fleet, note) == "test: targets[3]: 'lookup-9' has the "
                                      "same node address as another target");
    }
    SUBCASE("withdrawal of a service that still has targets")
    {
        note.m_services.m_withdrawn = {"lookup"};
        CHECK_FALSE(errors_of(fleet, note).empty());
    }
}

#include <hibiscustide/core/directory/replica.hpp>

#include <string>

#include <doctest/doctest.h>

using hibiscustide::core::directory::item;
using hibiscustide::core::directory::item_changes;
using hibiscustide::core::directory::replica;

namespace
{

item_changes everything(std::uint64_t revision)
{
    return {
        .m_revision = revision,
        .m_complete = true,
        .m_items = {
            {.m_key = "a", .m_value = "1", .m_revision = 3},
            {.m_key = "b", .m_value = "1", .m_revision = 5}}};
}

} // namespace

TEST_CASE("changes are taken over once and in order")
{
    replica copy;
    CHECK(copy.apply(everything(5)).size() == 2);
    CHECK(copy.apply(everything(5)).empty());
    item_changes const next{
        .m_after = 5,
        .m_revision = 7,
        .m_items = {
            {.m_key = "b", .m_revision = 6, .m_removed = true},
            {.m_key = "c", .m_value = "1", .m_revision = 7}}};
    auto const fresh = copy.apply(next);
    REQUIRE(fresh.size() == 2);
    CHECK(fresh.front().m_removed);
    CHECK(copy.revision() == 7);
}

TEST_CASE("changes with a gap in front of them are not taken over")
{
    replica copy;
    copy.apply(everything(5));
    item_changes const later{.m_after = 8, .m_revision = 9};
    CHECK_FALSE(copy.can_apply(later));
    CHECK(copy.apply(later).empty());
    CHECK(copy.revision() == 5);
}

TEST_CASE("an older view takes nothing back")
{
    replica copy;
    copy.apply(everything(9));
    CHECK(copy.apply(everything(5)).empty());
    CHECK(copy.revision() == 9);
}

TEST_CASE("what a complete view leaves out is gone")
{
    replica copy;
    copy.apply(everything(5));
    item_changes const later{
        .m_revision = 9,
        .m_complete = true,
        .m_items = {{.m_key = "a", .m_value = "1", .m_revision = 3}}};
    auto const fresh = copy.apply(later);
    REQUIRE(fresh.size() == 1);
    CHECK(fresh.front().m_key == "b");
    CHECK(fresh.front().m_removed);
}

TEST_CASE("a peer gets what it lacks, or all where that is not known")
{
    replica copy;
    copy.apply(everything(5));
    copy.apply(
        {.m_after = 5,
         .m_revision = 6,
         .m_items = {{.m_key = "b", .m_revision = 6, .m_removed = true}}});
    auto const little = copy.changes_after(5);
    CHECK_FALSE(little.m_complete);
    REQUIRE(little.m_items.size() == 1);
    CHECK(little.m_items.front().m_removed);
    auto const all = copy.changes_after(2);
    CHECK(all.m_complete);
    REQUIRE(all.m_items.size() == 1);
    CHECK(all.m_items.front().m_key == "a");

    replica behind;
    behind.apply(everything(5));
    CHECK(behind.apply(little).size() == 1);
    CHECK(behind.revision() == 6);
}

TEST_CASE("removals are remembered within a bound")
{
    replica copy;
    copy.apply(everything(5));
    std::uint64_t revision = 5;
    for (std::size_t n = 0; n <= replica::max_tombstones; ++n)
    {
        auto const key = "k" + std::to_string(n);
        copy.apply(
            {.m_after = revision,
             .m_revision = revision + 1,
             .m_items = {
                 {.m_key = key, .m_value = "1", .m_revision = revision + 1}}});
        copy.apply(
            {.m_after = revision + 1,
             .m_revision = revision + 2,
             .m_items = {
                 {.m_key = key,
                  .m_revision = revision + 2,
                  .m_removed = true}}});
        revision += 2;
    }
    CHECK(copy.changes_after(5).m_complete);
    CHECK(copy.changes_after(5).m_items.size() == 2);
}

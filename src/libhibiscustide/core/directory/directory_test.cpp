#include <hibiscustide/core/directory/directory.hpp>

#include <doctest/doctest.h>

namespace directory = hibiscustide::core::directory;
using namespace std::chrono_literals;

namespace
{

hibiscustide::core::time_point const start{1h};

directory::target make_target(char const* instance, std::uint16_t port = 80)
{
    return {
        .m_instance = instance,
        .m_service = "lookup",
        .m_address = {.m_address = "10.0.0.1", .m_port = port},
        .m_failure_domain = "a",
        .m_slots = 4};
}

} // namespace

TEST_CASE("a configuration is replaced only by a higher version")
{
    directory::directory_state state;
    CHECK(state.put(directory::configuration{.m_version = 7}));
    CHECK_FALSE(state.put(directory::configuration{.m_version = 6}));
    CHECK_FALSE(state.put(directory::configuration{.m_version = 7}));
    CHECK(state.version() == 7);
    CHECK(state.put(directory::configuration{.m_version = 12}));
    CHECK(state.snapshot()->config().m_version == 12);
}

// An entry of a service that no configuration names hid the target at the same
// address.
TEST_CASE("an entry of an unknown service does not replace the target at its "
          "address")
{
    directory::directory_state state;
    auto good = make_target("i-1");
    good.m_service = "known";
    auto odd = make_target("i-2");
    odd.m_service = "unknown";
    odd.m_start_time_ms = good.m_start_time_ms + 1;
    state.put(good);
    state.put(odd);
    REQUIRE(good.m_address == odd.m_address);
    state.put(directory::configuration{
        .m_version = 1, .m_services = {{.m_name = "known"}}});
    auto const before = state.snapshot();
    REQUIRE(before->find_by_address(good.m_address) != nullptr);
    CHECK(before->find_by_address(good.m_address)->m_instance == "i-1");
    state.put(directory::configuration{
        .m_version = 2,
        .m_services = {{.m_name = "known"}, {.m_name = "unknown"}}});
    auto const after = state.snapshot();
    CHECK(after->find_by_address(good.m_address)->m_instance == "i-2");
}

TEST_CASE(
    "a target whose entry is removed without notice is kept for the grace "
    "period")
{
    directory::directory_state state;
    state.put(make_target("i-1"));
    state.remove("i-1", start);
    CHECK(state.expire(start + 100ms).has_value());
    CHECK(state.snapshot()->find("i-1") != nullptr);
    CHECK_FALSE(state.expire(start + directory::directory_state::removal_grace)
                    .has_value());
    CHECK(state.snapshot()->find("i-1") == nullptr);
}

TEST_CASE("a draining target is removed at once with its entry")
{
    directory::directory_state state;
    auto target = make_target("i-1");
    target.m_draining = true;
    state.put(target);
    CHECK_FALSE(state.snapshot()->is_in_service(target));
    state.remove("i-1", start);
    CHECK(state.snapshot()->find("i-1") == nullptr);
}

TEST_CASE(
    "entries that are missing after a recovery of the publishing service get "
    "the recovery grace")
{
    directory::directory_state state;
    state.put(make_target("i-1"));
    state.put(make_target("i-2"));
    CHECK(state.on_service_recovered(start - 1s, start));
    state.remove("i-1", start + 10ms);
    state.remove("i-2", start + 10ms);
    state.expire(start + 1'500ms);
    CHECK(state.snapshot()->find("i-1") != nullptr);
    state.put(make_target("i-1"));
    state.expire(start + 10s);
    CHECK(state.snapshot()->find("i-1") != nullptr);
    CHECK(state.snapshot()->find("i-2") == nullptr);
}

// Guards against requests to a target that has left: a node was cut off, took
// its return for a recovery of the publishing service and kept the target for
// longer than the 2 s for which a target serves after its removal.
TEST_CASE("no grace keeps a target for 1.8 s after its removal was read")
{
    for (auto const read_after : {0ms, 200ms, 1'000ms, 2'000ms})
    {
        directory::directory_state state;
        state.put(make_target("i-1"));
        CHECK(state.on_service_recovered(start - 1s, start));
        auto const read_at = start + read_after;
        state.remove("i-1", read_at);
        state.on_peer_reported_recovery(read_at + 500ms);
        state.on_service_restored(read_at + 600ms);
        state.remove_missing("i-1", read_at + 600ms);
        state.expire(read_at + 700ms);
        CHECK(state.snapshot()->find("i-1") != nullptr);
        state.expire(read_at + 1'800ms);
        CHECK(state.snapshot()->find("i-1") == nullptr);
    }
}

// Guards against a late removal: a read fails, the node is not the reader for
// ten seconds and reads again just before a target is removed for good.
TEST_CASE("a read after an old failure does not count as a recovery")
{
    directory::directory_state state;
    state.put(make_target("i-1"));
    CHECK_FALSE(state.on_service_recovered(start - 10s, start));
    state.remove("i-1", start + 100ms);
    state.expire(start + 900ms);
    CHECK(state.snapshot()->find("i-1") == nullptr);
}

// Guards against a late removal: a reader reports for 1.5 s that the publishing
// service recovered, and a target is removed for good during that time.
TEST_CASE(
    "repeated reports of peers do not extend the grace of a known recovery")
{
    directory::directory_state state;
    state.put(make_target("i-1"));
    for (auto now = start; now < start + 1'500ms; now += 100ms)
    {
        state.on_peer_reported_recovery(now);
    }
    state.remove("i-1", start + 1'500ms);
    state.expire(start + 2'250ms);
    CHECK(state.snapshot()->find("i-1") != nullptr);
    state.expire(start + 2'300ms);
    CHECK(state.snapshot()->find("i-1") == nullptr);
}

TEST_CASE(
    "targets of a withdrawn failure domain are out of service until it is "
    "restored")
{
    directory::directory_state state;
    auto const target = make_target("i-1");
    state.put(target);
    state.withdraw("a");
    CHECK_FALSE(state.snapshot()->is_in_service(target));
    state.restore("a");
    CHECK(state.snapshot()->is_in_service(target));
}

TEST_CASE("of several targets at one address the latest start is found")
{
    directory::directory_state state;
    auto earlier = make_target("i-9");
    earlier.m_start_time_ms = 100;
    auto later = make_target("i-1");
    later.m_start_time_ms = 200;
    state.put(earlier);
    state.put(later);
    auto const snapshot = state.snapshot();
    REQUIRE(snapshot->find_by_address(earlier.m_address) != nullptr);
    CHECK(snapshot->find_by_address(earlier.m_address)->m_instance == "i-1");
    CHECK(
        snapshot->find_by_address({.m_address = "10.0.0.9", .m_port = 80}) ==
        nullptr);
}

namespace
{

directory::target make_entry(
    std::int64_t born, std::uint64_t sequence, bool draining = false)
{
    auto entry = make_target("i-1");
    entry.m_start_time_ms = born;
    entry.m_sequence = sequence;
    entry.m_draining = draining;
    return entry;
}

} // namespace

// The publishing service was restored from a copy of before the drain.
TEST_CASE("a stale entry does not undo a drain")
{
    directory::directory_state state;
    CHECK(state.put(make_entry(1'000, 4)));
    CHECK(state.put(make_entry(1'000, 5, true)));
    CHECK_FALSE(state.put(make_entry(1'000, 4)));
    CHECK(state.snapshot()->find("i-1")->m_draining);
    // The entry is written again.
    CHECK(state.put(make_entry(1'000, 5, true)));
    CHECK(state.put(make_entry(1'000, 6)));
    CHECK_FALSE(state.snapshot()->find("i-1")->m_draining);
}

TEST_CASE("a stale entry does not restore a removed one, and one of another "
          "start is used")
{
    directory::directory_state state;
    state.put(make_entry(1'000, 4));
    state.put(make_entry(1'000, 5, true));
    state.remove("i-1", start);
    CHECK(state.snapshot()->targets().empty());
    CHECK_FALSE(state.put(make_entry(1'000, 4)));
    CHECK(state.snapshot()->targets().empty());
    CHECK(state.put(make_entry(2'000, 1)));
    CHECK(state.snapshot()->targets().size() == 1);
}

TEST_CASE("a stale entry does not end a grace period")
{
    directory::directory_state state;
    state.put(make_entry(1'000, 4));
    state.put(make_entry(1'000, 5));
    state.remove("i-1", start);
    CHECK_FALSE(state.put(make_entry(1'000, 4)));
    state.expire(start + 900ms);
    CHECK(state.snapshot()->targets().empty());
    CHECK_FALSE(state.put(make_entry(1'000, 4)));
}

TEST_CASE("entries of removed targets are kept up to a limit")
{
    directory::directory_state state;
    state.put(make_entry(1'000, 5, true));
    state.remove("i-1", start);
    for (std::size_t n = 0; n < directory::directory_state::max_removed_entries;
         ++n)
    {
        CHECK_FALSE(state.put(make_entry(1'000, 4)));
        auto other = make_entry(1'000, 1, true);
        other.m_instance = "other-" + std::to_string(n);
        state.put(other);
        state.remove(other.m_instance, start);
    }
    CHECK(state.put(make_entry(1'000, 4)));
}

// Each change of the directory is passed to the threads that serve requests.
TEST_CASE("an entry that differs only in its sequence does not change the "
          "directory")
{
    directory::directory_state state;
    state.put(make_entry(1'000, 4));
    auto const before = state.snapshot();
    CHECK(state.put(make_entry(1'000, 5)));
    CHECK(*state.snapshot() == *before);
}

// Operators and targets write their lost changes again within this time.
TEST_CASE("entries and withdrawals that an older copy lacks are kept for the "
          "recovery grace")
{
    directory::directory_state state;
    state.put(make_entry(1'000, 5, true));
    auto other = make_target("i-2");
    state.put(other);
    state.withdraw("a");
    state.withdraw("b");
    state.on_service_restored(start);
    state.remove_missing("i-1", start);
    state.remove_missing("i-2", start);
    state.restore_missing("a", start);
    state.restore_missing("b", start);
    state.expire(start + 2'000ms);
    CHECK(state.snapshot()->targets().size() == 2);
    CHECK(state.snapshot()->is_withdrawn("a"));
    CHECK(state.snapshot()->is_withdrawn("b"));
    // Written again.
    state.put(other);
    state.withdraw("b");
    CHECK_FALSE(state.expire(start + 2'200ms).has_value());
    REQUIRE(state.snapshot()->targets().size() == 1);
    CHECK(state.snapshot()->targets().front().m_instance == "i-2");
    CHECK_FALSE(state.snapshot()->is_withdrawn("a"));
    CHECK(state.snapshot()->is_withdrawn("b"));
}

TEST_CASE("a second restoration extends the grace of what is still missing")
{
    directory::directory_state state;
    state.put(make_target("i-1"));
    state.withdraw("a");
    state.on_service_restored(start);
    state.remove_missing("i-1", start);
    state.restore_missing("a", start);
    state.on_service_restored(start + 2s);
    state.expire(start + 4s);
    CHECK(state.snapshot()->targets().size() == 1);
    CHECK(state.snapshot()->is_withdrawn("a"));
    state.expire(start + 4'200ms);
    CHECK(state.snapshot()->targets().empty());
    CHECK_FALSE(state.snapshot()->is_withdrawn("a"));
}

TEST_CASE("a withdrawal that is lifted after a restoration ends at once")
{
    directory::directory_state state;
    state.withdraw("a");
    state.on_service_restored(start);
    state.restore_missing("a", start);
    state.withdraw("a");
    state.restore("a");
    CHECK_FALSE(state.snapshot()->is_withdrawn("a"));
}

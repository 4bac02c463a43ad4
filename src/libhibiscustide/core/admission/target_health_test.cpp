#include <hibiscustide/core/admission/target_health.hpp>

#include <doctest/doctest.h>

namespace admission = hibiscustide::core::admission;
using admission::target_health;
using admission::target_outcome;
using namespace std::chrono_literals;

namespace
{

hibiscustide::core::time_point const start{1h};

} // namespace

TEST_CASE("a target is up once it has answered a probe, or after a time "
          "without an answer")
{
    target_health health{start};
    CHECK_FALSE(health.is_up(start));
    CHECK(health.is_up(start + target_health::assumed_up_after + 1ms));
    health.on_probe({.m_instance = "i-1"}, start + 10ms);
    CHECK(health.is_up(start + 10ms));
}

TEST_CASE("a target is down after a refused connection and up after an "
          "answered probe")
{
    target_health health{start};
    health.on_probe({.m_instance = "i-1"}, start);
    health.on_connect_failed(start + 1ms);
    CHECK_FALSE(health.is_up(start + 1ms));
    health.on_probe({.m_instance = "i-2"}, start + 40ms);
    CHECK(health.is_up(start + 40ms));
    CHECK(health.instance() == "i-2");
}

TEST_CASE("a target whose health endpoint reports a problem stays up")
{
    target_health health{start};
    health.on_probe({.m_healthy = false, .m_instance = "i-1"}, start);
    CHECK(health.is_up(start));
}

TEST_CASE("a probe reports a cold target once for each instance")
{
    target_health health{start};
    CHECK_FALSE(health.on_probe({.m_instance = "i-1"}, start));
    CHECK(health.on_probe(
        {.m_instance = "i-1", .m_warm_up_left = 3s}, start + 40ms));
    CHECK_FALSE(health.on_probe(
        {.m_instance = "i-1", .m_warm_up_left = 2'960ms}, start + 80ms));
    CHECK(health.is_cold(start + 80ms));
    CHECK(health.on_probe(
        {.m_instance = "i-2", .m_warm_up_left = 3s}, start + 120ms));
    health.on_probe({.m_instance = "i-2"}, start + 160ms);
    CHECK_FALSE(health.is_cold(start + 160ms));
}

TEST_CASE("replay of a gray failure: the failure share rises although health "
          "probes succeed")
{
    target_health health{start};
    auto now = start;
    for (int n = 0; n < 40; ++n, now += 25ms)
    {
        health.on_probe({.m_healthy = true, .m_instance = "i-1"}, now);
        health.on_outcome(
            n % 2 == 0 ? target_outcome::failed : target_outcome::answered,
            now);
    }
    CHECK(health.failure_share(now) > 0.3);
    CHECK(health.failure_share(now + 10s) < 0.05);
}

// After a power failure of the whole site, restarted targets answer about one
// second before they are registered.
TEST_CASE("an instance that answers before the address can be reused is a "
          "successor")
{
    target_health health{start, 2s};
    health.on_probe({.m_instance = "i-1"}, start + 500ms);
    CHECK(health.is_successor());
    health.on_probe({.m_instance = "i-2"}, start + 2'400ms);
    CHECK(health.is_successor());
    health.on_probe({.m_instance = "i-3"}, start + 4'400ms);
    CHECK_FALSE(health.is_successor());
    health.on_registered();
    health.on_probe({.m_instance = "i-4"}, start + 5s);
    CHECK(health.is_successor());
    // The instance registers and then leaves, so that its entry is removed.
    health.on_registered();
    health.on_probe({.m_instance = "i-4"}, start + 5'040ms);
    CHECK_FALSE(health.is_successor());
    // The address may have been reused while the VM was suspended.
    target_health suspended{start, 2s};
    suspended.on_probe({.m_instance = "i-1"}, start);
    suspended.on_suspended(4s);
    suspended.on_probe({.m_instance = "i-2"}, start + 40ms);
    CHECK_FALSE(suspended.is_successor());
    target_health late{start, 2s};
    late.on_probe({.m_instance = "i-1"}, start + 2s);
    CHECK_FALSE(late.is_successor());
    target_health unknown{start};
    unknown.on_probe({.m_instance = "i-1"}, start);
    CHECK_FALSE(unknown.is_successor());
}

// The target had ended before the node started. Its address may be reused at
// any time then, and the node sent requests to a target of another service.
TEST_CASE("an instance that starts after the node is no successor")
{
    for (bool const connect_failed : {true, false})
    {
        target_health health{start, 2s};
        health.on_probe_failed(connect_failed, start + 10ms);
        health.on_probe({.m_instance = "i-2"}, start + 1'400ms);
        CHECK_FALSE(health.is_successor());
    }
}

TEST_CASE("a restart within the address reuse time is no evidence of the "
          "service of an instance whose predecessor's service is unknown")
{
    target_health health{start, 2s};
    health.on_probe({.m_instance = "i-1"}, start);
    health.on_probe({.m_instance = "i-2"}, start + 3s);
    CHECK_FALSE(health.is_successor());
    health.on_probe({.m_instance = "i-3"}, start + 3'100ms);
    CHECK_FALSE(health.is_successor());
    health.on_registered();
    health.on_probe({.m_instance = "i-4"}, start + 3'200ms);
    CHECK(health.is_successor());
}

TEST_CASE("an answer without an instance id does not prolong the time until "
          "the address may be reused")
{
    target_health health{start, 2s};
    health.on_probe({.m_instance = "i-1"}, start);
    health.on_probe({}, start + 1'900ms);
    health.on_probe({.m_instance = "i-2"}, start + 2'100ms);
    CHECK_FALSE(health.is_successor());
}

TEST_CASE("the slowness that a cold target reports is not scaled again")
{
    target_health health{start};
    health.on_probe(
        {.m_instance = "i-1", .m_warm_up_left = 1s, .m_slowness = 200}, start);
    CHECK(health.is_cold(start));
    CHECK(health.speed(start).m_slowness == 200);
    CHECK(health.speed(start + 2s).m_slowness == 200);
}

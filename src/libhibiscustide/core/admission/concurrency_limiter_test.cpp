#include <hibiscustide/core/admission/concurrency_limiter.hpp>

#include <doctest/doctest.h>

#include <hibiscustide/core/admission/probe_interval.hpp>
#include <hibiscustide/core/admission/target_monitor.hpp>

namespace admission = hibiscustide::core::admission;
using admission::run_result;
using hibiscustide::core::reason;
using hibiscustide::core::release::request_class;
using namespace std::chrono_literals;

namespace
{

hibiscustide::core::time_point const start{1h};
auto const deadline = start + 10s;

admission::entry_decision enter(
    admission::concurrency_limiter& limiter,
    request_class value = request_class::live)
{
    return limiter.enter(value, deadline, start);
}

void fill(admission::concurrency_limiter& limiter)
{
    while (limiter.running() < limiter.limit())
    {
        REQUIRE(std::holds_alternative<admission::entered>(enter(limiter)));
    }
}

admission::ticket ticket_of(admission::entry_decision const& decision)
{
    REQUIRE(std::holds_alternative<admission::waiting>(decision));
    return std::get<admission::waiting>(decision).m_ticket;
}

// Completes requests successfully until the limiter's limit reaches `limit`.
void warm(admission::concurrency_limiter& limiter, std::uint32_t limit)
{
    for (int n = 0; n < 10'000 && limiter.limit() < limit; ++n)
    {
        fill(limiter);
        static_cast<void>(limiter.leave(run_result::succeeded, 1ms, start));
    }
    REQUIRE(limiter.limit() == limit);
}

} // namespace

TEST_CASE("a cold target runs no more requests than its cold slots")
{
    admission::concurrency_limiter limiter{{.m_slots = 20, .m_cold_slots = 4}};
    fill(limiter);
    CHECK(limiter.running() == 4);
    CHECK(std::holds_alternative<admission::waiting>(enter(limiter)));
    CHECK(limiter.running() == 4);
}

TEST_CASE("the limit grows with answers, not with time or failures")
{
    admission::concurrency_limiter limiter{{.m_slots = 20, .m_cold_slots = 4}};
    for (int n = 0; n < 100; ++n)
    {
        fill(limiter);
        static_cast<void>(limiter.leave(
            n % 2 == 0 ? run_result::failed : run_result::not_sent, 1ms,
            start + 1h));
    }
    CHECK(limiter.limit() == 4);
    fill(limiter);
    for (std::uint32_t n = 0;
         n < admission::concurrency_limiter::successes_per_slot; ++n)
    {
        CHECK(limiter.limit() == 4);
        static_cast<void>(limiter.leave(run_result::succeeded, 1ms, start));
        fill(limiter);
    }
    CHECK(limiter.limit() == 5);
    warm(limiter, 20);
    fill(limiter);
    static_cast<void>(limiter.leave(run_result::succeeded, 1ms, start));
    CHECK(limiter.limit() == 20);
}

TEST_CASE("answers of a mostly idle target do not raise the limit")
{
    admission::concurrency_limiter limiter{{.m_slots = 20, .m_cold_slots = 4}};
    for (int n = 0; n < 1'000; ++n)
    {
        static_cast<void>(enter(limiter));
        static_cast<void>(limiter.leave(run_result::succeeded, 1ms, start));
    }
    CHECK(limiter.limit() == 4);
}

TEST_CASE("a target reset to cold starts no request until fewer than its cold "
          "slots run")
{
    admission::concurrency_limiter limiter{{.m_slots = 20, .m_cold_slots = 4}};
    warm(limiter, 20);
    fill(limiter);
    limiter.reset_to_cold();
    auto const waiting = ticket_of(enter(limiter));
    for (std::uint32_t n = 20; n > 4; --n)
    {
        auto const admitted = limiter.leave(run_result::failed, 1ms, start);
        CHECK(admitted.empty());
    }
    auto const admitted = limiter.leave(run_result::failed, 1ms, start);
    CHECK(admitted == std::vector{waiting});
}

TEST_CASE("live requests start before background requests, then by deadline")
{
    admission::concurrency_limiter limiter{{.m_slots = 2, .m_cold_slots = 2}};
    fill(limiter);
    auto const background =
        ticket_of(limiter.enter(request_class::background, start + 1s, start));
    auto const late =
        ticket_of(limiter.enter(request_class::live, start + 9s, start));
    auto const soon =
        ticket_of(limiter.enter(request_class::status, start + 2s, start));
    std::vector<admission::ticket> order;
    for (int n = 0; n < 3; ++n)
    {
        for (auto const next : limiter.leave(run_result::failed, 1ms, start))
        {
            order.push_back(next);
        }
    }
    CHECK(order == std::vector{soon, late, background});
}

TEST_CASE("a full queue rejects requests, as does a wait beyond the deadline")
{
    admission::concurrency_limiter limiter{{.m_slots = 1, .m_cold_slots = 1}};
    fill(limiter);
    static_cast<void>(limiter.leave(run_result::succeeded, 100ms, start));
    fill(limiter);
    auto const infeasible =
        limiter.enter(request_class::live, start + 50ms, start);
    REQUIRE(std::holds_alternative<admission::rejected>(infeasible));
    CHECK(
        std::get<admission::rejected>(infeasible).m_reason ==
        reason::deadline_passed);
    for (std::uint32_t n = 0;
         n < admission::concurrency_limiter::max_waiting_per_slot; ++n)
    {
        static_cast<void>(ticket_of(enter(limiter)));
    }
    auto const full = enter(limiter);
    REQUIRE(std::holds_alternative<admission::rejected>(full));
    CHECK(std::get<admission::rejected>(full).m_reason == reason::queue_full);
}

TEST_CASE("a cancelled request leaves its place to the next")
{
    admission::concurrency_limiter limiter{{.m_slots = 1, .m_cold_slots = 1}};
    fill(limiter);
    auto const first = ticket_of(enter(limiter));
    auto const second = ticket_of(enter(limiter));
    CHECK(limiter.cancel(first));
    CHECK_FALSE(limiter.cancel(first));
    CHECK(limiter.leave(run_result::failed, 1ms, start) == std::vector{second});
}

TEST_CASE("probes stay within their share of capacity for any target size")
{
    struct sized
    {
        std::uint32_t m_slots;
        std::chrono::microseconds m_cost;
    };
    for (auto const size :
         {sized{20, 1ms}, sized{10, 5ms}, sized{1, 5ms}, sized{1, 1s}})
    {
        auto const interval =
            admission::probe_interval(size.m_slots, size.m_cost);
        std::chrono::duration<double> const cost = size.m_cost;
        std::chrono::duration<double> const span = interval;
        CHECK(
            cost.count() / (span.count() * size.m_slots) <=
            admission::probe_capacity_share * 1.0001);
        CHECK(interval >= 100ms);
    }
}

TEST_CASE("a restarted target is cold, and a stale 'up' does not end draining")
{
    using admission::target_state;
    admission::target_monitor monitor;
    CHECK(monitor.on_probe({{.m_incarnation = 1}}).m_turned_cold);
    CHECK(monitor.state() == target_state::up);
    CHECK_FALSE(monitor.on_probe({{.m_incarnation = 1}}).m_turned_cold);
    static_cast<void>(monitor.on_draining());
    static_cast<void>(monitor.on_probe({{.m_incarnation = 1}}));
    CHECK(monitor.state() == target_state::draining);
    CHECK(monitor.on_probe({{.m_incarnation = 2}}).m_turned_cold);
    CHECK(monitor.state() == target_state::up);
    static_cast<void>(monitor.on_connect_failed());
    CHECK(monitor.state() == target_state::down);
    CHECK(monitor.on_probe({{.m_incarnation = 2}}).m_turned_cold);
    static_cast<void>(monitor.on_probe(std::nullopt));
    CHECK(monitor.state() == target_state::down);
}

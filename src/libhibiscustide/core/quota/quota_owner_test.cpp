#include <hibiscustide/core/quota/quota_owner.hpp>

#include <algorithm>

#include <doctest/doctest.h>

using hibiscustide::core::time_point;
using namespace hibiscustide::core::quota;
using namespace std::chrono_literals;

namespace
{

time_point const start{1h};
constexpr quota_options options{
    .m_window = 5s, .m_overage = 0.25, .m_slack = 20};
organisation_id const bank = make_organisation_id("bank");
constexpr quota_limit limit{.m_rate = 10, .m_burst = 30};

std::vector<std::string> const addresses{
    "10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5"};

// The nodes that are asked first for the organisation, best first.
std::vector<std::string> ranking(organisation_id organisation)
{
    quota_fleet fleet{addresses.front()};
    fleet.set_nodes(addresses, start);
    return fleet.nodes_to_ask(organisation, start);
}

void hear_all_but(
    quota_fleet& fleet, std::vector<std::string> const& silent, time_point now)
{
    for (auto const& address : addresses)
    {
        if (std::find(silent.begin(), silent.end(), address) == silent.end())
        {
            fleet.on_status(address, true, now);
        }
    }
}

// Sends a request that no other one is a copy of.
quota_grant request_token(quota_owner& owner, time_point now)
{
    static std::uint64_t sequence = 0;
    return owner.on_request(
        addresses[0], {.m_sequence = ++sequence, .m_organisation = bank}, limit,
        now);
}

std::uint32_t granted(
    quota_owner& owner, std::uint32_t requests, time_point now)
{
    std::uint32_t count = 0;
    for (std::uint32_t n = 0; n < requests; ++n)
    {
        count += request_token(owner, now).m_granted;
    }
    return count;
}

} // namespace

TEST_CASE("only the owner and its deputy grant tokens")
{
    auto const best = ranking(bank);
    for (auto const& address : addresses)
    {
        quota_fleet fleet{address};
        fleet.set_nodes(addresses, start);
        quota_owner owner{options, fleet};
        auto const reply = request_token(owner, start);
        bool const is_responsible = address == best[0] || address == best[1];
        CHECK((reply.m_outcome == quota_outcome::granted) == is_responsible);
        CHECK(
            (fleet.role(bank, start) == quota_role::owner) ==
            (address == best[0]));
    }
}

// After a restart the burst has been granted already by the last process.
TEST_CASE("a new owner starts with a small part of the burst")
{
    quota_fleet fleet{ranking(bank)[0]};
    fleet.set_nodes(addresses, start);
    quota_owner owner{options, fleet};
    CHECK(granted(owner, 50, start) == 3);
}

TEST_CASE("an owner replaces a silent one after the promotion time only")
{
    auto const best = ranking(bank);
    quota_fleet fleet{best[1]};
    fleet.set_nodes(addresses, start);
    for (auto now = start; now < start + 2'900ms; now += 100ms)
    {
        hear_all_but(fleet, {best[0]}, now);
        CHECK(fleet.role(bank, now) == quota_role::deputy);
    }
    hear_all_but(fleet, {best[0]}, start + 3s);
    CHECK(fleet.role(bank, start + 3s) == quota_role::owner);
}

// Guards against two owners when a single link is down: the others still ask
// the first owner.
TEST_CASE("an owner that another node hears is not replaced")
{
    auto const best = ranking(bank);
    quota_fleet fleet{best[1]};
    fleet.set_nodes(addresses, start);
    hear_all_but(fleet, {best[0]}, start + 3s);
    auto const lost = fleet.lost_nodes(start + 3s);
    REQUIRE(lost.size() == 1);
    fleet.on_heard_by_other({{.m_hash = lost[0], .m_age_ms = 400}}, start + 3s);
    CHECK(fleet.role(bank, start + 3s) == quota_role::deputy);
    hear_all_but(fleet, {best[0]}, start + 5'600ms);
    CHECK(fleet.role(bank, start + 5'600ms) == quota_role::owner);
}

// Guards against two owners on the two sides of a partition.
TEST_CASE("an owner that reaches at most half of the nodes loses its burst")
{
    auto const best = ranking(bank);
    quota_fleet fleet{best[0]};
    fleet.set_nodes(addresses, start);
    quota_owner owner{options, fleet};
    owner.update(
        [](organisation_id)
        {
            return limit;
        },
        start + 10s);
    for (auto const& address : addresses)
    {
        fleet.on_status(address, true, start + 10s);
    }
    CHECK(granted(owner, 1, start + 10s) == 1);
    owner.update(
        [](organisation_id)
        {
            return limit;
        },
        start + 13s);
    CHECK(fleet.role(bank, start + 13s) == quota_role::minority_owner);
    CHECK(granted(owner, 50, start + 13s) <= 6);
}

// A partitioned node may still grant tokens after its removal from the
// directory, so the others must not count as the whole fleet.
TEST_CASE("a removed node counts as out of reach unless it was stopping")
{
    quota_fleet fleet{addresses[0]};
    fleet.set_nodes(addresses, start);
    fleet.on_status(addresses[3], false, start);
    fleet.set_nodes({addresses[1], addresses[2]}, start + 1s);
    CHECK(fleet.size(start + 1s) == 4);
    CHECK(fleet.reachable_share(start + 1s) == 0.75);
    CHECK(fleet.size(start + 32s) == 3);
}

// A stopped node grants nothing, so the rest of a small fleet has its quotas.
TEST_CASE("a silent node that had reported its stop does not count")
{
    auto const best = ranking(bank);
    quota_fleet fleet{best[1]};
    fleet.set_nodes({best[0], best[1]}, start);
    fleet.on_status(best[0], false, start);
    CHECK(fleet.role(bank, start + 1s) == quota_role::deputy);
    CHECK(fleet.reachable_share(start + 2s) == 1);
    CHECK(fleet.role(bank, start + 2s) == quota_role::owner);
}

// Without a tolerated excess, a deputy has nothing to grant: it must not refuse
// requests in place of the owner.
TEST_CASE("without overage and slack only the owner grants tokens")
{
    auto const best = ranking(bank);
    quota_fleet fleet{best[1]};
    fleet.set_nodes(addresses, start);
    quota_owner deputy{quota_options{}, fleet};
    CHECK(
        request_token(deputy, start).m_outcome ==
        quota_outcome::not_responsible);
    quota_fleet owner_fleet{best[0]};
    owner_fleet.set_nodes(addresses, start);
    quota_owner owner{quota_options{}, owner_fleet};
    CHECK(granted(owner, 50, start) == 0);
    CHECK(granted(owner, 50, start + 1s) == 10);
}

// A slow owner gets the copies of a request together.
TEST_CASE("a copy of a request gets the same reply and takes no token")
{
    quota_fleet fleet{ranking(bank)[0]};
    fleet.set_nodes(addresses, start);
    quota_owner owner{options, fleet};
    // Far from the numbers of request_token().
    quota_request const request{
        .m_sequence = 1'000'000, .m_organisation = bank, .m_wanted = 2};
    auto const reply = owner.on_request(addresses[0], request, limit, start);
    CHECK(reply.m_granted == 1);
    for (int copies = 0; copies < 3; ++copies)
    {
        CHECK(owner.on_request(addresses[0], request, limit, start) == reply);
    }
    // Another node counts its requests from the same number.
    CHECK(
        owner.on_request(addresses[1], request, limit, start).m_outcome ==
        quota_outcome::granted);
    CHECK(granted(owner, 50, start) == 1);
    // The sender has restarted and asks for an organisation without a limit.
    auto other = request;
    other.m_organisation = make_organisation_id("grocer");
    CHECK(
        owner.on_request(addresses[0], other, {}, start).m_outcome ==
        quota_outcome::not_responsible);
    CHECK(
        owner
            .on_request(
                addresses[0], request, limit, start + quota_owner::reply_memory)
            .m_outcome == quota_outcome::granted);
}

TEST_CASE("requests that are refused get different times to return")
{
    quota_fleet fleet{ranking(bank)[0]};
    fleet.set_nodes(addresses, start);
    quota_owner owner{options, fleet};
    CHECK(granted(owner, 3, start) == 3);
    auto const first = request_token(owner, start);
    auto const next = request_token(owner, start);
    CHECK(first.m_outcome == quota_outcome::exhausted);
    CHECK(first.m_retry_after_ms == 100);
    CHECK(next.m_retry_after_ms == 200);
}

TEST_CASE("an organisation whose limit is removed has no token bucket")
{
    quota_fleet fleet{ranking(bank)[0]};
    fleet.set_nodes(addresses, start);
    quota_owner owner{options, fleet};
    CHECK(granted(owner, 1, start) == 1);
    CHECK(owner.size() == 1);
    owner.update(
        [](organisation_id)
        {
            return quota_limit{};
        },
        start);
    CHECK(owner.size() == 0);
}

#include <hibiscustide/core/admission/crash_suspects.hpp>

#include <array>
#include <set>

#include <doctest/doctest.h>

namespace admission = hibiscustide::core::admission;
using admission::crash_suspects;
using admission::fingerprint;
using hibiscustide::core::time_point;
using namespace std::chrono_literals;

namespace
{

time_point const start{1h};
constexpr fingerprint culprit = 17;
constexpr fingerprint bystander = 18;

} // namespace

TEST_CASE("a request that was there at two crashes is blocked for a while")
{
    crash_suspects suspects;
    suspects.on_broken(culprit, start);
    CHECK(suspects.on_crash(start + 30ms) == 1);
    CHECK_FALSE(suspects.blocked_for(culprit, start + 30ms).has_value());
    suspects.on_broken(culprit, start + 6s);
    suspects.on_crash(start + 6s);
    CHECK(suspects.blocked_for(culprit, start + 6s).has_value());
    CHECK_FALSE(suspects.blocked_for(bystander, start + 6s).has_value());
    CHECK_FALSE(
        suspects
            .blocked_for(culprit, start + 6s + crash_suspects::remembered_for)
            .has_value());
}

TEST_CASE("a connection that broke long before a crash did not break by it")
{
    crash_suspects suspects;
    suspects.on_broken(culprit, start);
    CHECK(suspects.on_crash(start + crash_suspects::broken_before + 1ms) == 0);
    CHECK_FALSE(suspects.has_suspects());
}

TEST_CASE("news of a crash counts once, however often it is told")
{
    crash_suspects teller;
    teller.on_broken(culprit, start);
    teller.on_crash(start);
    crash_suspects hearer;
    hearer.on_news(5, teller.news(start), start);
    hearer.on_news(5, teller.news(start + 1s), start + 1s);
    CHECK(hearer.has_suspects());
    CHECK_FALSE(hearer.blocked_for(culprit, start + 1s).has_value());
    hearer.on_news(6, teller.news(start + 1s), start + 1s);
    CHECK(hearer.blocked_for(culprit, start + 1s).has_value());
    CHECK(teller.news(start + 4s) == admission::crash_news{});
}

// A caller's attempt and its repeat crash two targets within milliseconds, and
// what everybody asks for is in flight at both.
TEST_CASE("what was answered shortly before two crashes is blocked nowhere")
{
    crash_suspects one;
    crash_suspects other;
    crash_suspects third;
    third.on_answered(bystander, start - 5s);
    one.on_broken(bystander, start);
    one.on_broken(culprit, start);
    other.on_broken(bystander, start + 2ms);
    other.on_broken(culprit, start + 2ms);
    one.on_crash(start + 3ms);
    other.on_crash(start + 4ms);
    third.on_news(1, one.news(start + 4ms), start + 4ms);
    third.on_news(2, other.news(start + 4ms), start + 4ms);
    one.on_news(2, other.news(start + 4ms), start + 4ms);
    CHECK_FALSE(third.blocked_for(bystander, start + 5ms).has_value());
    CHECK(third.blocked_for(culprit, start + 5ms).has_value());
    one.on_news(3, third.news(start + 5ms), start + 5ms);
    CHECK_FALSE(one.blocked_for(bystander, start + 6ms).has_value());
    CHECK(one.blocked_for(culprit, start + 6ms).has_value());
}

TEST_CASE("an answer clears a request everywhere, and old news doesn't count")
{
    crash_suspects crashed;
    crashed.on_broken(bystander, start);
    crashed.on_crash(start);
    auto const crash = crashed.news(start);
    crash_suspects answering;
    answering.on_news(5, crash, start);
    answering.on_answered(bystander, start + 100ms);
    CHECK_FALSE(answering.has_suspects());
    answering.on_news(5, crash, start + 200ms);
    CHECK_FALSE(answering.has_suspects());
    crashed.on_news(6, answering.news(start + 200ms), start + 200ms);
    CHECK_FALSE(crashed.has_suspects());
    CHECK(crashed.news(start + 200ms).m_crashes.front().m_suspects.empty());
}

// Five targets, one poisonous request that is sent again four times a second to
// the next target that is up, and nine others in flight at each moment, one of
// which is asked for by everybody. A target is back a second after its crash.
TEST_CASE("replay of a request that crashes targets: two crash, nobody else is "
          "blocked for long")
{
    constexpr std::size_t targets = 5;
    std::array<crash_suspects, targets> nodes;
    std::array<time_point, targets> up_from{};
    std::set<fingerprint> blocked_others;
    int crashes = 0;
    fingerprint next_other = 1'000;
    std::size_t turn = 0;
    for (auto now = start; now < start + 20s; now += 250ms)
    {
        auto const at = turn++ % targets;
        auto& node = nodes.at(at);
        bool const runs = up_from.at(at) <= now &&
                          !node.blocked_for(culprit, now).has_value();
        node.on_answered(bystander, now);
        if (runs)
        {
            ++crashes;
            up_from.at(at) = now + 1s;
            node.on_broken(culprit, now);
            node.on_broken(bystander, now);
            for (int n = 0; n < 8; ++n)
            {
                node.on_broken(++next_other, now);
            }
            node.on_crash(now);
        }
        for (std::size_t from = 0; from < targets; ++from)
        {
            for (std::size_t to = 0; to < targets; ++to)
            {
                if (from != to)
                {
                    nodes.at(to).on_news(
                        from + 1, nodes.at(from).news(now), now);
                }
            }
        }
        if (node.blocked_for(bystander, now))
        {
            blocked_others.insert(bystander);
        }
    }
    CHECK(crashes == 2);
    CHECK(blocked_others.empty());
}

#include <hibiscustide/core/admission/poison_request_detector.hpp>

#include <array>
#include <set>

#include <doctest/doctest.h>

namespace admission = hibiscustide::core::admission;
using admission::fingerprint;
using admission::poison_request_detector;
using hibiscustide::core::time_point;
using namespace std::chrono_literals;

namespace
{

time_point const start{1h};
constexpr fingerprint poison = 17;
constexpr fingerprint bystander = 18;

} // namespace

TEST_CASE("a request that was in flight at two crashes is blocked for the "
          "lifetime of a suspect")
{
    poison_request_detector suspects;
    suspects.on_connection_lost(poison, start);
    CHECK(suspects.on_crash(start + 30ms) == 1);
    CHECK_FALSE(
        suspects.remaining_block_time(poison, start + 30ms).has_value());
    suspects.on_connection_lost(poison, start + 6s);
    suspects.on_crash(start + 6s);
    CHECK(suspects.remaining_block_time(poison, start + 6s).has_value());
    CHECK_FALSE(
        suspects.remaining_block_time(bystander, start + 6s).has_value());
    CHECK_FALSE(
        suspects
            .remaining_block_time(
                poison, start + 6s + poison_request_detector::suspect_lifetime)
            .has_value());
}

TEST_CASE("a connection that was lost long before a crash makes no suspect")
{
    poison_request_detector suspects;
    suspects.on_connection_lost(poison, start);
    CHECK(
        suspects.on_crash(
            start + poison_request_detector::connection_loss_window + 1ms) ==
        0);
    CHECK_FALSE(suspects.has_suspects());
}

TEST_CASE("a crash counts once, however often it is reported")
{
    poison_request_detector sender;
    sender.on_connection_lost(poison, start);
    sender.on_crash(start);
    poison_request_detector receiver;
    receiver.on_update(5, sender.current_update(start), start);
    receiver.on_update(5, sender.current_update(start + 1s), start + 1s);
    CHECK(receiver.has_suspects());
    CHECK_FALSE(receiver.remaining_block_time(poison, start + 1s).has_value());
    receiver.on_update(6, sender.current_update(start + 1s), start + 1s);
    CHECK(receiver.remaining_block_time(poison, start + 1s).has_value());
    CHECK(sender.current_update(start + 4s) == admission::crash_update{});
}

// The first attempt of a request and its retry crash two targets within
// milliseconds, and a popular request is in flight at both.
TEST_CASE("a request that was answered shortly before two crashes is not "
          "blocked on any node")
{
    poison_request_detector first_node;
    poison_request_detector second_node;
    poison_request_detector third_node;
    third_node.on_answered(bystander, start - 5s);
    first_node.on_connection_lost(bystander, start);
    first_node.on_connection_lost(poison, start);
    second_node.on_connection_lost(bystander, start + 2ms);
    second_node.on_connection_lost(poison, start + 2ms);
    first_node.on_crash(start + 3ms);
    second_node.on_crash(start + 4ms);
    third_node.on_update(
        1, first_node.current_update(start + 4ms), start + 4ms);
    third_node.on_update(
        2, second_node.current_update(start + 4ms), start + 4ms);
    first_node.on_update(
        2, second_node.current_update(start + 4ms), start + 4ms);
    CHECK_FALSE(
        third_node.remaining_block_time(bystander, start + 5ms).has_value());
    CHECK(third_node.remaining_block_time(poison, start + 5ms).has_value());
    first_node.on_update(
        3, third_node.current_update(start + 5ms), start + 5ms);
    CHECK_FALSE(
        first_node.remaining_block_time(bystander, start + 6ms).has_value());
    CHECK(first_node.remaining_block_time(poison, start + 6ms).has_value());
}

TEST_CASE("an answer clears a suspect on all nodes, and a report sent again "
          "does not restore it")
{
    poison_request_detector crashed_node;
    crashed_node.on_connection_lost(bystander, start);
    crashed_node.on_crash(start);
    auto const crash = crashed_node.current_update(start);
    poison_request_detector answering_node;
    answering_node.on_update(5, crash, start);
    answering_node.on_answered(bystander, start + 100ms);
    CHECK_FALSE(answering_node.has_suspects());
    answering_node.on_update(5, crash, start + 200ms);
    CHECK_FALSE(answering_node.has_suspects());
    crashed_node.on_update(
        6, answering_node.current_update(start + 200ms), start + 200ms);
    CHECK_FALSE(crashed_node.has_suspects());
    CHECK(crashed_node.current_update(start + 200ms)
              .m_crashes.front()
              .m_suspects.empty());
}

// Five targets and one poison request that is sent four times a second to the
// next target that is up. Nine other requests are in flight at each crash, one
// of them a popular request. A target restarts one second after its crash.
TEST_CASE("replay of a poison request: two targets crash, and the popular "
          "request is never blocked")
{
    constexpr std::size_t targets = 5;
    std::array<poison_request_detector, targets> nodes;
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
                          !node.remaining_block_time(poison, now).has_value();
        node.on_answered(bystander, now);
        if (runs)
        {
            ++crashes;
            up_from.at(at) = now + 1s;
            node.on_connection_lost(poison, now);
            node.on_connection_lost(bystander, now);
            for (int n = 0; n < 8; ++n)
            {
                node.on_connection_lost(++next_other, now);
            }
            node.on_crash(now);
        }
        for (std::size_t from = 0; from < targets; ++from)
        {
            for (std::size_t to = 0; to < targets; ++to)
            {
                if (from != to)
                {
                    nodes.at(to).on_update(
                        from + 1, nodes.at(from).current_update(now), now);
                }
            }
        }
        if (node.remaining_block_time(bystander, now))
        {
            blocked_others.insert(bystander);
        }
    }
    CHECK(crashes == 2);
    CHECK(blocked_others.empty());
}

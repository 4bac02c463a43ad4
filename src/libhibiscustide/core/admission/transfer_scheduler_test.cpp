#include <hibiscustide/core/admission/transfer_scheduler.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <vector>

#include <doctest/doctest.h>

using hibiscustide::core::duration;
using hibiscustide::core::time_point;
using hibiscustide::core::admission::transfer_grant;
using hibiscustide::core::admission::transfer_scheduler;
using namespace std::chrono_literals;

namespace
{

time_point const start{1h};
constexpr double slow_link_rate = 1.25e6; // 10 Mbit/s

double to_ms(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

double percentile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values.at(static_cast<std::size_t>(
        static_cast<double>(values.size() - 1) * share));
}

// The first-in, first-out queue of a link: returns when bytes that are sent at
// `now` have arrived.
class link_queue
{
public:
    time_point send(std::uint64_t bytes, time_point now)
    {
        std::chrono::duration<double> const time{
            static_cast<double>(bytes) / slow_link_rate};
        m_free_at = std::max(m_free_at, now) +
                    std::chrono::duration_cast<duration>(time);
        return m_free_at;
    }

private:
    time_point m_free_at{};
};

struct link_delays
{
    std::vector<double> m_short_messages_ms;
    std::vector<double> m_bodies_ms;
};

// Sixteen uploads a second with bodies of 60 KB on average, and forty short
// messages a second, on one slow link. A grant and the bytes that it permits
// need one round trip of 3 ms.
link_delays replay_uploads(bool granted)
{
    struct upload
    {
        time_point m_offered_at{};
        std::uint64_t m_length = 0;
        std::uint64_t m_sent = 0;
    };
    struct arrival
    {
        std::uint64_t m_id = 0;
        std::uint64_t m_bytes = 0;
    };
    std::mt19937_64 random{11};
    std::exponential_distribution<double> until_upload{16.0};
    std::exponential_distribution<double> until_message{40.0};
    std::lognormal_distribution<double> size{0.0, 0.6};
    auto const draw = [&random](auto& distribution)
    {
        std::chrono::duration<double> const span{distribution(random)};
        return std::chrono::duration_cast<duration>(span);
    };
    link_queue link;
    transfer_scheduler scheduler{{.m_link_rate = slow_link_rate}};
    std::map<std::uint64_t, upload> uploads;
    std::multimap<time_point, arrival> arrivals;
    link_delays delays;
    std::uint64_t next_id = 1;
    auto next_upload = start + draw(until_upload);
    auto next_message = start + draw(until_message);
    for (auto now = start; now < start + 60s; now += 1ms)
    {
        while (!arrivals.empty() && arrivals.begin()->first <= now)
        {
            auto const got = arrivals.begin()->second;
            arrivals.erase(arrivals.begin());
            auto& body = uploads.at(got.m_id);
            scheduler.on_received(got.m_id, got.m_bytes, now);
            scheduler.on_consumed(got.m_id, got.m_bytes);
            body.m_sent += got.m_bytes;
            if (body.m_sent >= body.m_length)
            {
                scheduler.remove(got.m_id);
                delays.m_bodies_ms.push_back(to_ms(now - body.m_offered_at));
            }
        }
        if (now >= next_upload)
        {
            next_upload += draw(until_upload);
            auto const length =
                static_cast<std::uint64_t>(50'000 * size(random));
            auto const id = next_id++;
            uploads[id] = {.m_offered_at = now, .m_length = length};
            if (granted)
            {
                scheduler.add(
                    {.m_id = id, .m_objective = now + 1s, .m_length = length},
                    now);
            }
            else
            {
                arrivals.emplace(link.send(length, now), arrival{id, length});
            }
        }
        for (auto const& grant : scheduler.take_grants(now))
        {
            auto const& body = uploads.at(grant.m_id);
            std::uint64_t in_flight = 0;
            for (auto const& [at, each] : arrivals)
            {
                in_flight += each.m_id == grant.m_id ? each.m_bytes : 0;
            }
            auto const bytes = grant.m_limit - body.m_sent - in_flight;
            arrivals.emplace(
                link.send(bytes, now + 3ms), arrival{grant.m_id, bytes});
        }
        if (now >= next_message)
        {
            next_message += draw(until_message);
            delays.m_short_messages_ms.push_back(
                to_ms(link.send(300, now) - now));
        }
    }
    return delays;
}

} // namespace

TEST_CASE("a short body is granted whole, a long one up to the buffer's size")
{
    transfer_scheduler scheduler{{.m_max_buffered = 131'072}};
    scheduler.add({.m_id = 1, .m_length = 3'000}, start);
    scheduler.add({.m_id = 2, .m_length = 16'000'000}, start);
    CHECK(
        scheduler.take_grants(start) ==
        std::vector<transfer_grant>{
            {.m_id = 1, .m_limit = 3'000}, {.m_id = 2, .m_limit = 131'072}});
    scheduler.on_received(2, 131'072, start);
    CHECK(scheduler.take_grants(start).empty());
    scheduler.on_consumed(2, 50'000);
    CHECK(
        scheduler.take_grants(start) ==
        std::vector<transfer_grant>{{.m_id = 2, .m_limit = 181'072}});
}

TEST_CASE("a body of unknown length is granted as its target reads it")
{
    transfer_scheduler scheduler{{.m_max_buffered = 10'000}};
    scheduler.add({.m_id = 1}, start);
    CHECK(scheduler.take_grants(start).front().m_limit == 10'000);
    scheduler.on_received(1, 10'000, start);
    scheduler.on_consumed(1, 8'000);
    CHECK(scheduler.take_grants(start).front().m_limit == 18'000);
}

// A target starts to read a long body only when its buffer is full.
TEST_CASE("the buffer of a long body is granted to its last byte")
{
    constexpr std::uint64_t buffer = 131'072;
    transfer_scheduler scheduler{{.m_max_buffered = buffer}};
    scheduler.add({.m_id = 1, .m_length = 130'000}, start);
    scheduler.add({.m_id = 2, .m_length = 400'000}, start);
    std::uint64_t limit = 0;
    for (int n = 0; n < 100; ++n)
    {
        for (auto const& grant : scheduler.take_grants(start))
        {
            auto const added = grant.m_id == 2 ? grant.m_limit - limit : 0;
            limit += added;
            scheduler.on_received(2, added, start);
        }
        scheduler.on_received(1, 1'000, start);
    }
    CHECK(limit == buffer);
}

TEST_CASE("the bytes in flight are bounded by the link, the most urgent body "
          "is granted first")
{
    transfer_scheduler scheduler{{.m_link_rate = slow_link_rate}};
    scheduler.add({.m_id = 1, .m_priority = 2, .m_length = 60'000}, start);
    scheduler.add(
        {.m_id = 2,
         .m_priority = 1,
         .m_objective = start + 2s,
         .m_length = 60'000},
        start);
    scheduler.add(
        {.m_id = 3,
         .m_priority = 1,
         .m_objective = start + 1s,
         .m_length = 20'000},
        start);
    std::chrono::duration<double> const delay =
        transfer_scheduler::max_link_delay;
    auto const window =
        static_cast<std::uint64_t>(slow_link_rate * delay.count());
    CHECK(
        scheduler.take_grants(start) ==
        std::vector<transfer_grant>{
            {.m_id = 3, .m_limit = 20'000},
            {.m_id = 2, .m_limit = window - 20'000}});
    CHECK(scheduler.take_grants(start).empty());
    scheduler.on_received(3, 20'000, start);
    scheduler.remove(3);
    CHECK(scheduler.take_grants(start).front().m_id == 2);
}

// The sender of the first body was cut off after it had received its grant.
TEST_CASE("a sender that does not use its grant does not block the others")
{
    transfer_scheduler scheduler{{.m_link_rate = slow_link_rate}};
    scheduler.add({.m_id = 1, .m_length = 600'000}, start);
    scheduler.add({.m_id = 2, .m_length = 60'000}, start);
    CHECK(scheduler.take_grants(start).front().m_id == 1);
    CHECK(scheduler.take_grants(start + 100ms).empty());
    auto const later = scheduler.take_grants(start + 200ms);
    REQUIRE_FALSE(later.empty());
    CHECK(std::any_of(
        later.begin(), later.end(),
        [](transfer_grant const& each)
        {
            return each.m_id == 2;
        }));
}

TEST_CASE("the expected time of a transfer includes the bodies before it")
{
    transfer_scheduler scheduler{{.m_link_rate = 1e6}};
    CHECK(scheduler.expected_time(100'000) == 100ms);
    scheduler.add({.m_id = 1, .m_length = 200'000}, start);
    CHECK(scheduler.expected_time(100'000) == 300ms);
    scheduler.on_received(1, 150'000, start);
    CHECK(scheduler.expected_time(100'000) == 150ms);
    scheduler.remove(1);
    CHECK(scheduler.size() == 0);
}

// Bodies of many senders fill the queue of a slow link, and calls and pings of
// others wait behind them.
TEST_CASE("replay of uploads on a slow link: grants bound the delay of short "
          "messages and delay the uploads little")
{
    auto const at_once = replay_uploads(false);
    auto const granted = replay_uploads(true);
    auto const p99 = [](std::vector<double> const& values)
    {
        return percentile(values, 0.99);
    };
    auto const median = [](std::vector<double> const& values)
    {
        return percentile(values, 0.5);
    };
    MESSAGE(
        "short messages, 99th percentile in ms: ",
        p99(at_once.m_short_messages_ms), " with bodies at once, ",
        p99(granted.m_short_messages_ms),
        " with grants; bodies, median: ", median(at_once.m_bodies_ms), ", ",
        median(granted.m_bodies_ms));
    CHECK(
        p99(granted.m_short_messages_ms) <=
        2 * to_ms(transfer_scheduler::max_link_delay));
    CHECK(p99(at_once.m_short_messages_ms) > 200);
    CHECK(median(granted.m_bodies_ms) < 1.2 * median(at_once.m_bodies_ms));
}

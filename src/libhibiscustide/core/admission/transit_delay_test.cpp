#include <hibiscustide/core/admission/transit_delay.hpp>

#include <algorithm>
#include <random>
#include <vector>

#include <doctest/doctest.h>

using hibiscustide::core::duration;
using hibiscustide::core::time_point;
using hibiscustide::core::admission::transit_delay;
using namespace std::chrono_literals;

namespace
{

// Frames from a sender whose clock has an offset and a rate of its own.
struct sender_link
{
    // Sends a frame that takes `delay`. Returns the estimate of its delay.
    duration send(duration delay)
    {
        auto const sent_at = std::chrono::duration_cast<duration>(
            (m_now - m_start) * m_rate - m_stopped + m_offset);
        return m_estimate.on_frame(sent_at, m_now + delay);
    }

    time_point m_start{10h};
    time_point m_now = m_start;
    duration m_offset = 7min;
    duration m_stopped{}; ///< Time for which the sender's clock stood still.
    double m_rate = 1.0;
    transit_delay m_estimate;
};

} // namespace

// A request that arrived 1.6 s after it had been sent, with 304 ms left when it
// was sent, was written to its target.
TEST_CASE("a frame that is late on a saturated link is found to be late")
{
    sender_link test;
    for (int n = 0; n < 50; ++n)
    {
        CHECK(test.send(300us) == 0ns);
        test.m_now += 100ms;
    }
    auto const late = test.send(1'600ms);
    CHECK(late > 1'590ms);
    CHECK(late <= 1'600ms);
    test.m_now += 2s;
    CHECK(test.send(400us) == 0ns);
}

// The estimate must not shorten deadlines in normal operation.
TEST_CASE("the estimate never exceeds the delay, for any rate of the clock "
          "and any density of frames")
{
    std::mt19937 random{5};
    std::exponential_distribution<double> jitter_ms{1.0};
    for (double const rate : {0.9995, 1.0, 1.0005})
    {
        for (auto const gap : {3ms, 200ms, 7'000ms, 45'000ms, 200'000ms})
        {
            sender_link test;
            test.m_rate = rate;
            for (int n = 0; n < 2'000; ++n)
            {
                duration const delay =
                    200us + std::chrono::microseconds{
                                static_cast<int>(jitter_ms(random) * 1'000)};
                REQUIRE(test.send(delay) <= delay);
                test.m_now += gap;
            }
        }
    }
}

TEST_CASE("the first frame of a sender is not late")
{
    sender_link test;
    CHECK(test.send(5s) == 0ns);
    test.m_now += 6s;
    // A lower difference replaces the first one at once.
    CHECK(test.send(1ms) == 0ns);
    test.m_now += 1s;
    CHECK(test.send(101ms) > 90ms);
}

// Frames of an earlier connection can arrive behind those of a later one.
TEST_CASE("frames out of order have the delay of their own")
{
    sender_link test;
    CHECK(test.send(1ms) == 0ns);
    auto const earlier = test.m_now + 10ms;
    test.m_now += 500ms;
    CHECK(test.send(1ms) == 0ns);
    test.m_now = earlier;
    auto const late = test.send(600ms);
    CHECK(late > 590ms);
    CHECK(late <= 600ms);
}

// Without an end of this error, all requests of a node whose VM was paused
// would be refused.
TEST_CASE("a sender's clock that stood still causes an error for the length of "
          "the window only")
{
    sender_link busy;
    for (int n = 0; n < 200; ++n)
    {
        static_cast<void>(busy.send(1ms));
        busy.m_now += 50ms;
    }
    busy.m_stopped = 3s;
    busy.m_now += 3s;
    auto const resumed_at = busy.m_now;
    CHECK(busy.send(1ms) > 2'900ms);
    while (busy.m_now < resumed_at + 2 * transit_delay::busy_window)
    {
        busy.m_now += 50ms;
        static_cast<void>(busy.send(1ms));
    }
    CHECK(busy.send(1ms) == 0ns);

    sender_link sparse;
    CHECK(sparse.send(1ms) == 0ns);
    sparse.m_stopped = 3s;
    sparse.m_now += 10s;
    CHECK(sparse.send(1ms) > 2'900ms);
    sparse.m_now += 2 * transit_delay::max_window;
    CHECK(sparse.send(1ms) == 0ns);
}

TEST_CASE("a receiver's clock that stood still causes no error")
{
    sender_link test;
    CHECK(test.send(1ms) == 0ns);
    // The sender's clock has advanced further than the receiver's.
    test.m_stopped = -3s;
    test.m_now += 100ms;
    CHECK(test.send(1ms) == 0ns);
    test.m_now += 100ms;
    CHECK(test.send(1ms) == 0ns);
}

// Each pair of 64 nodes exchanges a frame every few seconds only.
TEST_CASE("a late frame is found on a link with few frames")
{
    sender_link test;
    for (int n = 0; n < 10; ++n)
    {
        CHECK(test.send(1ms) == 0ns);
        test.m_now += 9s;
    }
    CHECK(test.send(1'600ms) > 1'550ms);
}

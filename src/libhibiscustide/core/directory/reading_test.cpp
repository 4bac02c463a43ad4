#include <hibiscustide/core/directory/reading.hpp>

#include <array>

#include <doctest/doctest.h>

#include <hibiscustide/core/hash.hpp>

namespace core = hibiscustide::core;
using core::directory::reading_duty;
using namespace std::chrono_literals;

namespace
{

core::time_point const start{1h};

// Two addresses, the one with the higher rank first.
std::array<char const*, 2> by_rank()
{
    constexpr auto one = "10.0.0.1";
    constexpr auto other = "10.0.0.2";
    bool const in_order = core::hash_of(one) > core::hash_of(other);
    return in_order ? std::array{one, other} : std::array{other, one};
}

} // namespace

TEST_CASE("the node of the highest rank reads, the other hears from it")
{
    auto const [high, low] = by_rank();
    reading_duty first{high};
    reading_duty second{low};
    CHECK(first.is_due(start));
    CHECK(second.is_due(start));
    first.on_peer(low, true, start);
    second.on_peer(high, true, start);
    CHECK(first.is_due(start + 10ms));
    CHECK_FALSE(second.is_due(start + 10ms));
}

TEST_CASE("a reader that falls silent or does not get through is replaced")
{
    auto const [high, low] = by_rank();
    reading_duty second{low};
    second.on_peer(high, true, start);
    second.on_peer(high, false, start + 500ms);
    CHECK_FALSE(second.is_due(start + 900ms));
    CHECK(second.is_due(start + reading_duty::reader_silence + 1ms));
}

TEST_CASE("while the service is away, those of lower rank try it seldom")
{
    auto const [high, low] = by_rank();
    reading_duty first{high};
    reading_duty second{low};
    first.on_peer(low, false, start);
    second.on_peer(high, false, start);
    CHECK(first.longest_retry(start) == reading_duty::first_rank_retry);
    CHECK(second.longest_retry(start) == reading_duty::other_rank_retry);
    CHECK(second.longest_retry(start + 2s) == reading_duty::first_rank_retry);
}

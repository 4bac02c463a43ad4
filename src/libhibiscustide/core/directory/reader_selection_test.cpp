#include <hibiscustide/core/directory/reader_selection.hpp>

#include <array>

#include <doctest/doctest.h>

#include <hibiscustide/core/hash.hpp>

namespace core = hibiscustide::core;
using core::directory::reader_selection;
using namespace std::chrono_literals;

namespace
{

core::time_point const start{1h};

// Two addresses, the address with the higher rank first.
std::array<char const*, 2> by_rank()
{
    constexpr auto one = "10.0.0.1";
    constexpr auto other = "10.0.0.2";
    bool const in_order = core::hash_of(one) > core::hash_of(other);
    return in_order ? std::array{one, other} : std::array{other, one};
}

} // namespace

TEST_CASE(
    "after an exchange of status only the node with the highest rank reads")
{
    auto const [high, low] = by_rank();
    reader_selection first{high};
    reader_selection second{low};
    CHECK(first.should_read(start));
    CHECK(second.should_read(start));
    first.on_peer(low, true, start);
    second.on_peer(high, true, start);
    CHECK(first.should_read(start + 10ms));
    CHECK_FALSE(second.should_read(start + 10ms));
}

TEST_CASE("a reader that stops reading is replaced after the timeout")
{
    auto const [high, low] = by_rank();
    reader_selection second{low};
    second.on_peer(high, true, start);
    second.on_peer(high, false, start + 500ms);
    CHECK_FALSE(second.should_read(start + 900ms));
    CHECK(second.should_read(start + reader_selection::reader_timeout + 1ms));
}

TEST_CASE(
    "while the publishing service is unavailable, nodes of lower rank retry "
    "less often")
{
    auto const [high, low] = by_rank();
    reader_selection first{high};
    reader_selection second{low};
    first.on_peer(low, false, start);
    second.on_peer(high, false, start);
    CHECK(first.max_retry_delay(start) == reader_selection::top_rank_max_retry);
    CHECK(
        second.max_retry_delay(start) ==
        reader_selection::lower_rank_max_retry);
    CHECK(
        second.max_retry_delay(start + 2s) ==
        reader_selection::top_rank_max_retry);
}

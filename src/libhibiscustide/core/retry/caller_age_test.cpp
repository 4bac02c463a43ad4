#include <hibiscustide/core/retry/caller_age.hpp>

#include <doctest/doctest.h>

using hibiscustide::core::time_point;
using hibiscustide::core::retry::caller_age;
using namespace std::chrono_literals;

namespace
{

time_point const start{1h};

} // namespace

TEST_CASE("a caller that states less time than others has waited already")
{
    caller_age age;
    CHECK(age.on_request(5s, start) == 0s);
    CHECK(age.on_request(4'100ms, start) == 0s);
    CHECK(age.on_request(3'500ms, start) == 1s);
    CHECK(age.on_request(5s, start + 1s) == 0s);
}

TEST_CASE("a longest time is forgotten after a while")
{
    caller_age age;
    CHECK(age.on_request(20s, start) == 0s);
    CHECK(age.on_request(5s, start + 10s) == 13s);
    CHECK(age.on_request(5s, start + 40s) == 13s);
    CHECK(age.on_request(5s, start + 75s) == 0s);
}

#include <hibiscustide/core/admission/stop_window.hpp>

#include <doctest/doctest.h>

using namespace std::chrono_literals;
using hibiscustide::core::time_point;
using hibiscustide::core::admission::last_answers_time;
using hibiscustide::core::admission::stop_limit_for;
using hibiscustide::core::admission::stop_window;

namespace
{

constexpr time_point start{1'000s};
constexpr stop_window stopping{.m_exit = start + 5s + last_answers_time};
constexpr time_point far_deadline = start + 60s;

} // namespace

TEST_CASE("a stopping node passes on what is expected to end in time")
{
    CHECK(stopping.may_start(3s, far_deadline, start));
    CHECK(stopping.may_start(600ms, far_deadline, start + 4s));
}

TEST_CASE("a stopping node refuses what is expected to end after its exit, "
          "with a margin for longer work")
{
    CHECK_FALSE(stopping.may_start(3'500ms, far_deadline, start));
    CHECK_FALSE(stopping.may_start(700ms, far_deadline, start + 4s));
}

TEST_CASE("a stopping node passes on what ends at its deadline in time")
{
    CHECK(stopping.may_start(3s, start + 4'500ms, start + 4s));
    CHECK_FALSE(stopping.may_start(3s, start + 5'001ms, start + 4s));
}

TEST_CASE("a stopping node passes nothing on while it sends its last answers")
{
    CHECK_FALSE(stopping.may_start(1ms, start + 5'001ms, start + 5s));
    CHECK_FALSE(stopping.may_start(1ms, start + 4'999ms, start + 5s));
}

TEST_CASE("a node exits before the end of the grace period, but ends requests "
          "only in its last sixth")
{
    for (auto const grace : {3s, 4s, 6s, 10s, 30s})
    {
        stop_window const window{.m_exit = start + stop_limit_for(grace)};
        CHECK(window.m_exit <= start + grace - 300ms);
        CHECK(window.last_end() >= start + grace * 5 / 6);
    }
    CHECK(stop_limit_for(6s) == 5'300ms);
}

TEST_CASE("the last end of a request leaves time for its answer")
{
    CHECK(stopping.last_end() == start + 5s);
}

TEST_CASE("a stopping node accepts requests until its callers are directed "
          "elsewhere")
{
    stop_window const window{
        .m_exit = start + 5s, .m_last_arrival = start + 3s};
    CHECK(window.accepts_at(start + 2'999ms));
    CHECK_FALSE(window.accepts_at(start + 3s));
}

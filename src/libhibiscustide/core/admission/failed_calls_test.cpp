#include <hibiscustide/core/admission/failed_calls.hpp>

#include <doctest/doctest.h>

using hibiscustide::core::admission::failed_calls;
using namespace std::chrono_literals;

namespace
{

hibiscustide::core::time_point const start{1h};

} // namespace

TEST_CASE("a failed call explains one failure of its target, for a limited "
          "time")
{
    failed_calls calls;
    CHECK_FALSE(calls.explains_failure(start));
    calls.on_call_failed(start);
    calls.on_call_failed(start + 400ms);
    CHECK(calls.explains_failure(start + 450ms));
    CHECK(calls.explains_failure(start + 460ms));
    CHECK_FALSE(calls.explains_failure(start + 470ms));
    calls.on_call_failed(start + 1s);
    CHECK_FALSE(calls.explains_failure(start + 1'501ms));
}

TEST_CASE("the number of failed calls that are kept is limited")
{
    failed_calls calls;
    for (std::size_t n = 0; n < 2 * failed_calls::max_count; ++n)
    {
        calls.on_call_failed(start);
    }
    for (std::size_t n = 0; n < failed_calls::max_count; ++n)
    {
        CHECK(calls.explains_failure(start));
    }
    CHECK_FALSE(calls.explains_failure(start));
}

#include <hibiscustide/core/admission/buffer_quota.hpp>

#include <optional>

#include <doctest/doctest.h>

using hibiscustide::core::admission::buffer_quota;

TEST_CASE("long buffers share the quota, short ones always fit")
{
    buffer_quota quota{{.m_max_total_bytes = 1'000, .m_min_bytes_each = 100}};
    buffer_quota::share first{quota};
    CHECK(first.grow_to(600));
    buffer_quota::share second{quota};
    CHECK(second.grow_to(400));
    CHECK_FALSE(second.grow_to(401));
    CHECK(quota.used_bytes() == 1'000);
    buffer_quota::share third{quota};
    CHECK(third.grow_to(100));
    CHECK_FALSE(third.grow_to(101));
    CHECK(quota.used_bytes() == 1'100);
}

TEST_CASE("a buffer does not shrink, and its share is freed with it")
{
    buffer_quota quota{{.m_max_total_bytes = 1'000, .m_min_bytes_each = 100}};
    std::optional<buffer_quota::share> first;
    first.emplace(quota);
    CHECK(first->grow_to(900));
    CHECK(first->grow_to(10));
    CHECK(quota.used_bytes() == 900);
    first.reset();
    CHECK(quota.used_bytes() == 0);
}

TEST_CASE("a share that shrinks leaves its memory to others")
{
    buffer_quota quota{{.m_max_total_bytes = 1'000, .m_min_bytes_each = 100}};
    buffer_quota::share first{quota};
    CHECK(first.grow_to(900));
    first.shrink_to(950);
    CHECK(quota.used_bytes() == 900);
    first.shrink_to(200);
    CHECK(quota.used_bytes() == 200);
    buffer_quota::share second{quota};
    CHECK(second.grow_to(800));
    CHECK_FALSE(first.grow_to(201));
}

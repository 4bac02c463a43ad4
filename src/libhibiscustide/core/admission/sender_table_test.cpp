#include <hibiscustide/core/admission/sender_table.hpp>

#include <doctest/doctest.h>

using hibiscustide::core::time_point;
using hibiscustide::core::admission::sender_table;
using namespace std::chrono_literals;

namespace
{

time_point const start{1h};
constexpr std::uint64_t sender = 77;

} // namespace

TEST_CASE("a connection is refused if a later one of its sender was accepted")
{
    sender_table table;
    CHECK(table.accept_connection(sender, 1, start));
    CHECK(table.accept_connection(sender, 3, start));
    CHECK_FALSE(table.accept_connection(sender, 2, start));
    CHECK_FALSE(table.accept_connection(sender, 3, start));
    CHECK(table.accept_connection(sender, 4, start));
    CHECK(table.accept_connection(sender + 1, 1, start));
}

// A sender whose VM was suspended asks for a request whose record was removed
// in the meantime. The request has run.
TEST_CASE("a request whose record was removed does not count as unknown")
{
    sender_table table;
    CHECK_FALSE(table.may_have_been_removed(sender, 5));
    table.on_record_removed(sender, 6, start);
    table.on_record_removed(sender, 2, start);
    CHECK(table.may_have_been_removed(sender, 5));
    CHECK(table.may_have_been_removed(sender, 6));
    CHECK_FALSE(table.may_have_been_removed(sender, 7));
    CHECK_FALSE(table.may_have_been_removed(sender + 1, 5));
}

TEST_CASE("senders without contact are removed after the retention time")
{
    sender_table table;
    CHECK(table.accept_connection(sender, 1, start));
    CHECK(table.accept_connection(sender + 1, 1, start + 9min));
    table.expire(start + sender_table::retention + 1ms);
    CHECK(table.size() == 1);
    CHECK(table.may_have_been_removed(sender, 1) == false);
}

TEST_CASE("a sender has reconnected once a connection with a higher number has "
          "been accepted")
{
    sender_table table;
    CHECK_FALSE(table.has_reconnected(sender, 1));
    CHECK(table.accept_connection(sender, 1, start));
    CHECK_FALSE(table.has_reconnected(sender, 1));
    CHECK(table.accept_connection(sender, 2, start));
    CHECK(table.has_reconnected(sender, 1));
    CHECK_FALSE(table.has_reconnected(sender, 2));
}

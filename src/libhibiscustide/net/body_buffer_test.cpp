#include "net/body_buffer.hpp"

#include <doctest/doctest.h>

namespace net = hibiscustide::net;

TEST_CASE("a body is read in pieces as it arrives")
{
    net::body_buffer body{{.m_length = 6}};
    int changes = 0;
    body.on_change(
        [&changes]
        {
            ++changes;
        });
    CHECK(body.read(0, 10).empty());
    body.append("abcd");
    CHECK(body.read(0, 3) == "abc");
    CHECK(body.read(3, 10) == "d");
    CHECK(body.current_state() == net::body_buffer::state::incomplete);
    body.append("ef");
    body.finish();
    CHECK(body.read(4, 10) == "ef");
    CHECK(body.current_state() == net::body_buffer::state::complete);
    CHECK(changes == 3);
}

TEST_CASE("released bytes make room for the producer")
{
    net::body_buffer body{{.m_capacity = 4}};
    int calls = 0;
    body.on_room(
        [&calls]
        {
            ++calls;
        });
    body.append("abcd");
    CHECK(body.room() == 0);
    body.release_before(3);
    CHECK(calls == 1);
    CHECK(body.room() == 3);
    CHECK(body.freed() == 3);
    CHECK_FALSE(body.can_restart());
    CHECK(body.read(0, 10).empty());
    CHECK(body.read(3, 10) == "d");
}

TEST_CASE("a body that is kept for a restart is freed only when the buffer is "
          "full")
{
    net::body_buffer body{{.m_capacity = 4, .m_keep_for_restart = true}};
    body.append("abc");
    body.release_before(3);
    CHECK(body.can_restart());
    CHECK(body.read(0, 10) == "abc");
    body.append("d");
    body.release_before(3);
    CHECK_FALSE(body.can_restart());
    CHECK(body.room() == 3);
}

TEST_CASE("a complete body that fits into the buffer can always be restarted")
{
    net::body_buffer body{{.m_capacity = 4, .m_keep_for_restart = true}};
    body.append("abcd");
    body.finish();
    body.release_before(4);
    CHECK(body.can_restart());
    auto const complete = net::body_buffer::make_complete("xyz");
    CHECK(complete->read(0, 10) == "xyz");
    CHECK(complete->length() == 3);
}

TEST_CASE("a body that failed stays incomplete and has a status")
{
    net::body_buffer body{{}};
    body.append("ab");
    body.fail(net::status::bad_request);
    body.append("cd");
    body.finish();
    CHECK(body.current_state() == net::body_buffer::state::failed);
    CHECK(body.failure() == net::status::bad_request);
    CHECK(body.size() == 2);
    CHECK_FALSE(body.can_restart());
}

TEST_CASE("a producer is told when the body is wanted and when it is not")
{
    net::body_buffer body{{}};
    int calls = 0;
    body.on_room(
        [&calls]
        {
            ++calls;
        });
    body.want();
    body.want();
    CHECK(calls == 1);
    CHECK(body.is_wanted());
    body.abandon();
    CHECK(calls == 2);
    CHECK(body.is_abandoned());
}

#include "net/rpc.hpp"

#include <doctest/doctest.h>

#include <hibiscustide/core/json_reader.hpp>

#include "net/headers.hpp"
#include "net/rpc_server.hpp"

namespace net = hibiscustide::net;
namespace orders = hibiscustide::core::orders;
namespace rpc = hibiscustide::net::rpc;

TEST_CASE(
    "look-up results survive conversion to JSON and back, including any bytes")
{
    orders::already_run const order{
        .m_answer = {
            .m_status = 201,
            .m_content_type = "image/png",
            .m_body = std::string{"\x89\0\xff\n\"", 5}}};
    auto const parsed = rpc::parse_look_up_result(rpc::to_json(order));
    REQUIRE(parsed);
    REQUIRE(std::holds_alternative<orders::already_run>(*parsed));
    CHECK(std::get<orders::already_run>(*parsed).m_answer == order.m_answer);
    for (orders::look_up_result const& value :
         {orders::look_up_result{orders::still_running{}},
          orders::look_up_result{orders::outcome_unknown{}},
          orders::look_up_result{orders::not_allowed{}}})
    {
        auto const converted = rpc::parse_look_up_result(rpc::to_json(value));
        REQUIRE(converted);
        CHECK(converted->index() == value.index());
    }
    CHECK_FALSE(rpc::parse_look_up_result(Json::Value{"x"}));
}

TEST_CASE("the RPC server returns results and reports errors")
{
    net::order_registry registry{"lookup-1"};
    net::rpc_server server{
        {.m_release_after =
             [](std::uint64_t revision)
         {
             return rpc::release_state{
                 .m_revision = revision + 1, .m_texts = {"note"}};
         },
         .m_release_offer =
             [](rpc::release_state const& offered)
         {
             return rpc::release_state{.m_revision = offered.m_texts.size()};
         }},
        registry};
    auto const send = [&](std::string const& text)
    {
        hibiscustide::core::field_errors errors;
        auto const answer =
            hibiscustide::core::parse_json(server.handle(text), "t", errors);
        REQUIRE(answer);
        return *answer;
    };
    auto const valid =
        send(R"({"jsonrpc":"2.0","id":1,"method":"release_after",)"
             R"("params":{"revision":4,"digest":"","texts":[]}})");
    CHECK(valid["result"]["revision"].asUInt64() == 5);
    CHECK(valid["result"]["texts"][0].asString() == "note");
    CHECK(send("{")["error"].isObject());
    CHECK(
        send(R"({"jsonrpc":"2.0","id":1,"method":"none","params":{}})")["error"]
            .isObject());
    CHECK(send(R"({"jsonrpc":"2.0","id":1,"method":"order_look_up",)"
               R"("params":{"key":""}})")["error"]
              .isObject());
    // This owner has just started, so its records do not cover a key without a
    // creation time.
    auto const unproven = send(
        R"({"jsonrpc":"2.0","id":1,"method":"order_look_up",)"
        R"("params":{"key":"lookup/k","attempt":"1","horizon_ms":60000}})");
    CHECK(unproven["result"]["state"].asString() == "unknown");
}

TEST_CASE("hop-by-hop and internal header fields are removed")
{
    net::http_request request;
    request.set(net::field::connection, "close, X-Once");
    request.set("X-Once", "1");
    request.set(net::field::upgrade, "h2c");
    request.set("hibiscustide-stage", "run");
    request.set("Hibiscustide-Deadline-Ms", "250");
    request.set("X-Kept", "1");
    net::headers::remove_hop_by_hop(request);
    net::headers::remove_internal(request);
    CHECK(std::distance(request.begin(), request.end()) == 2);
    CHECK(net::headers::value_of(request, "X-Kept") == "1");
    CHECK(net::headers::time_left(request) == std::chrono::milliseconds{250});
    request.set("Hibiscustide-Deadline-Ms", "-3");
    CHECK_FALSE(net::headers::time_left(request));
}

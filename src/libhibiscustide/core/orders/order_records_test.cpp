#include <hibiscustide/core/orders/order_records.hpp>

#include <doctest/doctest.h>

namespace orders = hibiscustide::core::orders;
using hibiscustide::core::reason;
using namespace std::chrono_literals;

namespace
{

constexpr auto horizon = 60s;
hibiscustide::core::time_point const start{1h};

orders::order_request request(char const* attempt, std::uint64_t body = 1)
{
    return {
        .m_key = "s/k",
        .m_attempt = attempt,
        .m_fingerprint = body,
        .m_horizon = horizon};
}

template <typename Alternative, typename Variant>
bool is(Variant const& value)
{
    return std::holds_alternative<Alternative>(value);
}

reason refusal_reason(orders::begin_decision const& decision)
{
    REQUIRE(is<orders::not_allowed>(decision));
    return std::get<orders::not_allowed>(decision).m_reason;
}

} // namespace

TEST_CASE("an order starts once and a resend gets the first answer")
{
    orders::order_records records{{}};
    CHECK(is<orders::may_start>(records.begin(request("a"), start)));
    CHECK(is<orders::still_running>(records.begin(request("b"), start)));
    records.finish("s/k", {.m_status = 200, .m_body = "printed"}, start);
    auto const again = records.begin(request("c"), start + 59s);
    REQUIRE(is<orders::already_run>(again));
    CHECK(std::get<orders::already_run>(again).m_answer.m_body == "printed");
}

TEST_CASE("a record expires one horizon after its last change")
{
    orders::order_records records{{}};
    static_cast<void>(records.begin(request("a"), start));
    records.finish("s/k", {.m_status = 200}, start + 50s);
    CHECK(is<orders::already_run>(records.begin(request("b"), start + 109s)));
    records.expire(start + 110s);
    CHECK(records.size() == 0);
    CHECK(records.bytes() == 0);
}

TEST_CASE("a resend with a different fingerprint is refused")
{
    orders::order_records records{{}};
    static_cast<void>(records.begin(request("a", 1), start));
    CHECK(
        refusal_reason(records.begin(request("b", 2), start)) ==
        reason::key_conflict);
}

TEST_CASE("a released order may begin again; one of unknown outcome may not")
{
    orders::order_records records{{}};
    static_cast<void>(records.begin(request("a"), start));
    records.discard("s/k");
    CHECK(is<orders::may_start>(records.begin(request("b"), start)));
    records.mark_outcome_unknown("s/k", start);
    CHECK(is<orders::outcome_unknown>(records.begin(request("c"), start)));
}

TEST_CASE("a look-up of a key without a record voids the attempt, not the key")
{
    orders::order_records records{{}};
    CHECK(is<orders::not_allowed>(records.look_up("s/k", "a", horizon, start)));
    CHECK(
        refusal_reason(records.begin(request("a"), start)) ==
        reason::key_voided);
    CHECK(is<orders::may_start>(records.begin(request("b"), start)));
    CHECK(
        is<orders::still_running>(records.look_up("s/k", "b", horizon, start)));
}

TEST_CASE("a transfer of ownership of a key without a record voids it for "
          "every attempt")
{
    orders::order_records records{{}};
    CHECK(is<orders::not_allowed>(
        records.transfer_ownership("s/k", horizon, start)));
    CHECK(
        refusal_reason(records.begin(request("a"), start)) ==
        reason::key_voided);
    CHECK(
        refusal_reason(records.begin(request("b"), start)) ==
        reason::key_voided);
    CHECK(is<orders::not_allowed>(
        records.transfer_ownership("s/k", horizon, start)));
}

TEST_CASE("a transfer of ownership of a recorded key gives its state")
{
    orders::order_records records{{}};
    static_cast<void>(records.begin(request("a"), start));
    CHECK(is<orders::still_running>(
        records.transfer_ownership("s/k", horizon, start)));
    records.finish("s/k", {.m_status = 201}, start);
    CHECK(is<orders::already_run>(
        records.transfer_ownership("s/k", horizon, start)));
}

TEST_CASE("full records refuse new keys and give an unknown outcome for them")
{
    orders::order_records records{{.m_max_records = 1}};
    static_cast<void>(records.begin(request("a"), start));
    orders::order_request other = request("b");
    other.m_key = "s/other";
    CHECK(refusal_reason(records.begin(other, start)) == reason::records_full);
    CHECK(is<orders::outcome_unknown>(
        records.look_up("s/other", "b", horizon, start)));
    CHECK(is<orders::outcome_unknown>(
        records.transfer_ownership("s/other", horizon, start)));
}

TEST_CASE(
    "an answer over the size limit is not stored but its key stays recorded")
{
    orders::order_records records{{.m_max_bytes = 1'000}};
    static_cast<void>(records.begin(request("a"), start));
    records.finish("s/k", {.m_body = std::string(2'000, 'x')}, start);
    CHECK(is<orders::outcome_unknown>(records.begin(request("b"), start)));
    CHECK(records.bytes() <= 1'000);
}

TEST_CASE("the record of a running order does not expire")
{
    orders::order_records records{{}};
    static_cast<void>(records.begin(request("a"), start));
    records.expire(start + 24h);
    CHECK(is<orders::still_running>(records.begin(request("b"), start + 24h)));
}

#include <hibiscustide/core/release/note_codec.hpp>

#include <string>

#include <doctest/doctest.h>

#include <hibiscustide/core/release/digest.hpp>

#include "core/release/test_notes.hpp"

namespace release = hibiscustide::core::release;
using hibiscustide::core::field_errors;

namespace
{

std::string errors_of(std::string const& text)
{
    auto const result = release::parse_note(text, "n.json");
    auto const* const errors = std::get_if<field_errors>(&result);
    return errors == nullptr ? "" : to_string(*errors);
}

std::string service_note(std::string const& fields)
{
    return R"({"revision":1,"services":{"added":[{"name":"s",)" + fields +
           "}]}}";
}

constexpr char const* routes = R"("routes":[{"prefix":"/","class":"live"}])";

} // namespace

TEST_CASE("parsing a serialized note returns the same note")
{
    auto note = release::tests::initial_note();
    auto const text = release::write_note(note);
    note.m_digest = release::digest_of(text);
    auto const result = release::parse_note(text, "n.json");
    REQUIRE(std::holds_alternative<release::release_note>(result));
    CHECK(std::get<release::release_note>(result) == note);
}

TEST_CASE("omitted fields get their default values")
{
    auto const text = service_note(std::string{R"("slots":8,)"} + routes);
    auto const result = release::parse_note(text, "n.json");
    REQUIRE(std::holds_alternative<release::release_note>(result));
    auto const& service =
        std::get<release::release_note>(result).m_services.m_added.front();
    CHECK(service.m_cold_slots == 1);
    CHECK(service.m_connections == 8);
    CHECK(service.m_timeout == std::chrono::seconds{5});
    CHECK(service.m_resend_horizon == std::chrono::seconds{60});
}

TEST_CASE("each invalid field is reported with its reason")
{
    CHECK(errors_of("{") != "");
    CHECK(
        errors_of("[]") == "n.json: (document): must be an object; "
                           "n.json: revision: is missing");
    CHECK(
        errors_of(R"({"revision":1,"colour":2})") ==
        "n.json: colour: is not a known field");
    CHECK(
        errors_of(R"({"revision":-1})")
            .find("revision: must be a non-negative integer") !=
        std::string::npos);
    CHECK(errors_of(R"({"revision":1,"revision":2})") != "");
    CHECK(
        errors_of(service_note(std::string{R"("slots":0,)"} + routes)) ==
        "n.json: services.added[0].slots: must be between 1 and 10000");
    CHECK(
        errors_of(service_note(
            std::string{R"("slots":4,"cold_slots":5,)"} + routes)) ==
        "n.json: services.added[0].cold_slots: must be between 1 and 4");
    CHECK(
        errors_of(service_note(
            R"("slots":4,"routes":[{"prefix":"x","class":"fast"}])")) ==
        "n.json: services.added[0].routes[0].prefix: must start with '/'; "
        "n.json: services.added[0].routes[0].class: must be live, status, "
        "background, internal or order");
    CHECK(
        errors_of(
            R"({"revision":1,"targets":{"added":[{"name":"T","service":"s",)"
            R"("failure_domain":"d","node":"host:1"}]}})") ==
        "n.json: targets.added[0].name: must contain only a-z, 0-9, '-' and "
        "'.', at most 128 characters; n.json: targets.added[0].node: must be "
        "an IP address and a port, ip:port");
}

TEST_CASE("deep nesting and oversized texts are rejected without a crash")
{
    CHECK(errors_of(std::string(100'000, '[')) != "");
    CHECK(
        errors_of(std::string(release::max_note_bytes + 1, ' ')) ==
        "n.json: (document): is larger than 1000000 bytes");
}

// Only the length of a digest was checked. A digest or a prefix with bytes that
// are not UTF-8 was accepted, and the note that was written from it was not
// valid JSON.
TEST_CASE("a text that cannot be written again is rejected")
{
    std::string const digest = "9bdc1c4e430f3e8b3d51\x80"
                               "48a5a07cea4";
    CHECK(
        errors_of(R"({"revision":2,"predecessor":")" + digest + "\"}") ==
        "n.json: predecessor: must be a digest of 32 hexadecimal digits");
    CHECK(
        errors_of(
            R"({"revision":2,"checkpoint":true,"digest":")" + digest + "\"}") ==
        "n.json: digest: must be a digest of 32 hexadecimal digits");
    CHECK(
        errors_of(service_note("\"slots\":4,\"routes\":[{\"prefix\":\"/\x80\","
                               "\"class\":\"live\"}]")) ==
        "n.json: services.added[0].routes[0].prefix: must contain only visible "
        "ASCII characters");
    CHECK(
        errors_of("{\"revision\":1,\"targets\":{\"withdrawn\":[\"\x80\"]}}") ==
        "n.json: targets.withdrawn: must contain only names of a-z, 0-9, '-' "
        "and '.', at most 128 characters");
}

// A share with more than six digits was written with six of them, so that the
// written note had another value.
TEST_CASE("a written share is the same when it is read again")
{
    auto const first = release::parse_note(
        service_note(
            std::string{R"("slots":8,"retry_share":0.123456789,)"} + routes),
        "n.json");
    REQUIRE(std::holds_alternative<release::release_note>(first));
    auto const& note = std::get<release::release_note>(first);
    auto const second =
        release::parse_note(release::write_note(note), "n.json");
    REQUIRE(std::holds_alternative<release::release_note>(second));
    CHECK(
        std::get<release::release_note>(second).m_services == note.m_services);
}

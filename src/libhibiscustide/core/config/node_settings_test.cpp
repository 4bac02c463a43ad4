#include <hibiscustide/core/config/node_settings.hpp>

#include <doctest/doctest.h>

namespace config = hibiscustide::core::config;
using hibiscustide::core::field_errors;

namespace
{

config::node_settings_text make_text()
{
    return {
        .m_name = "lookup-1",
        .m_failure_domain = "a",
        .m_caller_listen = "127.0.0.1:1",
        .m_peer_listen = "[::1]:2",
        .m_admin_listen = "127.0.0.1:3",
        .m_target = "127.0.0.1:4",
        .m_platform = "127.0.0.1:5"};
}

} // namespace

TEST_CASE("valid node settings are parsed")
{
    auto const checked = config::check_settings(make_text());
    REQUIRE(std::holds_alternative<config::node_settings>(checked));
    auto const& settings = std::get<config::node_settings>(checked);
    CHECK(settings.m_peer_listen.m_address == "::1");
    CHECK(settings.m_peer_listen.m_port == 2);
    CHECK(settings.m_drain_notice == std::chrono::seconds{2});
}

TEST_CASE("every invalid node setting is reported")
{
    auto text = make_text();
    text.m_name = "";
    text.m_target = "localhost:80";
    text.m_policy = "best";
    text.m_traffic_threads = "0";
    text.m_drain_notice_ms = "2s";
    auto const checked = config::check_settings(text);
    REQUIRE(std::holds_alternative<field_errors>(checked));
    auto const& errors = std::get<field_errors>(checked);
    REQUIRE(errors.size() == 5);
    CHECK(to_string(errors[0]) == "settings: --name: is missing");
    CHECK(errors[1].m_field == "--target");
    CHECK(errors[2].m_field == "--policy");
    CHECK(errors[3].m_reason == "'0' is not a whole number between 1 and 64");
    CHECK(errors[4].m_field == "--drain-notice-ms");
}

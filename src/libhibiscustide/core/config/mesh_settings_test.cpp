#include <hibiscustide/core/config/mesh_settings.hpp>

#include <doctest/doctest.h>

namespace core = hibiscustide::core;
namespace config = core::config;

namespace
{

config::mesh_settings_text make_text()
{
    return {
        .m_name = "node-1",
        .m_failure_domain = "a",
        .m_service = "lookup",
        .m_target = "10.0.0.1:8080",
        .m_caller_listen = "10.0.0.1:80",
        .m_ready_listen = "10.0.0.1:81",
        .m_peer_address = "10.0.0.1",
        .m_peer_ports = "7000,7015",
        .m_publisher = "10.0.0.2:2400"};
}

} // namespace

TEST_CASE("valid mesh settings are parsed")
{
    auto const checked = config::check_settings(make_text());
    REQUIRE(std::holds_alternative<config::mesh_settings>(checked));
    auto const& settings = std::get<config::mesh_settings>(checked);
    CHECK(settings.m_peer_listen.m_port == 7'000);
    CHECK(settings.m_admin_listen.m_port == 7'015);
    CHECK(settings.m_retry_ratio == doctest::Approx(0.2));
}

// With a fixed stop limit, a shorter grace period would kill the node while it
// still serves.
TEST_CASE("the stop limit follows the grace period")
{
    auto const stop_limit_of = [](std::string const& grace_s)
    {
        auto text = make_text();
        text.m_grace_s = grace_s;
        auto const checked = config::check_settings(text);
        REQUIRE(std::holds_alternative<config::mesh_settings>(checked));
        return std::get<config::mesh_settings>(checked).m_stop_limit;
    };
    CHECK(stop_limit_of("").count() == 5'300);
    CHECK(stop_limit_of("6").count() == 5'300);
    CHECK(stop_limit_of("4").count() < 3'700);
    CHECK(stop_limit_of("10").count() == 9'300);
}

TEST_CASE("every invalid mesh setting is reported")
{
    auto text = make_text();
    text.m_name = "";
    text.m_target = "target:80";
    text.m_peer_ports = "7000";
    text.m_peer_address = "here";
    text.m_retry_ratio = "1.5";
    text.m_first_start = "maybe";
    text.m_address_reuse_s = "soon";
    text.m_log_level = "loud";
    auto const checked = config::check_settings(text);
    REQUIRE(std::holds_alternative<core::field_errors>(checked));
    CHECK(std::get<core::field_errors>(checked).size() == 8);
}

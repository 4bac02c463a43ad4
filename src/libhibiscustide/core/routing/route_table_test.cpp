#include <hibiscustide/core/routing/route_table.hpp>

#include <array>

#include <doctest/doctest.h>

namespace directory = hibiscustide::core::directory;
using hibiscustide::core::routing::route_table;
using hibiscustide::core::routing::weighted_round_robin;

namespace
{

std::shared_ptr<directory::configuration const> make_config()
{
    directory::configuration config{.m_version = 1};
    auto const add = [&config](char const* host, char const* prefix)
    {
        config.m_routes.push_back(
            {.m_name = prefix,
             .m_host = host,
             .m_path_prefix = prefix,
             .m_services = {{.m_service = "lookup"}}});
    };
    add("one.example", "/");
    add("one.example", "/a/");
    add("one.example", "/a/b/");
    add("two.example", "/a/");
    return std::make_shared<directory::configuration const>(std::move(config));
}

std::string name_of(
    route_table& table, std::string_view host, std::string_view path)
{
    auto const* const entry = table.find(host, path);
    return entry == nullptr ? "none" : entry->m_route->m_name;
}

} // namespace

TEST_CASE("the route with the longest prefix of the host is found")
{
    route_table table{make_config()};
    CHECK(name_of(table, "one.example", "/a/b/c") == "/a/b/");
    CHECK(name_of(table, "one.example", "/a/bc") == "/a/");
    CHECK(name_of(table, "one.example", "/a") == "/");
    CHECK(name_of(table, "one.example:8080", "/a/x?q=/a/b/") == "/a/");
    CHECK(name_of(table, "two.example", "/a/b/c") == "/a/");
    CHECK(name_of(table, "two.example", "/b/") == "none");
    CHECK(name_of(table, "three.example", "/") == "none");
    CHECK(name_of(table, "one.example", "") == "none");
}

TEST_CASE(
    "the count of each service stays within one request of its weighted share")
{
    weighted_round_robin selector{
        {{.m_service = "a", .m_weight = 90},
         {.m_service = "b", .m_weight = 7},
         {.m_service = "c", .m_weight = 3}}};
    std::array<double, 3> const weights{0.90, 0.07, 0.03};
    std::array<int, 3> counts{};
    for (int n = 1; n <= 1'000; ++n)
    {
        ++counts.at(selector.next());
        for (std::size_t part = 0; part < counts.size(); ++part)
        {
            CHECK(counts.at(part) >= weights.at(part) * n - 1.0);
            CHECK(counts.at(part) <= weights.at(part) * n + 1.0);
        }
    }
}

TEST_CASE("a service of weight 0 gets no requests")
{
    weighted_round_robin selector{
        {{.m_service = "a", .m_weight = 0}, {.m_service = "b"}}};
    for (int n = 0; n < 10; ++n)
    {
        CHECK(selector.next() == 1);
    }
}

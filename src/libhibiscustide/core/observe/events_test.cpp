#include <hibiscustide/core/observe/events.hpp>

#include <fstream>
#include <regex>
#include <set>
#include <string>

#include <doctest/doctest.h>

namespace observe = hibiscustide::core::observe;

TEST_CASE("docs/EVENTS.md lists exactly the events of the catalogue")
{
    std::ifstream in{HIBISCUSTIDE_SOURCE_DIR "/docs/EVENTS.md"};
    REQUIRE(in.is_open());
    std::regex const row{R"(\| (\d+) \| (\w+) \| (\w+) \| .*)"};
    std::set<std::string> documented;
    std::string line;
    while (std::getline(in, line))
    {
        std::smatch parts;
        if (std::regex_match(line, parts, row))
        {
            documented.insert(
                parts[1].str() + " " + parts[2].str() + " " + parts[3].str());
        }
    }
    constexpr std::array<char const*, 4> levels{
        "debug", "info", "warn", "error"};
    std::set<std::string> in_code;
    for (auto const& entry : observe::event_catalogue())
    {
        in_code.insert(
            std::to_string(static_cast<unsigned>(entry.m_event)) + " " +
            levels.at(static_cast<std::size_t>(entry.m_level)) + " " +
            std::string{entry.m_name});
        CHECK(observe::entry_of(entry.m_event).m_name == entry.m_name);
    }
    CHECK(documented == in_code);
}

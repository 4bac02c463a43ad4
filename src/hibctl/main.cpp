// hibctl: checks release notes and shows what the fleet does.
#include <cstdio>
#include <exception>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include <hibiscustide/core/endpoint.hpp>
#include <hibiscustide/core/error.hpp>
#include <hibiscustide/core/json_reader.hpp>
#include <hibiscustide/net/fleet_report.hpp>

#include "note_check.hpp"

namespace
{

namespace core = hibiscustide::core;
namespace ctl = hibiscustide::ctl;
namespace net = hibiscustide::net;

constexpr int exit_not_answering = 1;
constexpr int exit_bad_input = 2;

constexpr char const* footer = R"(
Examples:
  hibctl check 0001-region.json 0002-away.json
  hibctl state 10.20.1.1:7401
  hibctl report 10.20.1.1:7401 10.20.2.2:7401 --json

A node is named by its address for administration.

Exit status: 0 where all is well, 1 where a node does not answer, 2 for bad
input.)";

struct command_line
{
    std::vector<std::string> m_notes;
    std::string m_node;
    std::vector<std::string> m_nodes;
    bool m_json = false;
};

int fail(core::field_errors const& errors)
{
    for (auto const& error : errors)
    {
        std::fprintf(stderr, "hibctl: %s\n", core::to_string(error).c_str());
    }
    return exit_bad_input;
}

// Parses the addresses, or says which is none.
core::value_or_errors<std::vector<core::endpoint>> parse_nodes(
    std::vector<std::string> const& words)
{
    std::vector<core::endpoint> nodes;
    core::field_errors errors;
    for (auto const& word : words)
    {
        if (auto const node = core::parse_endpoint(word))
        {
            nodes.push_back(*node);
            continue;
        }
        errors.push_back(
            {.m_source = "command line",
             .m_field = word,
             .m_reason = "is no IP address with a port"});
    }
    if (!errors.empty())
    {
        return errors;
    }
    return nodes;
}

int check(command_line const& words)
{
    auto checked = ctl::check_notes(words.m_notes);
    if (auto const* const errors = std::get_if<core::field_errors>(&checked))
    {
        return fail(*errors);
    }
    auto const& report = std::get<Json::Value>(checked);
    auto const text =
        words.m_json ? core::write_json(report) + "\n" : ctl::to_text(report);
    std::fputs(text.c_str(), stdout);
    return 0;
}

int state(command_line const& words)
{
    auto parsed = parse_nodes({words.m_node});
    if (auto const* const errors = std::get_if<core::field_errors>(&parsed))
    {
        return fail(*errors);
    }
    auto const nodes =
        net::gather_states(std::get<std::vector<core::endpoint>>(parsed));
    if (!nodes.front().m_state)
    {
        std::fprintf(
            stderr, "hibctl: no answer from %s\n", words.m_node.c_str());
        return exit_not_answering;
    }
    auto const& value = *nodes.front().m_state;
    auto const text =
        words.m_json ? core::write_json(value) + "\n" : value.toStyledString();
    std::fputs(text.c_str(), stdout);
    return 0;
}

int report(command_line const& words)
{
    auto parsed = parse_nodes(words.m_nodes);
    if (auto const* const errors = std::get_if<core::field_errors>(&parsed))
    {
        return fail(*errors);
    }
    auto const nodes =
        net::gather_states(std::get<std::vector<core::endpoint>>(parsed));
    auto const summary = net::summarize(nodes);
    auto const text =
        words.m_json ? core::write_json(summary) + "\n" : net::to_text(summary);
    std::fputs(text.c_str(), stdout);
    return summary["not_answering"].empty() ? 0 : exit_not_answering;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Checks release notes and shows what the fleet does"};
    app.set_version_flag("--version", HIBISCUSTIDE_VERSION);
    app.footer(footer);
    app.require_subcommand(1);
    command_line words;
    auto* const check_command = app.add_subcommand(
        "check", "Fold notes, oldest first, and say what they come to");
    check_command->add_option("NOTE", words.m_notes, "Files with notes")
        ->required();
    check_command->add_flag("--json", words.m_json, "Write JSON");
    auto* const state_command =
        app.add_subcommand("state", "Show the state of one node");
    state_command->add_option("NODE", words.m_node, "Node, ip:port")
        ->required();
    state_command->add_flag("--json", words.m_json, "Write JSON in one line");
    auto* const report_command =
        app.add_subcommand("report", "Sum up the states of nodes");
    report_command->add_option("NODE", words.m_nodes, "Nodes, ip:port")
        ->required();
    report_command->add_flag("--json", words.m_json, "Write JSON");
    CLI11_PARSE(app, argc, argv);
    try
    {
        if (check_command->parsed())
        {
            return check(words);
        }
        if (state_command->parsed())
        {
            return state(words);
        }
        return report(words);
    }
    catch (std::exception const& failure)
    {
        std::fprintf(stderr, "hibctl: %s\n", failure.what());
        return exit_bad_input;
    }
}

// hibctl: checks release notes and shows the state of nodes.
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

NODE is the address of a node's administration listener.

Exit status: 0 on success, 1 if a node does not answer, 2 on invalid input.)";

struct command_line
{
    std::vector<std::string> m_notes;
    std::string m_node;
    std::vector<std::string> m_nodes;
    bool m_json = false;
};

int report_errors(core::field_errors const& errors)
{
    for (auto const& error : errors)
    {
        std::fprintf(stderr, "hibctl: %s\n", core::to_string(error).c_str());
    }
    return exit_bad_input;
}

// Parses the addresses; returns one error for each invalid address.
core::value_or_errors<std::vector<core::endpoint>> parse_nodes(
    std::vector<std::string> const& texts)
{
    std::vector<core::endpoint> nodes;
    core::field_errors errors;
    for (auto const& text : texts)
    {
        if (auto const node = core::parse_endpoint(text))
        {
            nodes.push_back(*node);
            continue;
        }
        errors.push_back(
            {.m_source = "command line",
             .m_field = text,
             .m_reason = "is not an IP address with a port"});
    }
    if (!errors.empty())
    {
        return errors;
    }
    return nodes;
}

int check(command_line const& arguments)
{
    auto checked = ctl::check_notes(arguments.m_notes);
    if (auto const* const errors = std::get_if<core::field_errors>(&checked))
    {
        return report_errors(*errors);
    }
    auto const& report = std::get<Json::Value>(checked);
    auto const text = arguments.m_json ? core::write_json(report) + "\n"
                                       : ctl::to_text(report);
    std::fputs(text.c_str(), stdout);
    return 0;
}

int state(command_line const& arguments)
{
    auto parsed = parse_nodes({arguments.m_node});
    if (auto const* const errors = std::get_if<core::field_errors>(&parsed))
    {
        return report_errors(*errors);
    }
    auto const nodes =
        net::gather_states(std::get<std::vector<core::endpoint>>(parsed));
    if (!nodes.front().m_state)
    {
        std::fprintf(
            stderr, "hibctl: no answer from %s\n", arguments.m_node.c_str());
        return exit_not_answering;
    }
    auto const& value = *nodes.front().m_state;
    auto const text = arguments.m_json ? core::write_json(value) + "\n"
                                       : value.toStyledString();
    std::fputs(text.c_str(), stdout);
    return 0;
}

int report(command_line const& arguments)
{
    auto parsed = parse_nodes(arguments.m_nodes);
    if (auto const* const errors = std::get_if<core::field_errors>(&parsed))
    {
        return report_errors(*errors);
    }
    auto const nodes =
        net::gather_states(std::get<std::vector<core::endpoint>>(parsed));
    auto const summary = net::summarize(nodes);
    auto const text = arguments.m_json ? core::write_json(summary) + "\n"
                                       : net::to_text(summary);
    std::fputs(text.c_str(), stdout);
    return summary["not_answering"].empty() ? 0 : exit_not_answering;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Checks release notes and shows the state of nodes"};
    app.set_version_flag("--version", HIBISCUSTIDE_VERSION);
    app.footer(footer);
    app.require_subcommand(1);
    command_line arguments;
    auto* const check_command = app.add_subcommand(
        "check", "Check notes, oldest first, and show what each changes");
    check_command->add_option("NOTE", arguments.m_notes, "Files with notes")
        ->required();
    check_command->add_flag("--json", arguments.m_json, "Write JSON");
    auto* const state_command =
        app.add_subcommand("state", "Show the state of one node");
    state_command->add_option("NODE", arguments.m_node, "Node, ip:port")
        ->required();
    state_command->add_flag(
        "--json", arguments.m_json, "Write JSON in one line");
    auto* const report_command =
        app.add_subcommand("report", "Summarize the states of nodes");
    report_command->add_option("NODE", arguments.m_nodes, "Nodes, ip:port")
        ->required();
    report_command->add_flag("--json", arguments.m_json, "Write JSON");
    CLI11_PARSE(app, argc, argv);
    try
    {
        if (check_command->parsed())
        {
            return check(arguments);
        }
        if (state_command->parsed())
        {
            return state(arguments);
        }
        return report(arguments);
    }
    catch (std::exception const& failure)
    {
        std::fprintf(stderr, "hibctl: %s\n", failure.what());
        return exit_bad_input;
    }
}

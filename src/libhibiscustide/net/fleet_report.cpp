#include <hibiscustide/net/fleet_report.hpp>

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <hibiscustide/core/json_reader.hpp>

#include "net/fetch.hpp"

namespace hibiscustide::net
{

namespace
{

awaitable<void> fetch_state(asio::io_context& context, node_report& node)
{
    auto const response = co_await fetch(context, node.m_admin, "/state");
    if (!response || response->result() != status::ok)
    {
        co_return;
    }
    core::field_errors errors;
    auto state = core::parse_json(response->body(), "state", errors);
    if (state && state->isObject())
    {
        node.m_state = std::move(*state);
    }
}

void add_counters(Json::Value& sums, Json::Value const& counters)
{
    for (auto const& name : counters.getMemberNames())
    {
        auto const& value = counters[name];
        if (value.isObject())
        {
            add_counters(sums[name], value);
        }
        else
        {
            sums[name] = Json::UInt64{sums[name].asUInt64() + value.asUInt64()};
        }
    }
}

void add_node(Json::Value& summary, Json::Value const& state)
{
    auto const& release = state["release"];
    auto& revision = summary["revisions"][release["revision"].asString()];
    revision["nodes"] = revision["nodes"].asUInt() + 1;
    auto const since = release["in_force_since_ms"].asInt64();
    auto const last_in_force =
        std::max<std::int64_t>(revision["last_in_force_ms"].asInt64(), since);
    revision["last_in_force_ms"] = Json::Int64{last_in_force};
    revision["published_ms"] = release["published_ms"];
    auto const& why = state["gate"]["closed_because"];
    if (why.isString())
    {
        summary["closed"][state["name"].asString()] = why;
    }
    add_counters(summary["counters"], state["counters"]);
}

void append_revisions(std::string& text, Json::Value const& revisions)
{
    for (auto const& name : revisions.getMemberNames())
    {
        auto const& entry = revisions[name];
        auto const published = entry["published_ms"].asInt64();
        text += fmt::format(
            "  revision {:<8} in force on {} nodes", name,
            entry["nodes"].asUInt());
        if (published > 0)
        {
            text += fmt::format(
                ", on the last node {} ms after publication",
                entry["last_in_force_ms"].asInt64() - published);
        }
        text += '\n';
    }
}

void append_counters(std::string& text, Json::Value const& counters)
{
    for (auto const& name : counters.getMemberNames())
    {
        auto const& value = counters[name];
        if (!value.isObject())
        {
            text += fmt::format("  {:<22} {:>12}\n", name, value.asUInt64());
        }
    }
    auto const& refused = counters["not_answered"];
    for (auto const& name : refused.getMemberNames())
    {
        text += fmt::format(
            "  {:<22} {:>12}\n", "not answered: " + name,
            refused[name].asUInt64());
    }
}

} // namespace

std::vector<node_report> gather_states(std::vector<core::endpoint> const& nodes)
{
    std::vector<node_report> reports;
    reports.reserve(nodes.size());
    asio::io_context context{1};
    for (auto const& node : nodes)
    {
        reports.push_back({.m_admin = node});
    }
    for (auto& report : reports)
    {
        asio::co_spawn(context, fetch_state(context, report), asio::detached);
    }
    context.run();
    return reports;
}

Json::Value summarize(std::vector<node_report> const& nodes)
{
    Json::Value summary{Json::objectValue};
    summary["nodes"] = Json::UInt64{nodes.size()};
    summary["revisions"] = Json::Value{Json::objectValue};
    summary["closed"] = Json::Value{Json::objectValue};
    summary["counters"] = Json::Value{Json::objectValue};
    auto& not_answering = summary["not_answering"] =
        Json::Value{Json::arrayValue};
    for (auto const& node : nodes)
    {
        if (node.m_state)
        {
            add_node(summary, *node.m_state);
        }
        else
        {
            not_answering.append(core::to_string(node.m_admin));
        }
    }
    return summary;
}

std::string to_text(Json::Value const& summary)
{
    auto text = fmt::format(
        "fleet: {} nodes, {} not answering\n", summary["nodes"].asUInt(),
        summary["not_answering"].size());
    for (auto const& node : summary["not_answering"])
    {
        text += "  no answer from " + node.asString() + '\n';
    }
    append_revisions(text, summary["revisions"]);
    auto const& closed = summary["closed"];
    for (auto const& name : closed.getMemberNames())
    {
        text += fmt::format(
            "  {} takes no work: {}\n", name, closed[name].asString());
    }
    append_counters(text, summary["counters"]);
    return text;
}

} // namespace hibiscustide::net

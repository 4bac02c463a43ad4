/// \file
/// Combines the state dumps of nodes into a report for operators. A state dump
/// is the JSON object that a node returns under the path /state.
#ifndef HIBISCUSTIDE_NET_FLEET_REPORT_HPP
#define HIBISCUSTIDE_NET_FLEET_REPORT_HPP

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <json/value.h>

#include <hibiscustide/core/endpoint.hpp>

namespace hibiscustide::net
{

/// The state dump of a node.
struct node_report
{
    core::endpoint m_admin; ///< The node's address for administration.
    std::optional<Json::Value> m_state; ///< Empty if the node did not answer.
};

/// Reads the state dumps of all nodes concurrently. `nodes` are their addresses
/// for administration. Blocks for at most two seconds.
[[nodiscard]] std::vector<node_report> gather_states(
    std::vector<core::endpoint> const& nodes);

/// Summarizes the fleet in one JSON object: the number of nodes for each
/// revision of the release notes in force, the nodes that do not answer, the
/// nodes that refuse new requests with the reason, and the sums of the counters
/// of all nodes.
[[nodiscard]] Json::Value summarize(std::vector<node_report> const& nodes);

/// Formats the output of summarize as text.
[[nodiscard]] std::string to_text(Json::Value const& summary);

} // namespace hibiscustide::net

#endif

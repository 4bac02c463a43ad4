/// \file
/// JSON-RPC 2.0 between nodes: the messages and how a call is made.
#ifndef HIBISCUSTIDE_NET_RPC_HPP
#define HIBISCUSTIDE_NET_RPC_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <json/value.h>

#include <hibiscustide/core/orders/order_records.hpp>
#include <hibiscustide/core/time.hpp>

#include "net/connection_pool.hpp"
#include "net/http_types.hpp"
#include "net/metrics.hpp"

namespace hibiscustide::net::rpc
{

/// Where a node takes JSON-RPC on its listener for peers.
inline constexpr std::string_view path = "/hibiscustide/rpc";

/// Asks for the notes after a revision.
inline constexpr char const* release_after = "release_after";

/// Offers notes, oldest first.
inline constexpr char const* release_offer = "release_offer";

/// Asks what became of an attempt at an order whose connection was lost.
inline constexpr char const* order_look_up = "order_look_up";

/// Asks a previous home what became of a key, and ends its right to it.
inline constexpr char const* order_hand_over = "order_hand_over";

/// What a node holds, as an answer to release_after and release_offer.
struct release_state
{
    std::uint64_t m_revision = 0;
    std::string m_digest;
    std::vector<std::string> m_texts;
    /// Time since any node is known to have read the configuration service.
    std::uint64_t m_read_age_ms = 0;
};

[[nodiscard]] Json::Value to_json(release_state const& state);
[[nodiscard]] std::optional<release_state> parse_release_state(
    Json::Value const& value);

/// A question about an order.
struct order_query
{
    std::string m_key; ///< With its service, as the records have it.
    std::string m_attempt;
    std::uint64_t m_horizon_ms = 0;
};

[[nodiscard]] Json::Value to_json(order_query const& question);
[[nodiscard]] std::optional<order_query> parse_order_query(
    Json::Value const& value);

[[nodiscard]] Json::Value to_json(core::orders::look_up_result const& result);
[[nodiscard]] std::optional<core::orders::look_up_result> parse_look_up_result(
    Json::Value const& value);

/// Calls a method of the peer that the pool leads to. Nothing where the peer
/// can't be reached by the deadline or answers with an error.
awaitable<std::optional<Json::Value>> call(
    connection_pool& peer, char const* method, Json::Value const& parameters,
    core::time_point deadline, metrics& counts);

} // namespace hibiscustide::net::rpc

#endif

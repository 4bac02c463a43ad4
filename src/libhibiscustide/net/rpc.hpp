/// \file
/// JSON-RPC 2.0 between nodes: the messages and the client side of a call.
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

/// The path for JSON-RPC requests on a node's listener for peers.
inline constexpr std::string_view path = "/hibiscustide/rpc";

/// Requests the release notes after a revision.
inline constexpr char const* release_after = "release_after";

/// Offers release notes, oldest first.
inline constexpr char const* release_offer = "release_offer";

/// Requests the state of an order after the connection of an attempt was lost.
inline constexpr char const* order_look_up = "order_look_up";

/// Transfers the ownership of a key to the requesting node from a previous
/// owner, which returns the state of the key and may no longer run the order
/// from then on. The method is called "order_hand_over" on the wire.
inline constexpr char const* order_transfer_ownership = "order_hand_over";

/// The release notes of a node: parameter and result of release_after and
/// release_offer.
struct release_state
{
    std::uint64_t m_revision = 0;
    std::string m_digest;
    std::vector<std::string> m_texts;
    /// Time since the last known read of the configuration service by any node.
    std::uint64_t m_read_age_ms = 0;
};

[[nodiscard]] Json::Value to_json(release_state const& state);
[[nodiscard]] std::optional<release_state> parse_release_state(
    Json::Value const& value);

/// The parameters of order_look_up and order_transfer_ownership.
struct order_query
{
    std::string m_key; ///< Prefixed with its service, as in the order records.
    std::string m_attempt;
    std::uint64_t m_horizon_ms = 0;
};

[[nodiscard]] Json::Value to_json(order_query const& query);
[[nodiscard]] std::optional<order_query> parse_order_query(
    Json::Value const& value);

[[nodiscard]] Json::Value to_json(core::orders::look_up_result const& result);
[[nodiscard]] std::optional<core::orders::look_up_result> parse_look_up_result(
    Json::Value const& value);

/// Calls a method of the peer to which the pool connects. Returns std::nullopt
/// if the peer cannot be reached before the deadline or returns an error.
awaitable<std::optional<Json::Value>> call(
    connection_pool& peer, char const* method, Json::Value const& parameters,
    core::time_point deadline, metrics& counts);

} // namespace hibiscustide::net::rpc

#endif

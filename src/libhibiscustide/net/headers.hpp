/// \file
/// The header fields that this system adds to HTTP messages.
#ifndef HIBISCUSTIDE_NET_HEADERS_HPP
#define HIBISCUSTIDE_NET_HEADERS_HPP

#include <chrono>
#include <optional>
#include <string_view>

#include "net/http_types.hpp"

namespace hibiscustide::net::headers
{

// Sent to callers.
inline constexpr std::string_view verdict = "Hibiscustide-Verdict";
inline constexpr std::string_view reason = "Hibiscustide-Reason";
inline constexpr std::string_view replayed = "Hibiscustide-Replayed";

// Received from callers and forwarded: the remaining time in milliseconds.
inline constexpr std::string_view deadline_ms = "Hibiscustide-Deadline-Ms";

// Sent between nodes and from a gate to its target.
inline constexpr std::string_view attempt = "Hibiscustide-Attempt";

// Sent between nodes.
inline constexpr std::string_view stage = "Hibiscustide-Stage";
inline constexpr std::string_view load = "Hibiscustide-Load";

// Sent by targets: "shed" or "draining" in a 503 response to a request that was
// not run.
inline constexpr std::string_view target_refused = "Target-Refused";

// Sent by callers: the key that identifies an order.
inline constexpr std::string_view idempotency_key = "Idempotency-Key";

// Values of the stage field. The owner of an order key is called "home" there.
inline constexpr std::string_view stage_run = "run";
inline constexpr std::string_view stage_owner = "home";

/// Removes the hop-by-hop fields (RFC 9110, section 7.6.1): Connection, the
/// fields that it names, and the other fields that apply to one connection
/// only.
void remove_hop_by_hop(beast::http::fields& fields);

/// Removes the hop-by-hop fields of a request, long ones included.
void remove_hop_by_hop(http_request& request);

/// Whether nodes interpret the field: it concerns one connection, or the length
/// or the route of the message. Such a field may not be a long one.
[[nodiscard]] bool is_interpreted(field name) noexcept;

/// Whether a message can store the field. A field behind a long one of the same
/// name is a long one too, so that their order is kept.
[[nodiscard]] bool can_store(
    header_fields const& long_fields, std::string_view name,
    std::string_view value) noexcept;

/// Appends a field to the long ones, without white space around its value.
void append(
    header_fields& long_fields, std::string_view name, std::string_view value);

/// Removes the long fields of a request that have the name of one of `fields`.
void remove_long_fields(
    http_request& request, beast::http::fields const& fields);

/// Adds a field to a request. Fields of the same name stay.
void add(http_request& request, std::string_view name, std::string_view value);

/// Removes the fields of this system, except the deadline. Clients outside the
/// system must not set them.
void remove_internal(beast::http::fields& fields);

/// Returns the value of a field, or an empty string if the field is missing.
[[nodiscard]] std::string_view value_of(
    beast::http::fields const& fields, std::string_view name);

/// Sets the value of a field. Replaces any previous value.
void set(
    beast::http::fields& fields, std::string_view name, std::string_view value);

/// Returns the time in the deadline field, or std::nullopt if the field is
/// missing or not a number.
[[nodiscard]] std::optional<std::chrono::milliseconds> time_left(
    beast::http::fields const& fields);

} // namespace hibiscustide::net::headers

#endif

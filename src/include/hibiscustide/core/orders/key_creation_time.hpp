/// \file
/// Reads the creation time of the idempotency key of an order, a request that
/// runs at most once for its key.
#ifndef HIBISCUSTIDE_CORE_ORDERS_KEY_CREATION_TIME_HPP
#define HIBISCUSTIDE_CORE_ORDERS_KEY_CREATION_TIME_HPP

#include <optional>
#include <string_view>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::orders
{

/// The creation time in a UUID of version 7 (RFC 9562, section 5.7), by the
/// clock of the process that created it; std::nullopt for a key of any other
/// form.
[[nodiscard]] std::optional<unix_ms> creation_time_of(
    std::string_view key) noexcept;

} // namespace hibiscustide::core::orders

#endif

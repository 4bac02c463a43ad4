/// \file
/// Reads the time of birth out of an order key.
#ifndef HIBISCUSTIDE_CORE_ORDERS_KEY_CREATION_TIME_HPP
#define HIBISCUSTIDE_CORE_ORDERS_KEY_CREATION_TIME_HPP

#include <optional>
#include <string_view>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::orders
{

/// The moment at which a UUID of version 7 (RFC 9562, section 5.7) was made, by
/// its maker's clock; nothing for a key of any other form.
[[nodiscard]] std::optional<unix_ms> creation_time_of(
    std::string_view key) noexcept;

} // namespace hibiscustide::core::orders

#endif

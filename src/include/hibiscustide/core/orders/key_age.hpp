/// \file
/// Decides from its age whether an order key can be new to a home.
#ifndef HIBISCUSTIDE_CORE_ORDERS_KEY_AGE_HPP
#define HIBISCUSTIDE_CORE_ORDERS_KEY_AGE_HPP

#include <chrono>
#include <compare>
#include <string_view>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::orders
{

/// How far a key may lie before the start of a home and still be taken for
/// newer than it: the 4 s in which a note comes into force everywhere and 1 s
/// between the clocks of callers and nodes.
inline constexpr std::chrono::milliseconds key_age_margin{5'000};

/// What a home's records can say of a key that they don't hold.
enum class key_age
{
    covered, ///< Had it run, the records would hold it.
    too_old, ///< It may have run and its record may have gone.
};

/// When the records of a home began, on both clocks.
struct records_start
{
    time_point m_at;
    unix_ms m_at_unix{0};

    friend auto operator<=>(records_start const&, records_start const&) =
        default;
};

/// The age of a key. Records that began a horizon ago cover every key that was
/// sent within the horizon; younger records cover only keys that prove a later
/// birth. A key that proves to be older than the horizon is too old always.
[[nodiscard]] key_age key_age_of(
    std::string_view key, records_start const& start, duration horizon,
    time_point now, unix_ms now_unix) noexcept;

} // namespace hibiscustide::core::orders

#endif

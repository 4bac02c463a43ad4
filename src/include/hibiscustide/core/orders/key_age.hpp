/// \file
/// Decides from the creation time of an order's key whether an owner that has
/// no record of the key can rule out an earlier run of the order.
///
/// An order is a request that runs at most once for its idempotency key. The
/// records of an owner cover a key if the absence of a record proves that the
/// order has not run. The resend horizon is the time within which a caller may
/// send an order again with the same key.
#ifndef HIBISCUSTIDE_CORE_ORDERS_KEY_AGE_HPP
#define HIBISCUSTIDE_CORE_ORDERS_KEY_AGE_HPP

#include <chrono>
#include <compare>
#include <string_view>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::orders
{

/// A key counts as newer than an owner's records only if it was created more
/// than this time after they began: 4 s for a note to come into force on every
/// node and 1 s of clock skew between callers and nodes.
inline constexpr std::chrono::milliseconds key_age_margin{5'000};

/// Whether an owner's records cover a key that is not among them.
enum class key_age
{
    covered, ///< The order has not run, or its key would have a record.
    too_old, ///< The order may have run before the records began, or its
             ///< record may have expired.
};

/// The time at which the records of an owner began.
struct records_start
{
    time_point m_at;      ///< On the monotonic clock.
    unix_ms m_at_unix{0}; ///< On the wall clock.

    friend auto operator<=>(records_start const&, records_start const&) =
        default;
};

/// Whether the records that began at `start` cover a key. `horizon` is the
/// resend horizon of the service. Records that began at least `horizon` ago
/// cover every key that was first sent within the horizon. Younger records
/// cover only keys whose creation time is later than their start. A key whose
/// creation time is older than the horizon is never covered. Both comparisons
/// of creation times allow for key_age_margin.
[[nodiscard]] key_age key_age_of(
    std::string_view key, records_start const& start, duration horizon,
    time_point now, unix_ms now_unix) noexcept;

} // namespace hibiscustide::core::orders

#endif

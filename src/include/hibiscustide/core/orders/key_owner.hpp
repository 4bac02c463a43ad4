/// \file
/// Finds the owner of an order key: the only node that may start its order.
///
/// An order is a request that runs at most once for its idempotency key. The
/// keys of a service are hashed into ranges, and each range has one owner. The
/// fleet is the configuration that results from the release notes. A target is
/// in service if it is in the fleet and its failure domain is not withdrawn.
#ifndef HIBISCUSTIDE_CORE_ORDERS_KEY_OWNER_HPP
#define HIBISCUSTIDE_CORE_ORDERS_KEY_OWNER_HPP

#include <compare>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hibiscustide/core/release/fleet.hpp>
#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::orders
{

/// Number of ranges into which the keys of a service are hashed.
inline constexpr std::uint32_t ranges_per_service = 64;

/// The range of an order key, less than ranges_per_service.
[[nodiscard]] std::uint32_t range_of(
    std::string_view service, std::string_view key) noexcept;

/// A node that is or was the owner of a range.
struct owner_node
{
    std::string m_name; ///< The name of the node's target.
    std::string m_node; ///< The node's address for peers, "ip:port".

    friend auto operator<=>(owner_node const&, owner_node const&) = default;
};

/// The owner of a range: the node beside the target that, of the service's
/// targets in service in `fleet`, has the highest weight in rendezvous hashing
/// (Thaler and Ravishankar). The owner does not depend on the observed health
/// of the targets. std::nullopt if no target of the service is in service.
[[nodiscard]] std::optional<owner_node> owner_of(
    release::fleet const& fleet, std::string_view service, std::uint32_t range);

/// The current and recent owners of each range of one service.
class owner_history
{
public:
    /// Largest number of past sets of owners that are kept, one for each
    /// change.
    static constexpr std::size_t max_changes = 32;

    explicit owner_history(std::string service);

    /// Applies the fleet that is in force from `now`. If owners change, those
    /// of the previous fleet are kept until `now` plus the service's resend
    /// horizon, the time within which a caller may send an order again with the
    /// same key (a resend).
    void update(std::shared_ptr<release::fleet const> fleet, time_point now);

    /// The owners that the range had within the resend horizon, except the
    /// current owner.
    [[nodiscard]] std::vector<owner_node> previous_owners(
        std::uint32_t range, time_point now) const;

    /// Until this time the history is incomplete, because more than max_changes
    /// changes occurred within the horizon. previous_owners may then lack a
    /// node that has run an order, so for a key without a record it cannot be
    /// ruled out that its order has run.
    [[nodiscard]] time_point incomplete_until() const noexcept;

private:
    struct past_owners
    {
        std::vector<owner_node> m_owners; ///< One for each range.
        time_point m_until;
    };

    [[nodiscard]] std::vector<owner_node> owners_in(
        release::fleet const& fleet) const;

    std::string m_service;
    std::shared_ptr<release::fleet const> m_fleet;
    std::vector<owner_node> m_current;
    std::deque<past_owners> m_past;
    time_point m_incomplete_until{};
};

} // namespace hibiscustide::core::orders

#endif

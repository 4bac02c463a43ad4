/// \file
/// Finds the one node that may let an order run.
#ifndef HIBISCUSTIDE_CORE_ORDERS_HOME_HPP
#define HIBISCUSTIDE_CORE_ORDERS_HOME_HPP

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

/// Keys of a service fall into this many ranges; each range has one home.
inline constexpr std::uint32_t ranges_per_service = 64;

/// The range of an order key, under ranges_per_service.
[[nodiscard]] std::uint32_t range_of(
    std::string_view service, std::string_view key) noexcept;

/// A node that is or was home to a range.
struct home_node
{
    std::string m_name; ///< Of the target that the node stands beside.
    std::string m_node; ///< Its address for peers, "ip:port".

    friend auto operator<=>(home_node const&, home_node const&) = default;
};

/// The home of a range: the first member of the service, as the note has it,
/// by rendezvous hashing (Thaler and Ravishankar). It does not depend on who
/// seems healthy. Nothing where no member is in service.
[[nodiscard]] std::optional<home_node> home_of(
    release::fleet const& fleet, std::string_view service, std::uint32_t range);

/// Remembers for one service which homes a key may have had lately.
class home_history
{
public:
    /// Changes of membership that are remembered at most.
    static constexpr std::size_t max_changes = 32;

    explicit home_history(std::string service);

    /// A new fleet is in force from `now`; homes under the one before it are
    /// remembered until `now` plus the service's resend horizon.
    void update(std::shared_ptr<release::fleet const> fleet, time_point now);

    /// The homes that the range had within the horizon, without the present
    /// one.
    [[nodiscard]] std::vector<home_node> previous_homes(
        std::uint32_t range, time_point now) const;

    /// Until when some change is missing, because more than max_changes came
    /// within the horizon. Keys born before can't be cleared.
    [[nodiscard]] time_point incomplete_until() const noexcept;

private:
    struct past_homes
    {
        std::vector<home_node> m_homes; ///< One for each range.
        time_point m_until;
    };

    [[nodiscard]] std::vector<home_node> homes_under(
        release::fleet const& fleet) const;

    std::string m_service;
    std::shared_ptr<release::fleet const> m_fleet;
    std::vector<home_node> m_current;
    std::deque<past_homes> m_past;
    time_point m_incomplete_until{};
};

} // namespace hibiscustide::core::orders

#endif

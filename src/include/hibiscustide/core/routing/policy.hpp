/// \file
/// The ways to choose a target among the members of a service.
#ifndef HIBISCUSTIDE_CORE_ROUTING_POLICY_HPP
#define HIBISCUSTIDE_CORE_ROUTING_POLICY_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include <hibiscustide/core/routing/target_load.hpp>
#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::routing
{

using random_engine = std::mt19937_64;

/// One member that may be chosen. The load is owned by the caller.
struct candidate
{
    target_load const* m_load = nullptr;
    bool m_same_domain = false; ///< In the chooser's own failure domain.
};

/// Any member with equal chance.
struct random_choice
{
    [[nodiscard]] std::size_t operator()(
        std::span<candidate const> members, time_point now,
        random_engine& random);
};

/// Each member in turn.
struct round_robin
{
    std::uint64_t m_next = 0;

    [[nodiscard]] std::size_t operator()(
        std::span<candidate const> members, time_point now,
        random_engine& random);
};

/// The one of two random members with fewer attempts in flight from here
/// (Mitzenmacher, "The power of two choices in randomized load balancing").
struct two_choices
{
    [[nodiscard]] std::size_t operator()(
        std::span<candidate const> members, time_point now,
        random_engine& random);
};

/// The member with the fewest attempts in flight from here, ties at random.
struct least_in_flight
{
    [[nodiscard]] std::size_t operator()(
        std::span<candidate const> members, time_point now,
        random_engine& random);
};

/// Among a few random members, the one with the least expected latency by
/// the loads that answers carried; one with room goes before one that is full.
/// The own failure domain breaks near ties. (After Prequal, Wydrowski et al.,
/// "Load is not what you should balance".)
struct sampled_load
{
    static constexpr std::size_t samples = 3;

    [[nodiscard]] std::size_t operator()(
        std::span<candidate const> members, time_point now,
        random_engine& random);
};

using policy = std::variant<
    random_choice, round_robin, two_choices, least_in_flight, sampled_load>;

/// The policy with this name: "random", "round-robin", "two-choices",
/// "least-in-flight" or "sampled-load"; nothing for any other name.
[[nodiscard]] std::optional<policy> parse_policy(std::string_view name);

/// The names that parse_policy knows, in that order.
[[nodiscard]] std::span<std::string_view const> policy_names() noexcept;

/// Chooses a position among the members. Precondition: there is one at least.
[[nodiscard]] std::size_t choose(
    policy& how, std::span<candidate const> members, time_point now,
    random_engine& random);

} // namespace hibiscustide::core::routing

#endif

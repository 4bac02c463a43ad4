/// \file
/// Load balancing policies: how an ingress, the part of a node that accepts
/// callers' requests, chooses a target among the targets of a service.
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

/// One of the targets among which a policy chooses.
struct candidate
{
    target_load const* m_load = nullptr; ///< Not owned.
    bool m_same_domain = false; ///< In the failure domain of the ingress.
};

/// Chooses every candidate with equal probability.
struct random_choice
{
    [[nodiscard]] std::size_t operator()(
        std::span<candidate const> candidates, time_point now,
        random_engine& random);
};

/// Chooses the candidates in turn.
struct round_robin
{
    std::uint64_t m_next = 0;

    [[nodiscard]] std::size_t operator()(
        std::span<candidate const> candidates, time_point now,
        random_engine& random);
};

/// Chooses, of two random candidates, the one to which this thread has fewer
/// attempts in flight (Mitzenmacher, "The power of two choices in randomized
/// load balancing").
struct two_choices
{
    [[nodiscard]] std::size_t operator()(
        std::span<candidate const> candidates, time_point now,
        random_engine& random);
};

/// Chooses the candidate to which this thread has the fewest attempts in
/// flight; ties are broken at random.
struct least_in_flight
{
    [[nodiscard]] std::size_t operator()(
        std::span<candidate const> candidates, time_point now,
        random_engine& random);
};

/// Chooses, of a few random candidates, the one with the lowest expected
/// latency according to the loads reported with answers. Candidates with free
/// capacity are preferred to full candidates, and the same failure domain
/// breaks near ties. (After Prequal, Wydrowski et al., "Load is not what you
/// should balance".)
struct sampled_load
{
    static constexpr std::size_t samples = 3;

    [[nodiscard]] std::size_t operator()(
        std::span<candidate const> candidates, time_point now,
        random_engine& random);
};

using policy = std::variant<
    random_choice, round_robin, two_choices, least_in_flight, sampled_load>;

/// Returns the policy with this name: "random", "round-robin", "two-choices",
/// "least-in-flight" or "sampled-load"; nothing for any other name.
[[nodiscard]] std::optional<policy> parse_policy(std::string_view name);

/// The names that parse_policy accepts, in that order.
[[nodiscard]] std::span<std::string_view const> policy_names() noexcept;

/// Applies the policy and returns the position of the chosen candidate.
/// Precondition: `candidates` is not empty.
[[nodiscard]] std::size_t choose(
    policy& selected, std::span<candidate const> candidates, time_point now,
    random_engine& random);

} // namespace hibiscustide::core::routing

#endif

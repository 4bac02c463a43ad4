#include <hibiscustide/core/routing/policy.hpp>

#include <algorithm>
#include <array>

namespace hibiscustide::core::routing
{

namespace
{

constexpr auto names = std::to_array<std::string_view>(
    {"random", "round-robin", "two-choices", "least-in-flight",
     "sampled-load"});

// The latency of a candidate of another failure domain is multiplied by this
// factor, so that the same failure domain is preferred for similar latencies.
constexpr double cross_domain_factor = 1.15;

std::size_t draw(std::size_t count, random_engine& random)
{
    std::uniform_int_distribution<std::size_t> position{0, count - 1};
    return position(random);
}

// A position that differs from the first if there is more than one.
std::size_t draw_other(
    std::size_t first, std::size_t count, random_engine& random)
{
    if (count == 1)
    {
        return first;
    }
    auto const second = draw(count - 1, random);
    return second < first ? second : second + 1;
}

struct cost
{
    bool m_full = false;
    double m_latency = 0.0;

    friend auto operator<=>(cost const&, cost const&) = default;
};

cost cost_of(candidate const& each, time_point now)
{
    auto latency = each.m_load->estimated_latency(now);
    if (!each.m_same_domain)
    {
        latency *= cross_domain_factor;
    }
    return {
        .m_full = each.m_load->estimated_utilisation(now) >= 1.0,
        .m_latency = latency};
}

} // namespace

std::size_t random_choice::operator()(
    std::span<candidate const> candidates, time_point, random_engine& random)
{
    return draw(candidates.size(), random);
}

std::size_t round_robin::operator()(
    std::span<candidate const> candidates, time_point, random_engine&)
{
    return m_next++ % candidates.size();
}

std::size_t two_choices::operator()(
    std::span<candidate const> candidates, time_point, random_engine& random)
{
    auto const first = draw(candidates.size(), random);
    auto const second = draw_other(first, candidates.size(), random);
    bool const second_is_less_loaded = candidates[second].m_load->in_flight() <
                                       candidates[first].m_load->in_flight();
    return second_is_less_loaded ? second : first;
}

std::size_t least_in_flight::operator()(
    std::span<candidate const> candidates, time_point, random_engine& random)
{
    // A random start breaks ties at random.
    auto const start = draw(candidates.size(), random);
    auto best = start;
    for (std::size_t n = 1; n < candidates.size(); ++n)
    {
        auto const position = (start + n) % candidates.size();
        if (candidates[position].m_load->in_flight() <
            candidates[best].m_load->in_flight())
        {
            best = position;
        }
    }
    return best;
}

std::size_t sampled_load::operator()(
    std::span<candidate const> candidates, time_point now,
    random_engine& random)
{
    auto best = draw(candidates.size(), random);
    auto best_cost = cost_of(candidates[best], now);
    for (std::size_t n = 1; n < samples; ++n)
    {
        auto const position = draw(candidates.size(), random);
        auto const position_cost = cost_of(candidates[position], now);
        if (position_cost < best_cost)
        {
            best = position;
            best_cost = position_cost;
        }
    }
    return best;
}

std::optional<policy> parse_policy(std::string_view name)
{
    if (name == "random")
    {
        return random_choice{};
    }
    if (name == "round-robin")
    {
        return round_robin{};
    }
    if (name == "two-choices")
    {
        return two_choices{};
    }
    if (name == "least-in-flight")
    {
        return least_in_flight{};
    }
    if (name == "sampled-load")
    {
        return sampled_load{};
    }
    return std::nullopt;
}

std::span<std::string_view const> policy_names() noexcept
{
    return names;
}

std::size_t choose(
    policy& selected, std::span<candidate const> candidates, time_point now,
    random_engine& random)
{
    auto const pick = [&](auto& alternative)
    {
        return alternative(candidates, now, random);
    };
    return std::visit(pick, selected);
}

} // namespace hibiscustide::core::routing

#include <hibiscustide/core/admission/contention_model.hpp>

#include <algorithm>
#include <chrono>

namespace hibiscustide::core::admission
{

namespace
{

// Requests that start at a lower share of the slots are ignored. They run at
// times of low load and cannot be compared with those of a burst.
constexpr double min_compared_share = 0.35;

// With fewer slots, some ranges of load contain no number of requests.
constexpr std::uint32_t min_slots = 10;

// Weight of one request in the mean of its range.
constexpr double sample_weight = 0.08;

// Number of requests after which the mean of a range is used. Processing times
// vary by about a third.
constexpr std::uint32_t min_samples = 8;

// Measurements expire after this time, so that a concurrency that was found to
// be too high is tried again.
constexpr std::chrono::seconds sample_lifetime{60};

// Throughputs that differ by less than this factor are treated as equal.
constexpr double equal_throughput = 0.93;

// First range that is used only after the lower ones, to measure it. The lower
// ranges are always used.
constexpr std::size_t first_explored = 2;

// Bounds of one time ratio, so that a single request that waited for something
// else does not dominate the mean.
constexpr double min_ratio = 0.1;
constexpr double max_ratio = 6.0;

} // namespace

void contention_model::on_answered(
    std::uint32_t running_at_start, std::uint32_t slots, double time_ratio,
    time_point now) noexcept
{
    double const share =
        static_cast<double>(running_at_start) / std::max(slots, 1U);
    if (share <= min_compared_share)
    {
        return;
    }
    std::size_t index = 0;
    while (index + 1 < range_ends.size() && share > range_ends.at(index))
    {
        ++index;
    }
    auto& range = m_ranges.at(index);
    if (now - range.m_updated_at > sample_lifetime)
    {
        range = {};
    }
    double const ratio = std::clamp(time_ratio, min_ratio, max_ratio);
    double const weight =
        std::max(sample_weight, 1.0 / (range.m_samples + 1.0));
    range.m_mean_ratio += (ratio - range.m_mean_ratio) * weight;
    range.m_updated_at = now;
    ++range.m_samples;
}

void contention_model::set_share_of_peers(std::optional<double> share) noexcept
{
    m_share_of_peers = share;
}

// Among ranges of about the same throughput, the highest concurrency is
// preferred.
std::optional<double> contention_model::measured_share(
    time_point now) const noexcept
{
    double ratio = 1.0;
    double best_throughput = 0;
    double best_share = range_ends.front();
    for (std::size_t n = 0; n < m_ranges.size(); ++n)
    {
        auto const& range = m_ranges.at(n);
        bool const is_measured = has_enough_samples(range, now);
        if (!is_measured && n >= first_explored)
        {
            return std::nullopt;
        }
        ratio = is_measured ? range.m_mean_ratio : ratio;
        double const throughput = range_ends.at(n) / ratio;
        if (throughput < best_throughput * equal_throughput)
        {
            return best_share;
        }
        best_throughput = std::max(best_throughput, throughput);
        best_share = range_ends.at(n);
    }
    return best_share;
}

// Without a result, the first range without measurements may be used. A request
// keeps the speed at which it starts, so the measurement slows only the
// requests that are started in that range.
std::uint32_t contention_model::best_concurrency(
    std::uint32_t slots, time_point now) const noexcept
{
    if (slots < min_slots)
    {
        return slots;
    }
    auto const measured = measured_share(now);
    double const assumed = m_share_of_peers.value_or(share_to_measure(now));
    double const share = measured.value_or(assumed);
    auto const limit = static_cast<std::uint32_t>(slots * share);
    return std::clamp(limit, 1U, slots);
}

double contention_model::share_to_measure(time_point now) const noexcept
{
    std::size_t n = first_explored;
    while (n + 1 < m_ranges.size() && has_enough_samples(m_ranges.at(n), now))
    {
        ++n;
    }
    return range_ends.at(n);
}

bool contention_model::has_enough_samples(
    load_range const& range, time_point now) noexcept
{
    return range.m_samples >= min_samples &&
           now - range.m_updated_at <= sample_lifetime;
}

} // namespace hibiscustide::core::admission

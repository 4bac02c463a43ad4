/// \file
/// Learns how many concurrent requests a target processes best.
#ifndef HIBISCUSTIDE_CORE_ADMISSION_CONTENTION_MODEL_HPP
#define HIBISCUSTIDE_CORE_ADMISSION_CONTENTION_MODEL_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::admission
{

/// Estimates the processing time of a target as a function of the number of
/// requests that it runs at once, and derives the concurrency with the highest
/// throughput.
///
/// Some targets become slower when nearly all of their slots, the requests that
/// they may run at once, are in use. In a burst, a gate that fills every slot
/// of such a target then gets fewer answers per second than one that leaves
/// some slots free.
///
/// A gate raises the concurrency in steps and measures some requests at each of
/// them. Until then, the gate uses what the gates of other targets of the same
/// service have measured, so that a burst need not be spent on measurements.
///
/// The processing time also changes for other reasons, such as slow calls that
/// the requests make. So the concurrency is at least `min_share` of the slots.
/// Not thread-safe.
class contention_model
{
public:
    /// Lowest concurrency that the model returns, as a share of the slots.
    static constexpr double min_share = 0.7;

    /// Records the processing time of a request that the target answered.
    /// `running_at_start` is the number of requests that the target ran when
    /// it started, itself included. `time_ratio` is the processing time,
    /// corrected for the speed of the VM, divided by the usual one.
    void on_answered(
        std::uint32_t running_at_start, std::uint32_t slots, double time_ratio,
        time_point now) noexcept;

    /// Sets the share of the slots that other gates of the service have
    /// measured to be best; nothing if none has.
    void set_share_of_peers(std::optional<double> share) noexcept;

    /// The share of the slots with the highest throughput according to this
    /// gate's own measurements; nothing before it has enough of them at high
    /// load.
    [[nodiscard]] std::optional<double> measured_share(
        time_point now) const noexcept;

    /// The concurrency with the highest estimated throughput, at most `slots`;
    /// slightly less than `slots` until high loads have been measured.
    [[nodiscard]] std::uint32_t best_concurrency(
        std::uint32_t slots, time_point now) const noexcept;

private:
    /// Mean time ratio of the requests that started at one range of load.
    struct load_range
    {
        double m_mean_ratio = 0;
        std::uint32_t m_samples = 0;
        time_point m_updated_at{};
    };

    /// Upper ends of the ranges, as shares of the slots.
    static constexpr std::array range_ends{min_share, 0.8, 0.9, 1.0};

    [[nodiscard]] double share_to_measure(time_point now) const noexcept;
    [[nodiscard]] static bool has_enough_samples(
        load_range const& range, time_point now) noexcept;

    std::array<load_range, range_ends.size()> m_ranges;
    std::optional<double> m_share_of_peers;
};

} // namespace hibiscustide::core::admission

#endif

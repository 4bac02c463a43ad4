/// \file
/// Estimates how long a frame was delayed on its way from another node.
#ifndef HIBISCUSTIDE_CORE_ADMISSION_TRANSIT_DELAY_HPP
#define HIBISCUSTIDE_CORE_ADMISSION_TRANSIT_DELAY_HPP

#include <chrono>
#include <cstdint>
#include <optional>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::admission
{

/// Estimates the delay of the frames of one sender from the time on the
/// sender's clock that each of them states. The clocks of the two nodes have an
/// unknown offset. The least difference between arrival and sending time that
/// was seen is therefore taken for the offset, and the excess of a frame over
/// it is the delay.
///
/// Both clocks must include the time for which a VM was suspended. The estimate
/// is a lower bound of the delay as long as the clocks run, even if the first
/// frames were late: it omits the least delay of the window, at most
/// `resolution`, and `max_rate_error` of the age of the least difference (60 ms
/// for the oldest one). A delay that lasts longer than the window is omitted.
///
/// If the sender's clock stands still, as on a VM that is paused without
/// notice, later frames seem late by the length of the pause. The estimate
/// contains this error until the window has passed: for at most
/// 2 x `busy_window` while at least `min_samples` frames arrive in each
/// `busy_window`, and for at most 2 x `max_window` otherwise. A pause of the
/// receiver's clock causes no such error. Not thread-safe.
class transit_delay
{
public:
    /// Frames after which a least difference may be replaced.
    static constexpr std::uint32_t min_samples = 8;
    static constexpr std::chrono::seconds busy_window{5};
    static constexpr std::chrono::seconds max_window{30};

    /// Excess that is not counted, so that the resolution of the clocks does
    /// not shorten deadlines.
    static constexpr std::chrono::milliseconds resolution{1};

    /// Largest assumed difference in rate between the two clocks. The kernel
    /// changes the rate of a clock by up to 500 ppm to adjust it.
    static constexpr double max_rate_error = 0.001;

    /// Returns the delay of a frame that was sent at `sent_at` on the sender's
    /// clock and was received at `now`.
    [[nodiscard]] duration on_frame(duration sent_at, time_point now);

    /// When the last frame was received.
    [[nodiscard]] time_point last_frame_at() const noexcept;

private:
    /// The frames of one part of the window.
    struct period
    {
        time_point m_began_at{};
        duration m_least{}; ///< Least difference.
        time_point m_least_at{};
        std::uint32_t m_samples = 0;
    };

    void advance(time_point now);
    void add(duration difference, time_point now);

    std::optional<period> m_current;
    std::optional<period> m_previous;
    time_point m_last_frame_at{};
};

} // namespace hibiscustide::core::admission

#endif

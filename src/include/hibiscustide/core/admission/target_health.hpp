/// \file
/// Assesses the health of a target from probes and from requests.
#ifndef HIBISCUSTIDE_CORE_ADMISSION_TARGET_HEALTH_HPP
#define HIBISCUSTIDE_CORE_ADMISSION_TARGET_HEALTH_HPP

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include <hibiscustide/core/routing/speed.hpp>
#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::admission
{

/// An answer of a target's health endpoint.
struct health_answer
{
    bool m_healthy = false;
    std::string m_instance; ///< Empty if the answer contains no instance id.
    std::chrono::milliseconds m_warm_up_left{0};
    std::uint32_t m_slowness = 100; ///< Processing time, in percent of usual.

    friend auto operator<=>(health_answer const&, health_answer const&) =
        default;
};

/// Outcome of a request, as evidence of the target's health.
enum class target_outcome
{
    answered, ///< A complete answer that is not a target failure.
    failed,   ///< An error, a truncated answer, a reset or a timeout.
    refused,  ///< The target refused the request.
};

/// Tracks the health of one target. A health endpoint can be stale or wrong, so
/// only connections and requests decide whether the target is up. The speed and
/// the warm-up time that the endpoint reports are used as they are. Not
/// thread-safe.
class target_health
{
public:
    /// A target that has answered no probe yet is assumed to be up after this
    /// time, unless a connection was refused.
    static constexpr std::chrono::milliseconds assumed_up_after{1'500};

    /// Time in which the failure share halves while no requests are sent.
    static constexpr std::chrono::milliseconds failure_half_life{1'500};

    /// `address_reuse` is the minimum time between the end of a target and the
    /// reuse of its address by another service.
    explicit target_health(
        time_point now, duration address_reuse = {}) noexcept;

    /// A probe was answered. Returns true if the target is cold and was not
    /// cold before, or is a new instance.
    bool on_probe(health_answer const& answer, time_point now);

    /// A probe got no answer. `connect_failed` is true if no
    /// connection could be made.
    void on_probe_failed(bool connect_failed, time_point now) noexcept;

    /// The VM was suspended for `span`, which the clock of `now` does not
    /// count.
    void on_suspended(duration span) noexcept;

    /// A request's connection was refused.
    void on_connect_failed(time_point now) noexcept;

    /// A request has ended.
    void on_outcome(target_outcome outcome, time_point now) noexcept;

    /// Whether requests may be sent.
    [[nodiscard]] bool is_up(time_point now) const noexcept;

    /// Whether the target is warming up and limited to its cold rate.
    [[nodiscard]] bool is_cold(time_point now) const noexcept;

    /// Share of recent requests that failed or were refused, 0 to 1.
    [[nodiscard]] double failure_share(time_point now) const noexcept;

    /// Speed forecast from the target's reports, which include the slowdown of
    /// a cold target.
    [[nodiscard]] routing::speed speed(time_point now) const noexcept;

    /// The current instance is registered. From now on, only its directory
    /// entry decides whether it may be used.
    void on_registered() noexcept;

    /// Whether the current instance, which is not registered yet, certainly
    /// belongs to the service of the previous instance, or to the configured
    /// service if it is the first. This holds if it answered before the address
    /// could have been reused by another service.
    [[nodiscard]] bool is_successor() const noexcept;

    /// The instance that answered the last probe; empty before the first
    /// answer.
    [[nodiscard]] std::string const& instance() const noexcept;

private:
    std::string m_instance;
    routing::speed_history m_speeds;
    time_point m_started_at;
    time_point m_failed_at{};
    time_point m_cold_until{};
    std::optional<time_point> m_answered_at;
    duration m_address_reuse{};
    bool m_connect_failed = false;
    bool m_is_successor = false;
    double m_failures = 0;
};

} // namespace hibiscustide::core::admission

#endif

/// \file
/// Assesses the health of a target of hibmesh from probes and from requests.
#ifndef HIBISCUSTIDE_CORE_ADMISSION_TARGET_HEALTH_HPP
#define HIBISCUSTIDE_CORE_ADMISSION_TARGET_HEALTH_HPP

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

#include <hibiscustide/core/routing/speed.hpp>
#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::admission
{

/// An answer of a target's health endpoint.
struct health_answer
{
    /// Whether the endpoint reports the target as healthy. target_health
    /// ignores it, since the endpoint can be stale or wrong.
    bool m_healthy = false;
    std::string m_instance; ///< Empty if the answer contains no instance id.
    /// Time for which the target stays cold: it has just started and gets
    /// requests only at a limited rate. Zero for a warm target.
    std::chrono::milliseconds m_warm_up_left{0};
    /// Current processing time in percent of the usual processing time: 100 is
    /// the usual speed, 200 is half of it.
    std::uint32_t m_slowness = 100;

    friend auto operator<=>(health_answer const&, health_answer const&) =
        default;
};

/// Outcome of a request, as evidence of the target's health.
enum class target_outcome
{
    /// A complete answer with a status below 500.
    answered,
    /// An answer with a status of 500 or above, an answer that belongs to
    /// another request, a truncated answer, a failed connection or a timeout.
    /// A failed connection is also passed to target_health::on_connect_failed.
    failed,
    /// The target answered that it did not run the request.
    refused,
};

/// Tracks the health of one target for hibmesh's gate, the part of a node that
/// admits requests to its own target. (hibnode's gate uses target_monitor.) Not
/// thread-safe.
///
/// A health endpoint can be stale or wrong, so its answers do not decide
/// whether the target is up. The target is down after a probe or a request that
/// could not connect, and up again after the next probe that connects, whether
/// or not the probe is answered. Before the first answered probe, the target is
/// also down until assumed_up_after has passed. A request that connected and
/// then failed raises only the failure share. The speed and the warm-up time
/// that the endpoint reports are used as they are.
class target_health
{
public:
    /// A target that has answered no probe yet is assumed to be up after this
    /// time, unless the last connection failed.
    static constexpr std::chrono::milliseconds assumed_up_after{1'500};

    /// Time in which the failure share halves while no requests are sent.
    static constexpr std::chrono::milliseconds failure_half_life{1'500};

    /// `address_reuse` is the minimum time between the end of a target and the
    /// reuse of its address by another service. With 0, the address may be
    /// reused at once, and is_successor() is always false.
    explicit target_health(
        time_point now, duration address_reuse = {}) noexcept;

    /// A probe was answered. Returns true if the target is cold and was not
    /// cold before, or is a new instance.
    bool on_probe(health_answer const& answer, time_point now);

    /// A probe got no answer. `connect_failed` is true if no connection could
    /// be made, which marks the target as down.
    void on_probe_failed(bool connect_failed, time_point now) noexcept;

    /// The VM was suspended for `span`, which the clock of `now` does not
    /// count. The time counts towards the reuse of the address.
    void on_suspended(duration span) noexcept;

    /// No connection could be made for a request, which marks the target as
    /// down. The failed request is also passed to on_outcome, since this call
    /// does not change the failure share.
    void on_connect_failed(time_point now) noexcept;

    /// A request has ended, with or without a connection. Affects only the
    /// failure share.
    void on_outcome(target_outcome outcome, time_point now) noexcept;

    /// Whether the target accepts connections, as far as is known.
    [[nodiscard]] bool is_up(time_point now) const noexcept;

    /// Whether the target is warming up and limited to its cold rate.
    [[nodiscard]] bool is_cold(time_point now) const noexcept;

    /// Share of recent requests that failed or were refused, 0 to 1.
    [[nodiscard]] double failure_share(time_point now) const noexcept;

    /// Speed forecast from the target's reports, which include the slowdown of
    /// a cold target.
    [[nodiscard]] routing::speed speed(time_point now) const noexcept;

    /// The directory of targets has an entry for the current instance. From now
    /// on, is_successor() is false for this instance, so that the gate uses it
    /// only under its own entry. Does not affect is_up().
    void on_registered() noexcept;

    /// Whether the gate may use the directory entry of the previous instance
    /// for the current one, so that a restarted target gets requests before the
    /// directory has its own entry. True if the current instance has no entry
    /// yet and answered before the address could have been reused by another
    /// service. It then belongs to the service of the previous instance, which
    /// must be known in turn. The first instance belongs to the configured
    /// service if it answered the first probe.
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
    /// When the address certainly belonged to the service of the current
    /// instance, if m_is_service_known.
    time_point m_service_known_at;
    duration m_address_reuse{};
    bool m_is_service_known = true;
    bool m_has_answered = false;
    bool m_connect_failed = false;
    bool m_is_successor = false;
    double m_failures = 0;
};

} // namespace hibiscustide::core::admission

#endif

/// \file
/// What a gate concludes about its target from probes and from traffic.
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

/// One answer of a target's health endpoint.
struct health_answer
{
    bool m_healthy = false;
    std::string m_instance; ///< Empty where the answer names none.
    std::chrono::milliseconds m_warm_up_left{0};
    std::uint32_t m_slowness = 100; ///< Work time now, in percent of the usual.

    friend auto operator<=>(health_answer const&, health_answer const&) =
        default;
};

/// What became of a request, as far as it tells of the target.
enum class target_outcome
{
    answered, ///< A whole answer that is no failure of the target.
    failed,   ///< An error, a broken answer, a reset or silence.
    refused,  ///< The target turned it away.
};

/// Follows the state of one target. A health endpoint can lag or mislead, so
/// connections and requests decide, and what it says of speed and of warming up
/// is taken over. Not thread-safe.
class target_health
{
public:
    /// Without any probe's answer for this long a target that takes
    /// connections counts as up.
    static constexpr std::chrono::milliseconds assumed_up_after{1'500};

    /// How long a share of failures takes to halve when nothing is sent.
    static constexpr std::chrono::milliseconds failure_half_life{1'500};

    /// `address_reuse` is the least time from a target's end until its address
    /// may belong to another service.
    explicit target_health(
        time_point now, duration address_reuse = {}) noexcept;

    /// A probe was answered. Gives whether the target has turned cold or
    /// started anew.
    bool on_probe(health_answer const& answer, time_point now);

    /// A probe got no answer. `refused` where no connection could be made.
    void on_probe_failed(bool refused, time_point now) noexcept;

    /// The VM stood still for this long, which `now` doesn't count.
    void on_suspended(duration span) noexcept;

    /// A request's connection was refused.
    void on_connect_failed(time_point now) noexcept;

    void on_outcome(target_outcome outcome, time_point now) noexcept;

    /// Whether requests may be sent.
    [[nodiscard]] bool is_up(time_point now) const noexcept;

    /// Whether the target bears only its cold rate.
    [[nodiscard]] bool is_cold(time_point now) const noexcept;

    /// Recent failures among requests, 0 to 1.
    [[nodiscard]] double failure_share(time_point now) const noexcept;

    /// As the target reports it, which covers that it is slower while cold.
    [[nodiscard]] routing::speed speed(time_point now) const noexcept;

    /// The present instance is registered: from now on its entry alone tells
    /// whether it may be used.
    void on_registered() noexcept;

    /// Whether the present instance, not registered yet, surely belongs to the
    /// same service as the one before it, or as the settings say where it is
    /// the first: it answered before the address could have passed to another
    /// service.
    [[nodiscard]] bool is_successor() const noexcept;

    /// The instance that answered the last probe; empty before.
    [[nodiscard]] std::string const& instance() const noexcept;

private:
    std::string m_instance;
    routing::speed_history m_speeds;
    time_point m_started_at;
    time_point m_failed_at{};
    time_point m_cold_until{};
    std::optional<time_point> m_answered_at;
    duration m_address_reuse{};
    bool m_refused = false;
    bool m_is_successor = false;
    double m_failures = 0;
};

} // namespace hibiscustide::core::admission

#endif

/// \file
/// The metrics of a node. Thread-safe without locks.
#ifndef HIBISCUSTIDE_NET_METRICS_HPP
#define HIBISCUSTIDE_NET_METRICS_HPP

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include <json/value.h>

#include <hibiscustide/core/directory/authentication.hpp>
#include <hibiscustide/core/time.hpp>
#include <hibiscustide/core/verdict.hpp>

namespace hibiscustide::net
{

enum class counter
{
    calls,
    calls_answered,
    calls_not_run,
    calls_may_have_run,
    attempts_local,
    attempts_remote,
    retries,
    orders_started,
    orders_replayed,
    probes,
    platform_reads,
    peer_calls,
    peer_bytes_sent,
    peer_bytes_received,
    notes_accepted,
    notes_refused,
    answers_mismatched,
    quota_refused,
    quota_granted,
    quota_expired,
    quota_fallback,
    quota_returned,
    count_of_counters, ///< The number of counters.
};

/// The counters and latency histograms of one node.
class metrics
{
public:
    metrics();
    ~metrics();

    metrics(metrics const&) = delete;
    metrics& operator=(metrics const&) = delete;

    void add(counter which, std::uint64_t amount = 1) noexcept;
    [[nodiscard]] std::uint64_t value(counter which) const noexcept;

    /// Records a call that ended with `verdict` at this ingress after
    /// `elapsed`.
    void observe_call(core::verdict const& verdict, core::duration elapsed);

    /// Records a response of the target that arrived after `elapsed`.
    void observe_target(core::duration elapsed);

    /// Counts a request that was refused because of its API key.
    void add_key_refusal(core::directory::key_refusal why) noexcept;
    [[nodiscard]] std::uint64_t key_refusals(
        core::directory::key_refusal why) const noexcept;

    /// Returns the metrics in the Prometheus text format.
    [[nodiscard]] std::string to_text() const;

    /// Returns the counters by name.
    [[nodiscard]] Json::Value to_json() const;

private:
    struct histograms;

    static constexpr auto counter_count =
        static_cast<std::size_t>(counter::count_of_counters);
    static constexpr std::size_t max_reasons = 64;

    std::array<std::atomic<std::uint64_t>, counter_count> m_counters{};
    std::array<std::atomic<std::uint64_t>, max_reasons> m_reasons{};
    std::array<std::atomic<std::uint64_t>, core::directory::key_refusal_count>
        m_key_refusals{};
    std::unique_ptr<histograms> m_histograms;
};

} // namespace hibiscustide::net

#endif

/// \file
/// Detects requests that crash every target that runs them.
#ifndef HIBISCUSTIDE_CORE_ADMISSION_POISON_REQUEST_DETECTOR_HPP
#define HIBISCUSTIDE_CORE_ADMISSION_POISON_REQUEST_DETECTOR_HPP

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::admission
{

/// Hash of a request's method, path and body. Equal requests have the same
/// fingerprint, whichever caller sends them.
using fingerprint = std::uint64_t;

/// A crash of a target and the requests that it was running.
struct crash_report
{
    /// Sequence number of the crash at the reporting node, the process beside
    /// the target.
    std::uint64_t m_number = 0;
    /// The requests that were running, except recently answered ones.
    std::vector<fingerprint> m_suspects;

    friend auto operator<=>(crash_report const&, crash_report const&) = default;
};

/// The recent crashes of one node's target and the suspects that this target
/// has answered, as the node sends them to the other nodes.
struct crash_update
{
    std::vector<crash_report> m_crashes;
    std::vector<fingerprint> m_cleared; ///< Former suspects that were answered.

    friend auto operator<=>(crash_update const&, crash_update const&) = default;
};

/// Counts for each request the crashes of targets while they ran it. Two
/// crashes of the same target count as two; a crash that is reported repeatedly
/// counts once.
///
/// Guards against a request that crashes every target that runs it and that is
/// sent again through any node. A request that was in flight at one crash is
/// only a suspect, since it may be unrelated. It is blocked once it was in
/// flight at two crashes without an answer in between. One answer from any
/// target clears it, even an answer shortly before the crash: a popular request
/// is in flight at many crashes without causing them. Not thread-safe.
class poison_request_detector
{
public:
    /// Number of crashes, of one target or of several, after which a request is
    /// blocked.
    static constexpr std::size_t crashes_to_block = 2;

    /// How long after its last crash a request stays a suspect or blocked.
    static constexpr std::chrono::milliseconds suspect_lifetime{30'000};

    /// A connection that was lost at most this long before a crash was detected
    /// was lost because of the crash.
    static constexpr std::chrono::milliseconds connection_loss_window{400};

    /// How long a crash or a cleared suspect is repeated in updates, since
    /// messages may be lost.
    static constexpr std::chrono::milliseconds report_lifetime{3'000};

    /// A request that was answered at most this long before a crash did not
    /// cause the crash.
    static constexpr std::chrono::milliseconds answer_window{15'000};

    /// Maximum number of answered requests that are stored.
    static constexpr std::size_t max_answers = 4'096;

    /// Maximum number of suspects of one crash, and of cleared suspects in one
    /// update.
    static constexpr std::size_t max_suspects = 12;

    /// Maximum number of crashes in one update.
    static constexpr std::size_t max_reported_crashes = 4;

    /// The local target closed or reset the connection that carried the
    /// request.
    void on_connection_lost(fingerprint request, time_point now);

    /// The local target has crashed. Returns the number of requests that this
    /// crash makes suspects.
    std::size_t on_crash(time_point now);

    /// The local target has answered the request.
    void on_answered(fingerprint request, time_point now);

    /// Applies an update from another node. `node` identifies one incarnation
    /// of that node.
    void on_update(
        std::uint64_t node, crash_update const& update, time_point now);

    /// How much longer the request is blocked; nullopt if it may run.
    [[nodiscard]] std::optional<duration> remaining_block_time(
        fingerprint request, time_point now) const;

    /// Whether any request is a suspect.
    [[nodiscard]] bool has_suspects() const noexcept;

    /// The update to send to the other nodes.
    [[nodiscard]] crash_update current_update(time_point now);

private:
    struct suspect
    {
        std::size_t m_crash_count = 0;
        time_point m_last_crash_at{};
    };

    /// A node and the sequence number of its report.
    using crash_id = std::pair<std::uint64_t, std::uint64_t>;

    struct reported_crash
    {
        time_point m_at{};
        crash_report m_report;
    };

    void count_crash(
        std::uint64_t node, crash_report const& report, time_point now);
    void clear(fingerprint request);
    void remove_expired(time_point now);
    [[nodiscard]] bool was_answered(fingerprint request, time_point now) const;

    std::map<fingerprint, time_point> m_answered; ///< By the local target.
    std::map<fingerprint, suspect> m_suspects;
    std::map<crash_id, time_point> m_seen_crashes; ///< Already counted.
    std::deque<std::pair<time_point, fingerprint>> m_lost_connections;
    std::deque<reported_crash> m_local_crashes; ///< In current updates.
    std::deque<std::pair<time_point, fingerprint>>
        m_cleared;                   ///< By the local target.
    std::uint64_t m_last_number = 0; ///< Of the latest local crash report.
};

} // namespace hibiscustide::core::admission

#endif

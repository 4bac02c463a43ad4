/// \file
/// Finds requests that crash each target that runs them.
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

/// What makes two requests the same, whoever sends them: a hash over method,
/// path and body.
using fingerprint = std::uint64_t;

/// One crash of a target and what it was running.
struct crash_report
{
    std::uint64_t m_number = 0; ///< Counts the crashes that a node has seen.
    std::vector<fingerprint> m_suspects;

    friend auto operator<=>(crash_report const&, crash_report const&) = default;
};

/// What nodes tell each other of crashes.
struct crash_update
{
    std::vector<crash_report> m_crashes;
    std::vector<fingerprint> m_cleared; ///< Answered since they were suspects.

    friend auto operator<=>(crash_update const&, crash_update const&) = default;
};

/// Counts for each request how many targets crashed while they ran it.
///
/// Answers a request that crashes each target that runs it and comes again at
/// any node. Bystanders of one crash are only suspects; a request is blocked
/// once it was there at two crashes and has never been answered in between.
/// One answer of any target clears it, also one shortly before the crash: what
/// everybody asks for is in flight at many crashes. Not thread-safe.
class poison_request_detector
{
public:
    /// Crashes after which a request is blocked.
    static constexpr std::size_t crashes_to_block = 2;

    /// A request stays a suspect, or blocked, for this long after a crash.
    static constexpr std::chrono::milliseconds suspect_lifetime{30'000};

    /// Connections that broke this long before a crash was noticed broke by it.
    static constexpr std::chrono::milliseconds connection_loss_window{400};

    /// News is told for this long, since messages may be lost.
    static constexpr std::chrono::milliseconds report_lifetime{3'000};

    /// A request that was answered this long before a crash did not cause it.
    static constexpr std::chrono::milliseconds answer_window{15'000};

    /// Bounds the answers that are remembered.
    static constexpr std::size_t max_answers = 4'096;

    /// Bounds the size of the news.
    static constexpr std::size_t max_suspects = 12;
    static constexpr std::size_t max_reported_crashes = 4;

    /// The own target broke the connection over which it had the request.
    void on_connection_lost(fingerprint request, time_point now);

    /// The own target has crashed. Gives how many requests are suspects by it.
    std::size_t on_crash(time_point now);

    /// The own target has answered the request.
    void on_answered(fingerprint request, time_point now);

    /// Another node's news. `node` names one life of it.
    void on_update(
        std::uint64_t node, crash_update const& update, time_point now);

    /// How much longer the request must not run; nothing where it may.
    [[nodiscard]] std::optional<duration> remaining_block_time(
        fingerprint request, time_point now) const;

    /// Whether any request is a suspect.
    [[nodiscard]] bool has_suspects() const noexcept;

    /// What to tell other nodes.
    [[nodiscard]] crash_update current_update(time_point now);

private:
    struct suspect
    {
        std::size_t m_crashes = 0;
        time_point m_last_crash_at{};
    };

    /// A node and the number of its notice.
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

    std::map<fingerprint, time_point> m_answered; ///< By the own target.
    std::map<fingerprint, suspect> m_suspects;
    std::map<crash_id, time_point> m_seen_crashes; ///< Each crash counts once.
    std::deque<std::pair<time_point, fingerprint>> m_lost_connections;
    std::deque<reported_crash> m_crashes; ///< Of the own target.
    std::deque<std::pair<time_point, fingerprint>> m_cleared; ///< By it.
    std::uint64_t m_number = 0;
};

} // namespace hibiscustide::core::admission

#endif

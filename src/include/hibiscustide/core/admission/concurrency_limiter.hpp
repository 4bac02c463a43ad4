/// \file
/// Limits the requests that one target runs concurrently.
#ifndef HIBISCUSTIDE_CORE_ADMISSION_CONCURRENCY_LIMITER_HPP
#define HIBISCUSTIDE_CORE_ADMISSION_CONCURRENCY_LIMITER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include <hibiscustide/core/release/note.hpp>
#include <hibiscustide/core/time.hpp>
#include <hibiscustide/core/verdict.hpp>

namespace hibiscustide::core::admission
{

/// Capacity of a target, as its release note declares it. A slot is room for
/// one running request.
struct concurrency_limiter_options
{
    std::uint32_t m_slots = 1;      ///< Concurrent requests when warm.
    std::uint32_t m_cold_slots = 1; ///< Concurrent requests after a start.

    friend auto operator<=>(
        concurrency_limiter_options const&,
        concurrency_limiter_options const&) = default;
};

/// Identifies a waiting request.
using ticket = std::uint64_t;

/// The request may run now. The caller must call `leave` when it ends.
struct entered
{
};

/// The request is queued until `leave` or `set_options` returns its ticket, or
/// until `cancel` removes it.
struct waiting
{
    ticket m_ticket = 0;
};

/// The request may not run.
struct rejected
{
    reason m_reason = reason::queue_full;
};

using entry_decision = std::variant<entered, waiting, rejected>;

/// Result of a request that had entered.
enum class run_result
{
    succeeded, ///< The target sent a complete answer.
    failed,    ///< Refused or aborted by the target, or timed out.
    not_sent,  ///< Nothing reached the target.
};

/// Limits the number of requests that run at a target at the same time. Used by
/// hibnode's gate, the part of a node that admits requests to its own target.
/// Not thread-safe.
///
/// A target that has just started or returned to service is cold: it is limited
/// to its cold slots. The limit grows with the requests that the target
/// answers, never with time, until it reaches the declared slots. Requests
/// beyond the limit wait in a short queue, ordered by deadline, with background
/// requests last.
class concurrency_limiter
{
public:
    /// Number of answers that raise the limit by one slot. Only answers given
    /// while at least half of the limit is in use count.
    static constexpr std::uint32_t successes_per_slot = 8;

    /// Maximum number of waiting requests for each slot of the current limit.
    static constexpr std::uint32_t max_waiting_per_slot = 2;

    explicit concurrency_limiter(concurrency_limiter_options const& options);

    /// Starts, queues or rejects a request.
    [[nodiscard]] entry_decision enter(
        release::request_class value, time_point deadline, time_point now);

    /// Ends a request that had entered and that took `took` at the target.
    /// Returns the tickets of the waiting requests that have entered now.
    [[nodiscard]] std::vector<ticket> leave(
        run_result result, duration took, time_point now);

    /// Removes a waiting request. Returns false if it is not in the queue, for
    /// example because it has entered.
    [[nodiscard]] bool cancel(ticket waiting_ticket);

    /// Lowers the limit to the cold slots, for a target that has restarted.
    void reset_to_cold();

    /// Applies the capacity of a new release note. The current limit is kept as
    /// far as the new bounds allow. Returns the tickets of the waiting requests
    /// that have entered now.
    [[nodiscard]] std::vector<ticket> set_options(
        concurrency_limiter_options const& options, time_point now);

    /// Current limit of concurrent requests.
    [[nodiscard]] std::uint32_t limit() const noexcept;

    /// Number of running requests.
    [[nodiscard]] std::uint32_t running() const noexcept;

    /// Number of waiting requests.
    [[nodiscard]] std::size_t queued() const noexcept;

    /// Moving average of the time that the target took for its answers.
    [[nodiscard]] duration mean_time() const noexcept;

private:
    struct queued_request
    {
        bool m_background = false;
        time_point m_deadline;
        ticket m_ticket = 0;

        friend auto operator<=>(queued_request const&, queued_request const&) =
            default;
    };

    void count_success();
    void update_mean_time(duration took);
    [[nodiscard]] duration expected_wait() const noexcept;
    [[nodiscard]] std::vector<ticket> admit_waiting(time_point now);

    concurrency_limiter_options m_options;
    std::uint32_t m_limit;
    std::uint32_t m_running = 0;
    std::uint32_t m_successes = 0;
    duration m_mean_time{0};
    ticket m_next_ticket = 1;
    std::set<queued_request> m_queue;
};

} // namespace hibiscustide::core::admission

#endif

/// \file
/// Decides at the gate which requests its target may run now.
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

/// What the release note says that a target bears.
struct concurrency_limiter_options
{
    std::uint32_t m_slots = 1;
    std::uint32_t m_cold_slots = 1;

    friend auto operator<=>(
        concurrency_limiter_options const&,
        concurrency_limiter_options const&) = default;
};

/// Names a request that waits.
using ticket = std::uint64_t;

/// The request may run now. Pair with `leave`.
struct entered
{
};

/// The request waits; `leave` of another one or `expire` settles it.
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

/// What became of a request that had entered.
enum class run_result
{
    succeeded, ///< The target gave a whole answer.
    failed,    ///< The target refused, broke off or timed out.
    not_sent,  ///< Nothing reached the target.
};

/// Bounds the requests that run at the target at once. Not thread-safe.
///
/// A target that has just started, or has come back, gets its cold slots. The
/// limit grows by requests that the target has answered, never by the clock,
/// until it reaches the declared slots. Requests beyond the limit wait in a
/// short queue, background work behind the rest, else by deadline.
class concurrency_limiter
{
public:
    /// Answers, while half of the limit is in use, that raise it by one slot.
    static constexpr std::uint32_t successes_per_slot = 8;

    /// Waiting requests for each slot of the present limit.
    static constexpr std::uint32_t max_waiting_per_slot = 2;

    explicit concurrency_limiter(concurrency_limiter_options const& options);

    /// A request asks to run before its deadline.
    [[nodiscard]] entry_decision enter(
        release::request_class value, time_point deadline, time_point now);

    /// A request that entered has ended after `took` at the target. Gives the
    /// tickets that have entered in its place.
    [[nodiscard]] std::vector<ticket> leave(
        run_result result, duration took, time_point now);

    /// A waiting request gives up. False where it has entered already.
    [[nodiscard]] bool cancel(ticket waiting_ticket);

    /// The target has started anew: it gets its cold slots.
    void reset_to_cold();

    /// The note changed what the target bears. A limit that had grown stays as
    /// it is within the new bounds. Gives the tickets that have entered.
    [[nodiscard]] std::vector<ticket> set_options(
        concurrency_limiter_options const& options, time_point now);

    /// Requests that may run at once now.
    [[nodiscard]] std::uint32_t limit() const noexcept;

    /// Requests that run now.
    [[nodiscard]] std::uint32_t running() const noexcept;

    /// Requests that wait now.
    [[nodiscard]] std::size_t queued() const noexcept;

    /// Mean time at the target of recent answers.
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

/// \file
/// Decides at the gate which request runs next, which waits and which is
/// refused.
#ifndef HIBISCUSTIDE_CORE_ADMISSION_ADMISSION_QUEUE_HPP
#define HIBISCUSTIDE_CORE_ADMISSION_ADMISSION_QUEUE_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include <hibiscustide/core/time.hpp>
#include <hibiscustide/core/verdict.hpp>

namespace hibiscustide::core::admission
{

/// A request as the queue sees it.
struct admission_request
{
    std::uint64_t m_id = 0;
    bool m_for_running_work = false; ///< A running request waits for it.
    std::uint32_t m_priority = 0;    ///< 0 is the most urgent.
    time_point m_objective{}; ///< An answer later than this is worth little.
    time_point m_deadline{};  ///< An answer later than this is worth nothing.
    duration m_work{};        ///< Usual time at the target.
};

struct run_now
{
};

struct wait_in_queue
{
};

struct refuse_request
{
    reason m_reason = reason::queue_full;
    duration m_retry_after{};
};

using admission_decision = std::variant<run_now, wait_in_queue, refuse_request>;

/// Requests in flight at one target and those that wait for a slot.
///
/// Answers a burst above what the target bears: what can't be answered by its
/// deadline is refused on arrival, calls of running work go first since what
/// they hold up is paid already, then priority, then the earlier objective.
/// Not thread-safe.
class admission_queue
{
public:
    /// Waiting requests for each slot.
    static constexpr std::uint32_t queue_per_slot = 2;

    /// Sets how many requests run at once.
    void set_slots(std::uint32_t slots) noexcept;

    /// Sets the time that work takes now, in percent of the usual.
    void set_slowness(std::uint32_t percent) noexcept;

    [[nodiscard]] admission_decision enter(
        admission_request const& request, time_point now);

    /// A slot may be used by the next request: gives it, and it counts as
    /// running from then on. Nothing where no slot or no request is there.
    [[nodiscard]] std::optional<std::uint64_t> next(time_point now);

    /// Removes waiting requests that can't be answered any more.
    [[nodiscard]] std::vector<std::uint64_t> take_hopeless(time_point now);

    /// Removes a waiting request; false where it does not wait.
    bool remove(std::uint64_t id);

    /// Removes all waiting requests.
    [[nodiscard]] std::vector<std::uint64_t> take_all();

    /// A running request has ended.
    void end() noexcept;

    [[nodiscard]] std::uint32_t running() const noexcept;
    [[nodiscard]] std::uint32_t waiting() const noexcept;
    [[nodiscard]] std::uint32_t slots() const noexcept;

private:
    struct place
    {
        bool m_for_new_work = true;
        std::uint32_t m_priority = 0;
        time_point m_objective{};
        std::uint64_t m_id = 0;
        time_point m_deadline{};
        duration m_work{};

        friend auto operator<=>(place const&, place const&) = default;
    };

    [[nodiscard]] duration work_time(duration usual) const noexcept;
    [[nodiscard]] duration wait_before(place const& mine) const;

    std::uint32_t m_slots = 1;
    std::uint32_t m_slowness = 100;
    std::uint32_t m_running = 0;
    std::set<place> m_queue;
};

} // namespace hibiscustide::core::admission

#endif

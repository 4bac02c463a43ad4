/// \file
/// Decides at the gate which request runs next, which waits and which is
/// refused.
#ifndef HIBISCUSTIDE_CORE_ADMISSION_ADMISSION_QUEUE_HPP
#define HIBISCUSTIDE_CORE_ADMISSION_ADMISSION_QUEUE_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include <hibiscustide/core/routing/speed.hpp>
#include <hibiscustide/core/time.hpp>
#include <hibiscustide/core/verdict.hpp>

namespace hibiscustide::core::admission
{

/// A request as the queue sees it.
struct admission_request
{
    std::uint64_t m_id = 0;
    std::uint32_t m_priority = 0; ///< 0 is the most urgent.
    time_point m_objective{}; ///< An answer later than this is worth little.
    time_point m_deadline{};  ///< An answer later than this is worth nothing.
    duration m_work{};        ///< Usual time at the target.
};

struct run_now
{
};

/// Where the queue was full, a less urgent request has lost its place.
struct wait_in_queue
{
    std::optional<std::uint64_t> m_evicted;
};

struct refuse_request
{
    reason m_reason = reason::queue_full;
    duration m_retry_after{};
};

using admission_decision = std::variant<run_now, wait_in_queue, refuse_request>;

/// Requests in flight at one target and those that wait for a slot.
///
/// Answers a burst above what the target bears, and targets that go one after
/// the other until few are left. Requests of the least urgent kind that can't
/// be answered within their objective are refused on arrival, so that the work
/// done is work in time; more urgent ones only when they can't be answered by
/// their deadline. Urgent requests go first, displace others from a full queue
/// and keep as many slots free as they have needed lately, so that they don't
/// wait for long work of little urgency. What has become late while it waited
/// gets slots that nothing else needs. While the target's machine is slow, work
/// that ends earlier if it begins behind the slow spell waits for that. Not
/// thread-safe.
class admission_queue
{
public:
    /// Waiting requests for each slot.
    static constexpr std::uint32_t max_waiting_per_slot = 2;

    /// Sets how many requests run at once.
    void set_slots(std::uint32_t slots) noexcept;

    /// Sets how fast the target works.
    void set_speed(routing::speed const& forecast) noexcept;

    /// While the target is cold: the requests a second that it bears.
    void set_cold_rate(std::optional<double> per_second) noexcept;

    /// `may_start` tells whether the target bears another request at this
    /// moment, apart from its slots.
    [[nodiscard]] admission_decision submit(
        admission_request const& request, bool may_start, time_point now);

    /// A slot may be used by the next request: gives it, and it counts as
    /// running from then on. Nothing where no slot or no request is there.
    [[nodiscard]] std::optional<std::uint64_t> start_next(time_point now);

    /// Removes waiting requests that can't be answered any more.
    [[nodiscard]] std::vector<std::uint64_t> take_infeasible(time_point now);

    /// Removes a waiting request; false where it does not wait.
    bool remove(std::uint64_t id);

    /// Removes all waiting requests.
    [[nodiscard]] std::vector<std::uint64_t> take_all();

    /// A running request has ended.
    void finish(std::uint64_t id, time_point now) noexcept;

    [[nodiscard]] std::uint32_t running() const noexcept;
    [[nodiscard]] std::uint32_t waiting() const noexcept;
    [[nodiscard]] std::uint32_t slots() const noexcept;

private:
    struct running_request
    {
        time_point m_ends_at{}; ///< Expected.
        bool m_urgent = false;
    };

    struct queue_entry
    {
        std::uint32_t m_priority = 0;
        time_point m_objective{};
        std::uint64_t m_id = 0;
        time_point m_deadline{};
        duration m_work{};

        friend auto operator<=>(queue_entry const&, queue_entry const&) =
            default;
    };

    [[nodiscard]] bool is_urgent(queue_entry const& waiting) const noexcept;
    [[nodiscard]] bool has_free_slot(queue_entry const& waiting) const noexcept;
    [[nodiscard]] std::uint32_t reserved_slots() const noexcept;
    void update_urgent_demand(time_point now) noexcept;
    [[nodiscard]] duration expected_wait(
        queue_entry const& entry, time_point now) const;
    [[nodiscard]] bool can_finish_in_time(
        queue_entry const& waiting, duration wait, time_point now) const;
    [[nodiscard]] bool is_deferred(queue_entry const& waiting) const;
    [[nodiscard]] time_point slot_free_at(
        std::size_t ahead, duration work, time_point now) const;
    void start(queue_entry const& waiting, time_point now);

    std::uint32_t m_slots = 1;
    routing::speed m_speed;
    std::optional<double> m_cold_rate;
    std::map<std::uint64_t, running_request>
        m_running;                           ///< What runs, by its id.
    std::uint32_t m_max_priority_number = 0; ///< Greatest priority number seen.
    std::uint32_t m_urgent_running = 0;      ///< Of what runs.
    double m_urgent_demand = 0; ///< Urgent requests at the target lately.
    time_point m_demand_updated_at{};
    std::set<queue_entry> m_queue;
};

} // namespace hibiscustide::core::admission

#endif

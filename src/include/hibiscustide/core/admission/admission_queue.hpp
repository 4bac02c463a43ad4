/// \file
/// A priority queue that admits, delays or refuses the requests for one target.
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

#include <hibiscustide/core/admission/delay_cost.hpp>
#include <hibiscustide/core/routing/speed.hpp>
#include <hibiscustide/core/time.hpp>
#include <hibiscustide/core/verdict.hpp>

namespace hibiscustide::core::admission
{

/// The properties of a request that determine its admission.
struct admission_request
{
    std::uint64_t m_id = 0;
    std::uint32_t m_priority = 0; ///< 0 is the most urgent.
    time_point m_objective{}; ///< A later answer misses the latency objective.
    time_point m_deadline{};  ///< A later answer is useless to the caller.
    duration m_work{};        ///< Usual processing time at the target.
    /// Whether the request can be started. A request whose body has not arrived
    /// waits until mark_ready() is called.
    bool m_ready = true;
    duration m_ready_in{}; ///< Expected time until it can be started.
};

/// The request holds a slot and must be sent to the target.
struct run_now
{
};

/// The request was queued.
struct wait_in_queue
{
    /// The less urgent request that was removed from the full queue.
    std::optional<std::uint64_t> m_evicted;
    duration m_evicted_retry_after{}; ///< Its expected wait for a slot.
};

/// The request was neither started nor queued.
struct refuse_request
{
    reason m_reason = reason::queue_full;
    duration m_retry_after{}; ///< Expected wait for a slot.
};

using admission_decision = std::variant<run_now, wait_in_queue, refuse_request>;

/// Tracks the requests that run at one target and those that wait for a slot.
/// The slots of a target are the requests that it may run at the same time.
/// Used by hibmesh's gate, the part of a node that admits requests to its own
/// target.
///
/// The queue protects a target from bursts above its capacity, and the last
/// targets of a service from overload when the others fail one after another.
///
/// - Requests of the least urgent priority that can't be answered within their
///   objective are refused on arrival, so that no capacity is spent on late
///   answers; only a few of them may wait. More urgent requests are refused
///   only if they can't be answered by their deadline.
/// - Requests start in the order of their objectives if all can meet them that
///   way. Otherwise the least urgent ones start later or are refused; see
///   find_start_order(). Urgent requests may evict others from a full queue.
/// - As many slots as urgent requests have used recently are reserved for them,
///   less those that become free while urgent requests can still wait, so that
///   they don't miss their objective because of long requests of low urgency.
/// - Requests that can't meet their objective any more start after the others,
///   also if they came first.
/// - While the target's machine is slow, a request that would finish earlier if
///   it started after the slow period stays in the queue until then.
///
/// Not thread-safe.
class admission_queue
{
public:
    /// Maximum number of waiting requests for each slot.
    static constexpr std::uint32_t max_waiting_per_slot = 2;

    /// Sets how many requests may run at once; at least 1.
    void set_slots(std::uint32_t slots) noexcept;

    /// Sets the speed forecast of the target.
    void set_speed(routing::speed const& forecast) noexcept;

    /// Sets the request rate that a cold target can sustain; nullopt for a warm
    /// target. A cold target has just started and gets requests only at this
    /// rate until its warm-up ends.
    void set_cold_rate(std::optional<double> per_second) noexcept;

    /// Starts, queues or refuses a request. `may_start` is false if a limit
    /// other than the slots, such as the rate of a cold target, prevents a
    /// start now.
    [[nodiscard]] admission_decision submit(
        admission_request const& request, bool may_start, time_point now);

    /// States that a waiting request can be started.
    void mark_ready(std::uint64_t id);

    /// Removes the next request that may start from the queue, counts it as
    /// running and returns its id; nullopt if no request may start.
    [[nodiscard]] std::optional<std::uint64_t> start_next(time_point now);

    /// Removes and returns the waiting requests that can no longer be answered
    /// by their deadline.
    [[nodiscard]] std::vector<std::uint64_t> take_infeasible(time_point now);

    /// Removes a waiting request. Returns false if it is not in the queue.
    bool remove(std::uint64_t id);

    /// Removes and returns all waiting requests.
    [[nodiscard]] std::vector<std::uint64_t> take_all();

    /// Frees the slot of a running request.
    void finish(std::uint64_t id, time_point now) noexcept;

    /// Expected wait of a new request of the least urgent priority. Requests
    /// that miss their objective in any case start after it and don't count.
    /// `may_start` as in submit().
    [[nodiscard]] duration wait_of_next(bool may_start, time_point now) const;

    [[nodiscard]] std::uint32_t running() const noexcept;
    [[nodiscard]] std::uint32_t waiting() const noexcept;
    [[nodiscard]] std::uint32_t slots() const noexcept;

private:
    struct running_request
    {
        time_point m_ends_at{}; ///< Expected end.
        bool m_urgent = false;
    };

    [[nodiscard]] bool is_urgent(delayed_request const& waiting) const noexcept;
    [[nodiscard]] bool has_free_slot(
        delayed_request const& waiting, time_point now) const noexcept;
    [[nodiscard]] std::uint32_t reserved_slots(
        delayed_request const& waiting, time_point now) const noexcept;
    void update_urgent_demand(time_point now) noexcept;
    void update_means(delayed_request const& arrived, time_point now) noexcept;
    [[nodiscard]] start_order order_with(
        delayed_request const* entry, time_point now) const;
    [[nodiscard]] duration expected_wait(
        delayed_request const& entry, start_order const& order,
        time_point now) const;
    [[nodiscard]] duration expected_wait(
        delayed_request const& entry, std::size_t ahead, duration work,
        std::vector<time_point> const& ends, time_point now) const;
    [[nodiscard]] std::vector<time_point> expected_ends(time_point now) const;
    [[nodiscard]] bool can_finish_by(
        time_point latest_end, delayed_request const& waiting, duration wait,
        time_point now) const;
    [[nodiscard]] bool may_wait(
        delayed_request const& entry, duration wait, time_point now) const;
    [[nodiscard]] std::size_t late_waiting(time_point now) const;
    [[nodiscard]] bool misses_objective(
        delayed_request const& waiting, time_point now) const;
    [[nodiscard]] delayed_request const& least_costly(
        start_order const& order, time_point now) const;
    [[nodiscard]] bool is_deferred(delayed_request const& waiting) const;
    [[nodiscard]] bool is_ready(delayed_request const& waiting) const;
    [[nodiscard]] time_point slot_free_at(
        std::size_t ahead, duration work, std::vector<time_point> const& ends,
        time_point now) const;
    void erase(std::uint64_t id);
    void start(delayed_request const& waiting, time_point now);

    std::uint32_t m_slots = 1;
    routing::speed m_speed;
    std::optional<double> m_cold_rate;
    std::map<std::uint64_t, running_request> m_running; ///< By request id.
    std::uint32_t m_max_priority_number = 0; ///< Least urgent priority seen.
    std::uint32_t m_urgent_running = 0;      ///< Urgent requests in m_running.
    double m_urgent_demand = 0; ///< Recent mean of m_urgent_running.
    time_point m_demand_updated_at{};
    /// Recent mean of the time that urgent requests can wait and still meet
    /// their objective.
    duration m_urgent_slack{};
    duration m_least_urgent_work{};                   ///< Recent mean.
    std::map<std::uint64_t, delayed_request> m_queue; ///< By id.
    std::set<std::uint64_t> m_not_ready; ///< Ids of entries of m_queue.
};

} // namespace hibiscustide::core::admission

#endif

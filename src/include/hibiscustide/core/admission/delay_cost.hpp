/// \file
/// The cost of delaying or refusing the requests that wait for a target.
#ifndef HIBISCUSTIDE_CORE_ADMISSION_DELAY_COST_HPP
#define HIBISCUSTIDE_CORE_ADMISSION_DELAY_COST_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::admission
{

/// The properties of a waiting request that determine the cost of its delay.
struct delayed_request
{
    std::uint64_t m_id = 0;
    std::uint32_t m_priority = 0; ///< 0 is the most urgent.
    time_point m_objective{};     ///< A later answer has little value.
    time_point m_deadline{};      ///< A later answer has no value.
    duration m_work{};            ///< Usual processing time.
};

/// When a request that can't start now is expected to end.
struct expected_run
{
    bool m_starts_now = false;
    time_point m_end{};
};

/// Estimates the run of a request that starts after `ahead` others, which have
/// `work` in total.
using run_estimate = std::function<expected_run(
    delayed_request const& request, std::size_t ahead, duration work)>;

/// Whether delaying or refusing `left` costs callers more than `right`, if both
/// miss their objective.
///
/// The value of an answer is not known, only that more urgent ones have more.
/// Their work does not count: in delay_cost_replay_test, shorter requests first
/// gave less value, since calls then delay the requests with the most value.
[[nodiscard]] bool is_costlier(
    delayed_request const& left, delayed_request const& right) noexcept;

/// Whether the request meets its objective even if it takes longer than usual:
/// it starts now, or its expected end is at least half of its work before the
/// objective. In delay_cost_replay_test, no margin and a margin of the whole
/// work gave less value.
[[nodiscard]] bool is_safely_in_time(
    delayed_request const& request, expected_run const& run) noexcept;

/// The order in which waiting requests start at the least cost.
struct start_order
{
    /// Requests in the order of their objectives.
    std::vector<delayed_request const*> m_first;

    /// Requests that start after the others, by priority.
    std::vector<delayed_request const*> m_later;

    [[nodiscard]] std::size_t size() const noexcept;

    /// The request at this position. Precondition: the position is valid.
    [[nodiscard]] delayed_request const& at(std::size_t position) const;

    /// Number of requests that start before this one.
    [[nodiscard]] std::size_t position_of(
        delayed_request const& request) const noexcept;
};

/// Finds the order of starts with the least cost.
///
/// A delay up to the objective costs nothing, so requests start in the order of
/// their objectives while all of them are safely in time that way. Otherwise,
/// less urgent requests that would start before one that is not safely in time
/// start later than all others. So a short call does not wait for more urgent
/// requests that have time left.
///
/// Requests for which `misses_objective` is true also start later: their
/// answers have little value. If all requests have the same priority, the order
/// is that of the objectives.
[[nodiscard]] start_order find_start_order(
    std::vector<delayed_request const*> requests, run_estimate const& estimate,
    std::function<bool(delayed_request const&)> const& misses_objective);

} // namespace hibiscustide::core::admission

#endif

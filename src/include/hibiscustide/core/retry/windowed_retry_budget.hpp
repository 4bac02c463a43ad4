/// \file
/// Limits the retries of one node within a sliding time window.
#ifndef HIBISCUSTIDE_CORE_RETRY_WINDOWED_RETRY_BUDGET_HPP
#define HIBISCUSTIDE_CORE_RETRY_WINDOWED_RETRY_BUDGET_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::retry
{

/// Parameters of a windowed_retry_budget.
struct windowed_retry_budget_options
{
    double m_ratio = 0.2;                        ///< Retries for each request.
    duration m_window{std::chrono::seconds{10}}; ///< Length of the window.
    double m_slack = 0; ///< This node's share of the extra retries per window.
};

/// Why a request is sent to a second target.
enum class retry_cause
{
    /// The first target refused the request without running it.
    not_run,
    /// The first target failed the request, is slow or does not respond, so it
    /// may have run the request.
    may_have_run,
};

/// Budget for the retries of one service's requests by this node. The retries
/// of a window stay within ratio x requests + slack. The sum over all nodes is
/// the limit of the fleet, so the nodes need not communicate to keep it.
///
/// When the targets of a service refuse requests, the requests that depend on
/// it fail further up the call chain. Retrying those repeats their work and all
/// calls that it makes. Therefore, retries of requests that may have run get
/// only a share of the budget, and the rest is left to requests that did not
/// run.
///
/// When the targets refuse many requests, the budget does not suffice for all.
/// Urgent requests then go first: the retries that the more urgent requests of
/// the window are expected to need are kept for them. Not thread-safe.
class windowed_retry_budget
{
public:
    explicit windowed_retry_budget(
        windowed_retry_budget_options const& options);

    /// Sets this node's share of the slack.
    void set_slack(double slack) noexcept;

    /// Counts a caller's request to the service. Priority 0 is the most urgent.
    void deposit(std::uint32_t priority, time_point now);

    /// Withdraws one retry. Returns false if none is left for this cause and
    /// priority.
    [[nodiscard]] bool try_withdraw(
        retry_cause cause, std::uint32_t priority, time_point now);

    /// Number of retries left for this cause and priority.
    [[nodiscard]] double available(
        retry_cause cause, std::uint32_t priority, time_point now);

private:
    /// Requests and retries of one priority.
    struct counts
    {
        std::uint32_t m_requests = 0;
        std::uint32_t m_retries = 0;
    };

    /// Counts of one part of the window.
    struct slice
    {
        time_point m_started_at{};
        std::uint32_t m_requests = 0;
        std::uint32_t m_wanted = 0; ///< Retries that were granted or not.
        std::map<std::uint32_t, counts> m_by_priority;
    };

    slice& slice_at(time_point now);
    void subtract(slice const& expired);
    [[nodiscard]] double wanted_per_request(time_point now) const;
    [[nodiscard]] double reserved_for_more_urgent(
        std::uint32_t priority, time_point now) const;

    windowed_retry_budget_options m_options;
    std::deque<slice> m_slices;
    std::uint32_t m_requests = 0;
    std::uint32_t m_retries = 0;
    std::map<std::uint32_t, counts> m_by_priority; ///< Of the window.
};

} // namespace hibiscustide::core::retry

#endif

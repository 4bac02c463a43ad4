/// \file
/// This node's share of the second attempts that the fleet allows.
#ifndef HIBISCUSTIDE_CORE_RETRY_WINDOWED_RETRY_BUDGET_HPP
#define HIBISCUSTIDE_CORE_RETRY_WINDOWED_RETRY_BUDGET_HPP

#include <chrono>
#include <cstdint>
#include <deque>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::retry
{

struct windowed_retry_budget_options
{
    double m_ratio = 0.2; ///< Second attempts for each request.
    std::chrono::seconds m_window{10};
    double m_slack = 0; ///< This node's share of what comes on top.
};

/// What a second attempt is for.
enum class retry_cause
{
    /// The first target turned the request away without running it.
    not_run,
    /// The first target failed it, is slow or has fallen silent.
    may_have_run,
};

/// Second attempts at the targets of one service. Over any window they stay
/// within ratio x requests + slack; summed over the nodes that gives the bound
/// of the fleet, without a word between them.
///
/// Answers targets that turn requests away while requests fail for it further
/// up: repeats run work again, and the calls that it makes, so they get only a
/// part and leave the rest to requests that have not run yet. Not thread-safe.
class windowed_retry_budget
{
public:
    explicit windowed_retry_budget(
        windowed_retry_budget_options const& options);

    /// Sets this node's share of the slack.
    void set_slack(double slack) noexcept;

    /// A request of a caller came for the service.
    void deposit(time_point now);

    /// Takes one second attempt; false where none is left for the purpose.
    [[nodiscard]] bool try_withdraw(retry_cause cause, time_point now);

    /// Second attempts left for the purpose.
    [[nodiscard]] double available(retry_cause cause, time_point now);

private:
    struct slice
    {
        time_point m_started_at{};
        std::uint32_t m_requests = 0;
        std::uint32_t m_retries = 0;
    };

    slice& slice_at(time_point now);

    windowed_retry_budget_options m_options;
    std::deque<slice> m_slices;
    std::uint32_t m_requests = 0;
    std::uint32_t m_retries = 0;
};

} // namespace hibiscustide::core::retry

#endif

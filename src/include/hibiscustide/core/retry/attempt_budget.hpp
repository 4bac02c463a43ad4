/// \file
/// This node's share of the second attempts that the fleet allows.
#ifndef HIBISCUSTIDE_CORE_RETRY_ATTEMPT_BUDGET_HPP
#define HIBISCUSTIDE_CORE_RETRY_ATTEMPT_BUDGET_HPP

#include <chrono>
#include <cstdint>
#include <deque>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::retry
{

struct attempt_budget_options
{
    double m_ratio = 0.2; ///< Second attempts for each request.
    std::chrono::seconds m_window{10};
    double m_slack = 0; ///< This node's share of what comes on top.
};

/// What a second attempt is for.
enum class attempt_purpose
{
    /// The first target turned the request away without running it.
    placement,
    /// The first target failed it, is slow or has fallen silent.
    repeat,
};

/// Second attempts at the targets of one service. Over any window they stay
/// within ratio x requests + slack; summed over the nodes that gives the bound
/// of the fleet, without a word between them.
///
/// Answers targets that turn requests away while requests fail for it further
/// up: repeats run work again, and the calls that it makes, so they get only a
/// part and leave the rest to requests that have not run yet. Not thread-safe.
class attempt_budget
{
public:
    explicit attempt_budget(attempt_budget_options const& options);

    /// Sets this node's share of the slack.
    void set_slack(double slack) noexcept;

    /// A request of a caller came for the service.
    void earn(time_point now);

    /// Takes one second attempt; false where none is left for the purpose.
    [[nodiscard]] bool spend(attempt_purpose purpose, time_point now);

    /// Second attempts left for the purpose.
    [[nodiscard]] double left(attempt_purpose purpose, time_point now);

private:
    struct slice
    {
        time_point m_begins{};
        std::uint32_t m_requests = 0;
        std::uint32_t m_spent = 0;
    };

    slice& slice_at(time_point now);

    attempt_budget_options m_options;
    std::deque<slice> m_slices;
    std::uint32_t m_requests = 0;
    std::uint32_t m_spent = 0;
};

} // namespace hibiscustide::core::retry

#endif

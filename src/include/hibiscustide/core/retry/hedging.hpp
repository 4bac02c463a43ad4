/// \file
/// Decides when a request that runs is sent to a second target.
#ifndef HIBISCUSTIDE_CORE_RETRY_HEDGING_HPP
#define HIBISCUSTIDE_CORE_RETRY_HEDGING_HPP

#include <compare>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::retry
{

/// A request at its target: when it is expected to end by the slowness that the
/// target had when it began.
struct run_forecast
{
    time_point m_began_at{};
    duration m_expected{}; ///< From its beginning to its end.

    /// Expected times passed; 1 is when an answer is expected.
    [[nodiscard]] double progress(time_point now) const noexcept;

    friend auto operator<=>(run_forecast const&, run_forecast const&) = default;
};

/// What is known of a running request and of the best other target.
struct hedge_conditions
{
    run_forecast m_run;
    time_point m_now{};
    double m_other_cost = 1; ///< Expected at the other, in usual works.
    duration m_usual_work{};
    duration m_objective_left{}; ///< Until the answer is late.
    duration m_deadline_left{};  ///< Until nobody waits.
};

/// Whether a target of this expected cost, in usual works, can still answer.
[[nodiscard]] bool can_answer_in_time(
    double cost, duration usual_work, duration deadline_left) noexcept;

/// Whether a second attempt is expected to bring the answer earlier by enough
/// to matter: the first would miss its objective and the second would not, or
/// the first seems lost.
///
/// Answers a target whose machine turns slow after the request was sent, and
/// answers that are lost on the way.
[[nodiscard]] bool should_hedge(hedge_conditions const& conditions) noexcept;

} // namespace hibiscustide::core::retry

#endif

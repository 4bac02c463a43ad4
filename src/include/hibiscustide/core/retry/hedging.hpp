/// \file
/// Decides when a running request is also sent to a second target.
#ifndef HIBISCUSTIDE_CORE_RETRY_HEDGING_HPP
#define HIBISCUSTIDE_CORE_RETRY_HEDGING_HPP

#include <compare>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::retry
{

/// Start of a request at its target and its expected duration, given the
/// slowness of the target at the start.
struct run_forecast
{
    time_point m_began_at{};
    duration m_expected{}; ///< Expected time from start to end.

    /// Elapsed time as a multiple of the expected time; 1 at the expected end.
    [[nodiscard]] double progress(time_point now) const noexcept;

    friend auto operator<=>(run_forecast const&, run_forecast const&) = default;
};

/// State of a running request and of the best alternative target.
struct hedge_conditions
{
    run_forecast m_run;
    time_point m_now{};
    /// Expected time at the alternative target, as a multiple of m_usual_work.
    double m_other_cost = 1;
    duration m_usual_work{};     ///< Usual processing time.
    duration m_objective_left{}; ///< Until the answer is late.
    duration m_deadline_left{};  ///< Until the caller stops waiting.
};

/// Whether a target with this expected cost, in multiples of `usual_work`, can
/// answer by the deadline.
[[nodiscard]] bool can_answer_in_time(
    double cost, duration usual_work, duration deadline_left) noexcept;

/// Whether a second attempt is worth its cost: the first attempt would miss the
/// objective, and the second one would meet it and finish clearly earlier; or
/// the answer to the first attempt seems to be lost. In both cases the second
/// attempt must be able to answer by the deadline.
///
/// Hedging covers a target whose machine becomes slow after the request was
/// sent, and answers that are lost in the network.
[[nodiscard]] bool should_hedge(hedge_conditions const& conditions) noexcept;

} // namespace hibiscustide::core::retry

#endif

/// \file
/// Decides when a request that runs is sent to a second target.
#ifndef HIBISCUSTIDE_CORE_RETRY_REPEAT_HPP
#define HIBISCUSTIDE_CORE_RETRY_REPEAT_HPP

#include <cstdint>

#include <hibiscustide/core/routing/speed.hpp>
#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::retry
{

/// How far a request has come at its target, by the speed that the target
/// reported while it ran. Not thread-safe.
class progress
{
public:
    progress(duration usual_work, time_point began_at) noexcept;

    /// The target worked at this slowness, in percent, since the last call.
    void advance(std::uint32_t slowness, time_point now) noexcept;

    /// Usual work times done; 1 is when an answer is expected.
    [[nodiscard]] double done() const noexcept;

private:
    duration m_usual_work;
    time_point m_at;
    double m_done = 0;
};

/// What is known of a running request and of the best other target.
struct repeat_question
{
    double m_done = 0;       ///< See progress::done.
    routing::speed m_speed;  ///< Of its target.
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
[[nodiscard]] bool is_worth_repeating(repeat_question const& question) noexcept;

} // namespace hibiscustide::core::retry

#endif

#include <hibiscustide/core/retry/caller_age.hpp>

#include <algorithm>
#include <utility>

namespace hibiscustide::core::retry
{

namespace
{

// Period after which a longest remaining time is forgotten. Callers may change
// their deadline.
constexpr std::chrono::seconds period{30};

// The times that callers have at first differ: a caller that states at least
// this share of the longest one may have just begun.
constexpr double first_attempt_share = 0.8;

// Time that a caller is assumed to have had at first, as a share of the
// longest.
constexpr double typical_share = 0.9;

} // namespace

duration caller_age::on_request(duration time_left, time_point now)
{
    if (now - m_period_began_at > period)
    {
        m_previous_longest = std::exchange(m_longest, duration{});
        m_period_began_at = now;
    }
    m_longest = std::max(m_longest, time_left);
    std::chrono::duration<double> const longest =
        std::max(m_longest, m_previous_longest);
    if (time_left >= longest * first_attempt_share)
    {
        return duration{};
    }
    auto const age = longest * typical_share - time_left;
    return std::chrono::duration_cast<duration>(age);
}

} // namespace hibiscustide::core::retry

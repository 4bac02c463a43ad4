/// \file
/// Attributes failures of a target to the calls that it made.
#ifndef HIBISCUSTIDE_CORE_ADMISSION_FAILED_CALLS_HPP
#define HIBISCUSTIDE_CORE_ADMISSION_FAILED_CALLS_HPP

#include <cstddef>
#include <deque>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::admission
{

/// The failed calls of a target to other services. A request whose call has
/// failed fails in turn, which does not show that its target is unhealthy. Not
/// thread-safe.
class failed_calls
{
public:
    /// Time after a failed call in which its request is expected to fail.
    static constexpr std::chrono::milliseconds max_age{500};

    /// Number of failed calls that are kept.
    static constexpr std::size_t max_count = 256;

    /// A call that the target made has failed.
    void on_call_failed(time_point now);

    /// A request has failed at the target. Returns whether a call explains it;
    /// each call explains one failure.
    [[nodiscard]] bool explains_failure(time_point now);

private:
    std::deque<time_point> m_failed_at;
};

} // namespace hibiscustide::core::admission

#endif

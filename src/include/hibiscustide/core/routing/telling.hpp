/// \file
/// Decides when a changed load is worth telling.
#ifndef HIBISCUSTIDE_CORE_ROUTING_TELLING_HPP
#define HIBISCUSTIDE_CORE_ROUTING_TELLING_HPP

#include <chrono>
#include <cstdint>

#include <hibiscustide/core/routing/placement.hpp>
#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::routing
{

/// How much must change before an audience is told, and how often it is told
/// in any case.
struct telling_options
{
    double m_slowness_ratio = 1.1; ///< Either way.
    double m_load_share = 0.1;     ///< Of the slots.
    std::chrono::milliseconds m_least{20};
    std::chrono::milliseconds m_most{400};
};

/// What one audience was told last. Not thread-safe.
class telling
{
public:
    explicit telling(telling_options const& options);

    /// Whether the audience should be told this report now.
    [[nodiscard]] bool is_due(
        target_report const& report, time_point now) const noexcept;

    /// When it should be told the report at the latest; earlier if it changes.
    [[nodiscard]] time_point next(
        target_report const& report, time_point now) const noexcept;

    /// It has been told.
    void on_told(target_report const& report, time_point now) noexcept;

private:
    [[nodiscard]] bool has_changed(target_report const& report) const noexcept;

    telling_options m_options;
    target_report m_told;
    time_point m_told_at{};
};

} // namespace hibiscustide::core::routing

#endif

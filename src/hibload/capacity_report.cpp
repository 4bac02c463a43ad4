// Writes the measured points and the least-squares lines through them.
#include "capacity.hpp"

#include <array>
#include <cmath>

#include <fmt/format.h>

namespace hibiscustide::load
{

namespace
{

// A member of capacity_point with its name in reports.
struct metric
{
    char const* m_name;
    double capacity_point::*m_value;
};

constexpr auto metrics = std::to_array<metric>({
    {"note_bytes", &capacity_point::m_note_bytes},
    {"start_ms", &capacity_point::m_start_ms},
    {"memory_mb", &capacity_point::m_memory_mb},
    {"rest_cpu_share", &capacity_point::m_idle_cpu_share},
    {"change_cpu_ms", &capacity_point::m_change_cpu_ms},
    {"peer_calls_per_s", &capacity_point::m_peer_calls_per_s},
    {"peer_bytes_per_s", &capacity_point::m_peer_bytes_per_s},
    {"service_reads_per_s", &capacity_point::m_service_reads_per_s},
    {"probes_per_s", &capacity_point::m_probes_per_s},
});

struct straight_line
{
    double m_at_zero = 0.0;
    double m_slope = 0.0;
    double m_error = 0.0;
};

straight_line fit(
    std::vector<capacity_point> const& points, metric const& selected)
{
    auto const count = static_cast<double>(points.size());
    double sum_x = 0.0;
    double sum_y = 0.0;
    double sum_xx = 0.0;
    double sum_xy = 0.0;
    for (auto const& point : points)
    {
        auto const x = static_cast<double>(point.m_targets);
        auto const y = point.*selected.m_value;
        sum_x += x;
        sum_y += y;
        sum_xx += x * x;
        sum_xy += x * y;
    }
    auto const denominator = count * sum_xx - sum_x * sum_x;
    straight_line line;
    line.m_slope = denominator > 0.0
                       ? (count * sum_xy - sum_x * sum_y) / denominator
                       : 0.0;
    line.m_at_zero = (sum_y - line.m_slope * sum_x) / count;
    double squares = 0.0;
    for (auto const& point : points)
    {
        auto const x = static_cast<double>(point.m_targets);
        auto const residual =
            point.*selected.m_value - (line.m_at_zero + line.m_slope * x);
        squares += residual * residual;
    }
    line.m_error = std::sqrt(squares / count);
    return line;
}

} // namespace

Json::Value to_json(std::vector<capacity_point> const& points)
{
    Json::Value value{Json::objectValue};
    for (auto const& selected : metrics)
    {
        auto& entry = value[selected.m_name];
        for (auto const& point : points)
        {
            entry["points"][std::to_string(point.m_targets)] =
                point.*selected.m_value;
        }
        auto const line = fit(points, selected);
        entry["at_zero"] = line.m_at_zero;
        entry["slope_per_target"] = line.m_slope;
        entry["error"] = line.m_error;
    }
    return value;
}

std::string to_text(std::vector<capacity_point> const& points)
{
    auto text = fmt::format("{:<20}", "targets");
    for (auto const& point : points)
    {
        text += fmt::format(" {:>10}", point.m_targets);
    }
    text += fmt::format(" {:>12} {:>14} {:>10}\n", "at zero", "slope", "error");
    for (auto const& selected : metrics)
    {
        text += fmt::format("{:<20}", selected.m_name);
        for (auto const& point : points)
        {
            text += fmt::format(" {:>10.4f}", point.*selected.m_value);
        }
        auto const line = fit(points, selected);
        text += fmt::format(
            " {:>12.4f} {:>14.8f} {:>10.4f}\n", line.m_at_zero, line.m_slope,
            line.m_error);
    }
    return text;
}

} // namespace hibiscustide::load

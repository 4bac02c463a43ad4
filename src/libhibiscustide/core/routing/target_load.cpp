#include <hibiscustide/core/routing/target_load.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace hibiscustide::core::routing
{

namespace
{

using namespace std::chrono_literals;

constexpr duration report_half_life = 100ms;
constexpr duration min_ejection_time = 50ms;
constexpr duration max_ejection_time = 2s;
constexpr std::uint32_t max_doublings = 6;
constexpr std::uint32_t assumed_limit = 1;
constexpr char separator = ';';

// Reads one number and removes it from the text.
bool take_number(std::string_view& text, std::uint32_t& number)
{
    auto const* const end = text.data() + text.size();
    auto const [last, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{})
    {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(last - text.data()));
    return true;
}

bool take_separator(std::string_view& text)
{
    if (text.empty() || text.front() != separator)
    {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

} // namespace

std::string to_string(load_report const& report)
{
    return std::to_string(report.m_in_flight) + separator +
           std::to_string(report.m_limit) + separator +
           std::to_string(report.m_latency_us);
}

std::optional<load_report> parse_load(std::string_view text)
{
    load_report report;
    bool const whole =
        take_number(text, report.m_in_flight) && take_separator(text) &&
        take_number(text, report.m_limit) && take_separator(text) &&
        take_number(text, report.m_latency_us) && text.empty();
    if (!whole)
    {
        return std::nullopt;
    }
    return report;
}

void target_load::on_attempt_started(time_point) noexcept
{
    ++m_in_flight;
    ++m_sent_since_report;
}

void target_load::on_attempt_ended(
    time_point began_at, time_point now,
    std::optional<load_report> const& report) noexcept
{
    --m_in_flight;
    if (!report)
    {
        return;
    }
    m_failures = 0;
    m_ejected_until = time_point{};
    // Answers can arrive out of order: a report is used only if its request was
    // sent no earlier than the newest report arrived.
    if (began_at < m_reported_at)
    {
        return;
    }
    m_report = *report;
    m_reported_at = now;
    m_sent_since_report = 0;
}

void target_load::on_attempt_failed(time_point now) noexcept
{
    auto const doublings = std::min(m_failures, max_doublings);
    ++m_failures;
    auto const pause = min_ejection_time * (1U << doublings);
    m_ejected_until = now + std::min<duration>(pause, max_ejection_time);
}

bool target_load::is_available(time_point now) const noexcept
{
    return now >= m_ejected_until;
}

std::uint32_t target_load::in_flight() const noexcept
{
    return m_in_flight;
}

double target_load::estimated_utilisation(time_point now) const noexcept
{
    auto const age = std::chrono::duration<double>(now - m_reported_at);
    auto const half_life = std::chrono::duration<double>(report_half_life);
    auto const weight = std::exp2(-age / half_life);
    auto const reported = weight * m_report.m_in_flight + m_sent_since_report;
    auto const known = std::max<double>(reported, m_in_flight);
    return known / std::max(m_report.m_limit, assumed_limit);
}

double target_load::estimated_latency(time_point now) const noexcept
{
    constexpr double least_latency_us = 1.0;
    auto const latency =
        std::max<double>(m_report.m_latency_us, least_latency_us);
    return latency * (1.0 + estimated_utilisation(now));
}

} // namespace hibiscustide::core::routing

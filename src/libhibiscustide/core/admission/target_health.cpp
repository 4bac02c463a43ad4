#include <hibiscustide/core/admission/target_health.hpp>

#include <cmath>

namespace hibiscustide::core::admission
{

namespace
{

// Weight of one request in the moving average of failures.
constexpr double outcome_weight = 0.2;

} // namespace

target_health::target_health(time_point now, duration address_reuse) noexcept
    : m_started_at{now},
      m_address_reuse{address_reuse}
{
}

bool target_health::on_probe(health_answer const& answer, time_point now)
{
    bool const was_cold = is_cold(now);
    bool const is_new =
        !answer.m_instance.empty() && answer.m_instance != m_instance;
    if (is_new)
    {
        // The first instance is compared with the settings, which were valid
        // when this process started.
        auto const known_at = m_answered_at.value_or(m_started_at);
        m_is_successor = now - known_at < m_address_reuse;
        m_instance = answer.m_instance;
        m_failures = 0;
    }
    m_answered_at = now;
    m_connect_failed = false;
    m_speeds.on_report(answer.m_slowness, now);
    m_cold_until = now + answer.m_warm_up_left;
    bool const cold = answer.m_warm_up_left.count() > 0;
    return cold && (!was_cold || is_new);
}

void target_health::on_probe_failed(
    bool connect_failed, time_point /*now*/) noexcept
{
    m_connect_failed = connect_failed;
}

void target_health::on_suspended(duration span) noexcept
{
    m_started_at -= span;
    if (m_answered_at)
    {
        *m_answered_at -= span;
    }
}

void target_health::on_connect_failed(time_point /*now*/) noexcept
{
    m_connect_failed = true;
}

void target_health::on_outcome(target_outcome outcome, time_point now) noexcept
{
    double const sample = outcome == target_outcome::answered ? 0.0 : 1.0;
    m_failures =
        failure_share(now) * (1 - outcome_weight) + sample * outcome_weight;
    m_failed_at = now;
}

bool target_health::is_up(time_point now) const noexcept
{
    if (m_connect_failed)
    {
        return false;
    }
    return m_answered_at.has_value() || now - m_started_at > assumed_up_after;
}

bool target_health::is_cold(time_point now) const noexcept
{
    return now < m_cold_until;
}

double target_health::failure_share(time_point now) const noexcept
{
    std::chrono::duration<double> const passed = now - m_failed_at;
    std::chrono::duration<double> const half = failure_half_life;
    return m_failures * std::exp2(-passed.count() / half.count());
}

routing::speed target_health::speed(time_point now) const noexcept
{
    return m_speeds.forecast(now);
}

void target_health::on_registered() noexcept
{
    m_is_successor = false;
}

bool target_health::is_successor() const noexcept
{
    return m_is_successor;
}

std::string const& target_health::instance() const noexcept
{
    return m_instance;
}

} // namespace hibiscustide::core::admission

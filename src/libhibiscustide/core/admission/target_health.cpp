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
      m_service_known_at{now},
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
        m_is_successor =
            m_is_service_known && now - m_service_known_at < m_address_reuse;
        m_is_service_known = m_is_successor;
        m_instance = answer.m_instance;
        m_failures = 0;
    }
    // An answer without an instance id may come from another service.
    if (!answer.m_instance.empty())
    {
        m_service_known_at = now;
    }
    m_has_answered = true;
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
    // The target may have ended long before this process started, so that its
    // address may be reused at any time.
    m_is_service_known = m_is_service_known && m_has_answered;
}

void target_health::on_suspended(duration span) noexcept
{
    m_started_at -= span;
    m_service_known_at -= span;
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
    return m_has_answered || now - m_started_at > assumed_up_after;
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
    m_is_service_known = true;
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

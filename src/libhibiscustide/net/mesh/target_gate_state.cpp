// What the gate knows of its target: probes, its entry, whether it is open.
#include "net/mesh/target_gate.hpp"

#include <algorithm>
#include <utility>

#include <hibiscustide/net/event_log.hpp>

#include "net/clock.hpp"
#include "net/mesh/target_gate_work.hpp"

namespace hibiscustide::net::mesh
{

namespace
{

using core::observe::event;
using std::chrono::milliseconds;

constexpr unsigned http_1_1 = 11;
constexpr milliseconds probe_limit{400};

// Less is within the error of the clocks.
constexpr milliseconds least_suspension{250};

// Connections to the target that are left to probes and to whoever else.
constexpr std::uint32_t spare_connections = 3;

} // namespace

awaitable<void> target_gate::probe_loop()
{
    while (true)
    {
        co_await probe_once();
        m_probe_timer.expires_after(m_options.m_probe_interval);
        co_await m_probe_timer.async_wait(no_throw);
    }
}

awaitable<void> target_gate::probe_once()
{
    if (m_health_path.empty())
    {
        co_return;
    }
    http_request request{beast::http::verb::get, m_health_path, http_1_1};
    request.set(field::host, core::to_string(m_options.m_target));
    m_counts.add(counter::probes);
    auto const before = report();
    auto const exchanged = co_await m_probe_pool.exchange(
        request, clock_now() + probe_limit, nullptr);
    notice_suspension();
    auto const now = clock_now();
    if (auto const* const response = std::get_if<http_response>(&exchanged))
    {
        auto const answer = m_wire.m_read_health(*response);
        auto const previous = m_health.instance();
        if (m_health.on_probe(answer, now))
        {
            m_cold.start_empty(now);
            log_event(
                event::target_cold,
                {{"target", answer.m_instance},
                 {"warm_up_left_ms", answer.m_warm_up_left.count()}});
        }
        if (previous != m_health.instance())
        {
            on_target_gone();
            m_pool.close_idle();
            update_entry();
        }
    }
    else
    {
        auto const& failure = std::get<exchange_failure>(exchanged);
        bool const refused = failure.m_reason == core::reason::connect_failed;
        m_health.on_probe_failed(refused, now);
        if (refused)
        {
            on_target_gone();
        }
    }
    auto const after = report();
    if (before.m_open != after.m_open)
    {
        log_event(
            after.m_open ? event::target_up : event::target_down,
            {{"target", m_entry ? m_entry->m_instance : ""},
             {"because", "probe"}});
    }
    m_queue.set_speed(m_health.speed(now));
    for (auto const late : m_queue.take_infeasible(now))
    {
        refuse_waiting(late, core::reason::deadline_passed);
    }
    pump();
    if (before != after && m_on_change)
    {
        m_on_change();
    }
}

// A VM that stood still wakes up in a world that has moved on: nobody waits any
// more for what waited here.
void target_gate::notice_suspension()
{
    auto const before = std::exchange(m_suspended, suspended_time());
    auto const span =
        std::chrono::duration_cast<milliseconds>(m_suspended - before);
    if (span < least_suspension)
    {
        return;
    }
    log_event(event::process_paused, {{"ms", span.count()}});
    m_health.on_suspended(span);
    for (auto const id : m_queue.take_all())
    {
        refuse_waiting(id, core::reason::deadline_passed);
    }
}

// Requests whose connections broke just before may have crashed the target.
void target_gate::on_target_gone()
{
    auto const suspects = m_suspects.on_crash(clock_now());
    if (suspects == 0)
    {
        return;
    }
    log_event(
        event::target_crashed,
        {{"target", m_entry ? m_entry->m_instance : ""},
         {"suspects", static_cast<std::int64_t>(suspects)}});
    if (m_on_crash)
    {
        m_on_crash();
    }
}

// The entry at the target's address; where several claim it, the one that
// answers there.
void target_gate::update_entry()
{
    auto const was_open = report().m_open;
    auto const* entry = m_directory->find_by_address(m_options.m_target);
    auto const* const answering = m_directory->find(m_health.instance());
    if (answering != nullptr && answering->m_address == m_options.m_target)
    {
        entry = answering;
    }
    if (answering != nullptr)
    {
        m_health.on_registered();
    }
    m_entry = entry == nullptr ? std::nullopt : std::optional{*entry};
    if (!m_entry)
    {
        return;
    }
    // A target that has started anew registers a moment later.
    if (m_health.is_successor() && m_entry->m_service == m_options.m_service)
    {
        m_entry->m_instance = m_health.instance();
    }
    m_queue.set_slots(m_entry->m_slots);
    auto const* const service = core::directory::find_service(
        m_directory->config(), m_entry->m_service);
    if (service == nullptr)
    {
        return;
    }
    m_health_path = service->m_health_path;
    m_cold.set_max_rate(
        service->m_cold_rate * m_options.m_cold_overage +
        m_options.m_cold_slack);
    m_pool.set_max_connections(
        std::max(service->m_max_connections, spare_connections + 1) -
        spare_connections);
    auto const is_open = report().m_open;
    if (was_open != is_open && m_on_change)
    {
        m_on_change();
    }
}

std::optional<core::reason> target_gate::closed_for(
    run_request const& request) const
{
    if (m_leaving)
    {
        return core::reason::draining;
    }
    if (!m_entry || m_entry->m_service != request.m_service)
    {
        return core::reason::unknown_service;
    }
    if (m_entry->m_draining)
    {
        return core::reason::draining;
    }
    if (!m_directory->is_in_service(*m_entry))
    {
        return core::reason::withdrawn;
    }
    if (!is_entry_of_target())
    {
        return core::reason::withdrawn;
    }
    if (!m_health.is_up(clock_now()))
    {
        return core::reason::target_down;
    }
    return std::nullopt;
}

// The entry of a predecessor says nothing of the target that answers now.
bool target_gate::is_entry_of_target() const
{
    auto const& answering = m_health.instance();
    return answering.empty() || answering == m_entry->m_instance;
}

} // namespace hibiscustide::net::mesh

// Tracks the state of the target: probes, its directory entry and whether it
// accepts requests.
#include "net/mesh/target_gate.hpp"

#include <algorithm>
#include <utility>

#include <hibiscustide/net/event_log.hpp>

#include "net/clock.hpp"
#include "net/mesh/target_gate_internal.hpp"

namespace hibiscustide::net::mesh
{

namespace
{

using core::observe::event;
using std::chrono::milliseconds;

constexpr unsigned http_1_1 = 11;
constexpr milliseconds probe_timeout{400};

// A shorter suspension is within the error of the clocks.
constexpr milliseconds min_suspension{250};

// Connections of the target's limit that are reserved for probes and for other
// clients.
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
        request, clock_now() + probe_timeout, nullptr);
    check_suspension();
    auto const now = clock_now();
    if (auto const* const response = std::get_if<http_response>(&exchanged))
    {
        auto const answer = m_protocol.m_read_health(*response);
        auto const previous = m_health.instance();
        if (m_health.on_probe(answer, now))
        {
            m_cold_limiter.start_empty(now);
            log_event(
                event::target_cold,
                {{"target", answer.m_instance},
                 {"warm_up_left_ms", answer.m_warm_up_left.count()}});
        }
        if (previous != m_health.instance())
        {
            on_target_ended();
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
            on_target_ended();
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
    for (auto const infeasible : m_queue.take_infeasible(now))
    {
        refuse_queued(infeasible, core::reason::deadline_passed);
    }
    start_queued_requests();
    if (before != after && m_on_change)
    {
        m_on_change();
    }
}

// Refuses all waiting requests after the VM was suspended, since their callers
// no longer wait for them.
void target_gate::check_suspension()
{
    auto const before = std::exchange(m_suspended_time, suspended_time());
    auto const span =
        std::chrono::duration_cast<milliseconds>(m_suspended_time - before);
    if (span < min_suspension)
    {
        return;
    }
    log_event(event::process_paused, {{"ms", span.count()}});
    m_health.on_suspended(span);
    for (auto const id : m_queue.take_all())
    {
        refuse_queued(id, core::reason::deadline_passed);
    }
}

// Marks the requests whose connections broke shortly before the target ended as
// suspects, since one of them may have crashed it.
void target_gate::on_target_ended()
{
    auto const suspects = m_poison_detector.on_crash(clock_now());
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

// Uses as many of the target's slots as give the highest throughput.
void target_gate::update_slots(core::time_point now)
{
    if (m_entry)
    {
        m_queue.set_slots(m_contention.best_concurrency(m_entry->m_slots, now));
    }
}

// Looks up the target's directory entry by its address. If several targets are
// registered at the address, uses the instance that answers the probes.
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
        on_registered(*answering);
    }
    m_entry = entry == nullptr ? std::nullopt : std::optional{*entry};
    if (!m_entry)
    {
        return;
    }
    // A restarted target registers shortly after its start. Until then, it uses
    // the entry of the previous instance.
    if (m_health.is_successor() && m_entry->m_service == m_service)
    {
        m_entry->m_instance = m_health.instance();
    }
    update_slots(clock_now());
    auto const* const service = core::directory::find_service(
        m_directory->config(), m_entry->m_service);
    if (service == nullptr)
    {
        return;
    }
    m_health_path = service->m_health_path;
    m_cold_limiter.set_max_rate(
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

// The directory has an entry for the instance that answers the probes.
void target_gate::on_registered(core::directory::target const& entry)
{
    m_health.on_registered();
    bool const is_here = entry.m_address == m_options.m_target;
    if (is_here && m_registered_instance != entry.m_instance)
    {
        m_registered_instance = entry.m_instance;
        m_service = entry.m_service;
    }
}

// Returns why the target gets no new requests like this one, or nothing if it
// does.
std::optional<core::reason> target_gate::refusal_reason(
    run_request const& request) const
{
    if (m_draining)
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
    if (!entry_matches_instance())
    {
        return core::reason::withdrawn;
    }
    if (!m_health.is_up(clock_now()))
    {
        return core::reason::target_down;
    }
    return std::nullopt;
}

// Whether the directory entry is that of the instance that answers the probes.
// The entry of a previous instance does not apply to the current one.
bool target_gate::entry_matches_instance() const
{
    auto const& answering = m_health.instance();
    return answering.empty() || answering == m_entry->m_instance;
}

} // namespace hibiscustide::net::mesh

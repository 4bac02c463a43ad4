#include "net/mesh/target_gate.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>

#include <hibiscustide/core/hash.hpp>
#include <hibiscustide/net/event_log.hpp>

#include "net/clock.hpp"
#include "net/failure_guard.hpp"
#include "net/mesh/target_gate_internal.hpp"

namespace hibiscustide::net::mesh
{

namespace
{

using core::observe::event;
using std::chrono::milliseconds;

constexpr milliseconds probe_idle_limit{5'000};

// Health checks are answered without a body as a rule.
constexpr std::size_t max_probe_body_bytes = 65'536;

std::optional<std::uint64_t> id_of(std::string const& attempt)
{
    return attempt.empty() ? std::nullopt
                           : std::optional{core::hash_of(attempt)};
}

} // namespace

target_gate::target_gate(
    asio::io_context& context, target_gate_options options,
    protocol const& wire_protocol,
    core::admission::poison_request_detector& poison_detector, metrics& counts)
    : m_context{context},
      m_options{std::move(options)},
      m_protocol{wire_protocol},
      m_poison_detector{poison_detector},
      m_counts{counts},
      m_pool{
          context,
          {.m_remote = m_options.m_target,
           .m_idle_timeout = idle_limit,
           .m_matches_request =
               [&wire_protocol](
                   http_request const& request, http_response const& answer)
           {
               return wire_protocol.m_read_caller(request).m_attempt ==
                      wire_protocol.m_read_answer(answer).m_attempt;
           },
           .m_request_id =
               [&wire_protocol](http_request const& request)
           {
               return id_of(wire_protocol.m_read_caller(request).m_attempt);
           },
           .m_response_id =
               [&wire_protocol](http_response const& answer)
           {
               return id_of(wire_protocol.m_read_answer(answer).m_attempt);
           },
           .m_on_discarded =
               [this](http_request const& request, discard_reason why)
           {
               log_discarded(request, why);
           }}},
      m_probe_pool{
          context,
          {.m_remote = m_options.m_target,
           .m_idle_timeout = probe_idle_limit,
           .m_limits = {.m_max_body_bytes = max_probe_body_bytes}}},
      m_probe_timer{context},
      m_directory{std::make_shared<core::directory::directory const>()},
      m_service{m_options.m_service},
      m_health{clock_now(), m_options.m_address_reuse},
      m_suspended_time{suspended_time()}
{
}

void target_gate::start()
{
    spawn_loop(
        m_context, "probes",
        [this]
        {
            return probe_loop();
        });
}

target_gate::ticket target_gate::run(
    run_request request, following_body const& body, done_handler done)
{
    auto const now = clock_now();
    auto const id = m_next_ticket++;
    if (auto const why = refusal_reason(request))
    {
        refuse(request, done, make_refusal(*why));
        return id;
    }
    auto active = std::make_shared<active_request>();
    active->m_ticket = id;
    active->m_deadline = now + milliseconds{request.m_deadline_left_ms};
    active->m_objective = now + milliseconds{request.m_objective_left_ms};
    active->m_request = std::move(request);
    active->m_body = body.m_buffer;
    active->m_done = std::move(done);
    active->update_fingerprint();
    if (auto const blocked = remaining_block_time(*active))
    {
        refuse(
            active->m_request, active->m_done,
            make_refusal(core::reason::crashes_targets, false, *blocked));
        return id;
    }
    submit(active, body.m_expected_in, now);
    return id;
}

// Starts, queues or refuses the request.
void target_gate::submit(
    std::shared_ptr<active_request> const& active,
    core::duration body_expected_in, core::time_point now)
{
    core::admission::admission_request const admission{
        .m_id = active->m_ticket,
        .m_priority = active->m_request.m_priority,
        .m_objective = active->m_objective,
        .m_deadline = active->m_deadline,
        .m_work = usual_work(active->m_request),
        .m_ready = active->is_body_ready(),
        .m_ready_in = body_expected_in};
    m_queue.set_speed(m_health.speed(now));
    bool const is_cold = m_health.is_cold(now);
    m_queue.set_cold_rate(
        is_cold ? std::optional{m_cold_limiter.sustained_rate()}
                : std::nullopt);
    bool const may_start = !is_cold || m_cold_limiter.available(now) > 0;
    auto const decision = m_queue.submit(admission, may_start, now);
    if (auto const* const refused =
            std::get_if<core::admission::refuse_request>(&decision))
    {
        refuse(
            active->m_request, active->m_done,
            make_refusal(refused->m_reason, false, refused->m_retry_after));
        return;
    }
    m_requests.emplace(active->m_ticket, active);
    if (active->m_body && !admission.m_ready)
    {
        active->m_body->on_change(
            [this, active]
            {
                on_body_changed(active);
            });
        active->m_body->want();
    }
    auto const* const queued =
        std::get_if<core::admission::wait_in_queue>(&decision);
    if (queued != nullptr && queued->m_evicted)
    {
        refuse_queued(
            *queued->m_evicted, core::reason::queue_full,
            queued->m_evicted_retry_after);
    }
    if (queued == nullptr)
    {
        if (is_cold)
        {
            static_cast<void>(m_cold_limiter.try_acquire(now));
        }
        start_request(active);
    }
    if (m_on_change)
    {
        m_on_change();
    }
}

// Starts the waiting request if its body has arrived and a slot is free, or
// refuses it if its body will not arrive.
void target_gate::on_body_changed(std::shared_ptr<active_request> const& active)
{
    if (!active->is_body_ready())
    {
        return;
    }
    active->m_body->on_change(nullptr);
    if (active->m_body->current_state() == body_buffer::state::failed)
    {
        if (m_queue.remove(active->m_ticket))
        {
            refuse_queued(active->m_ticket, core::reason::caller_left);
        }
        return;
    }
    active->update_fingerprint();
    m_queue.mark_ready(active->m_ticket);
    start_queued_requests();
}

// How long requests like this one are still blocked because they crash targets;
// nothing if they are not.
std::optional<core::duration> target_gate::remaining_block_time(
    active_request const& active) const
{
    if (!m_poison_detector.has_suspects())
    {
        return std::nullopt;
    }
    return m_poison_detector.remaining_block_time(
        active.m_fingerprint, clock_now());
}

void target_gate::cancel(ticket which)
{
    auto const it = m_requests.find(which);
    if (it == m_requests.end())
    {
        return;
    }
    auto const active = it->second;
    active->m_cancelled = true;
    if (m_queue.remove(which))
    {
        stop_receiving(*active);
        m_requests.erase(it);
        return;
    }
    if (active->can_be_aborted())
    {
        active->m_scope.cancel();
    }
}

void target_gate::abandon(ticket which)
{
    auto const it = m_requests.find(which);
    if (it == m_requests.end())
    {
        return;
    }
    if (it->second->m_running && it->second->can_be_aborted())
    {
        it->second->m_scope.cancel();
        return;
    }
    abandon_queued(which);
}

void target_gate::abandon_queued(ticket which)
{
    auto const it = m_requests.find(which);
    if (it != m_requests.end() && m_queue.remove(which))
    {
        finish(it->second, make_refusal(core::reason::caller_left));
    }
}

void target_gate::set_directory(core::directory::directory_ptr const& current)
{
    m_directory = current;
    update_entry();
}

void target_gate::set_service(std::string const& name)
{
    m_service = name;
    update_entry();
}

std::string const& target_gate::service() const noexcept
{
    return m_service;
}

bool target_gate::is_target(std::string const& address) const noexcept
{
    return address == m_options.m_target.m_address;
}

void target_gate::on_call_failed()
{
    m_failed_calls.on_call_failed(clock_now());
}

void target_gate::begin_drain()
{
    m_draining = true;
    // Their senders can place them elsewhere while there is time.
    for (auto const id : m_queue.take_all())
    {
        refuse_queued(id, core::reason::draining);
    }
    if (m_on_change)
    {
        m_on_change();
    }
}

void target_gate::end_running()
{
    // Ending a request changes m_requests.
    auto const requests = m_requests;
    for (auto const& [id, active] : requests)
    {
        if (active->m_running)
        {
            active->m_ended_by_stop = true;
            active->m_scope.cancel();
        }
    }
}

std::size_t target_gate::active_requests() const noexcept
{
    return m_requests.size();
}

core::routing::target_report target_gate::report() const
{
    auto const now = clock_now();
    bool const is_open = !m_draining && m_entry &&
                         m_directory->is_in_service(*m_entry) &&
                         entry_matches_instance() && m_health.is_up(now);
    bool const cold = m_health.is_cold(now);
    std::uint32_t const cold_budget = cold ? m_cold_limiter.available(now) : 0;
    auto const wait = m_queue.wait_of_next(!cold || cold_budget > 0, now);
    return {
        .m_running = m_queue.running(),
        .m_waiting = m_queue.waiting(),
        .m_slots = m_queue.slots(),
        .m_speed = m_health.speed(now),
        .m_failure_percent =
            static_cast<std::uint32_t>(m_health.failure_share(now) * 100),
        .m_cold_budget = cold_budget,
        .m_cold = cold,
        .m_open = is_open,
        .m_measured_share_percent = static_cast<std::uint32_t>(
            m_contention.measured_share(now).value_or(0) * 100),
        .m_wait_ms = static_cast<std::uint32_t>(wait / milliseconds{1})};
}

void target_gate::set_share_of_peers(std::optional<double> share)
{
    m_contention.set_share_of_peers(share);
    update_slots(clock_now());
    start_queued_requests();
}

void target_gate::on_change(std::function<void()> handler)
{
    m_on_change = std::move(handler);
}

void target_gate::on_crash(std::function<void()> handler)
{
    m_on_crash = std::move(handler);
}

Json::Value target_gate::to_json() const
{
    auto const state = report();
    Json::Value value{Json::objectValue};
    value["instance"] = m_entry ? m_entry->m_instance : "";
    value["open"] = state.m_open;
    value["running"] = state.m_running;
    value["waiting"] = state.m_waiting;
    value["slots"] = state.m_slots;
    value["slowness_percent"] = state.m_speed.m_slowness;
    value["failing_percent"] = state.m_failure_percent;
    value["cold"] = state.m_cold;
    value["connections"] = Json::UInt64{m_pool.open_connections()};
    return value;
}

void target_gate::start_request(std::shared_ptr<active_request> const& active)
{
    active->m_running = true;
    active->m_started_at = clock_now();
    active->m_slowness = m_health.speed(active->m_started_at).m_slowness;
    active->m_running_at_start = m_queue.running();
    asio::co_spawn(
        m_context,
        [this, active]() -> awaitable<void>
        {
            co_await exchange(active);
        },
        log_if_failed{"exchange with the target"});
}

void target_gate::finish(
    std::shared_ptr<active_request> const& active, run_result result)
{
    // `active` may be the element of the map, which must last until the end.
    auto const removed = m_requests.extract(active->m_ticket);
    stop_receiving(*active);
    if (active->m_running)
    {
        release_slot(*active);
    }
    if (!active->m_cancelled)
    {
        active->m_done(std::move(result));
    }
    start_queued_requests();
    if (m_on_change)
    {
        m_on_change();
    }
}

// Removes the handler of the body, which keeps the request alive.
void target_gate::stop_receiving(active_request const& active)
{
    if (active.m_body)
    {
        active.m_body->on_change(nullptr);
    }
}

void target_gate::refuse(
    run_request const& request, done_handler const& done, run_result&& result)
{
    auto const state = report();
    log_event(
        event::gate_refused,
        {{"request", request.m_attempt},
         {"reason", core::to_string(result.m_reason)},
         {"instance", m_entry ? m_entry->m_instance : ""},
         {"running", std::int64_t{state.m_running}},
         {"waiting", std::int64_t{state.m_waiting}},
         {"slots", std::int64_t{state.m_slots}},
         {"slowness", std::int64_t{state.m_speed.m_slowness}},
         {"cold", std::int64_t{state.m_cold}}});
    done(std::move(result));
}

void target_gate::log_discarded(
    http_request const& request, discard_reason why) const
{
    log_event(
        event::answer_discarded,
        {{"request", m_protocol.m_read_caller(request).m_attempt},
         {"reason", to_string(why)},
         {"instance", m_entry ? m_entry->m_instance : ""}});
}

void target_gate::release_slot(active_request const& active)
{
    m_queue.finish(active.m_ticket, clock_now());
}

void target_gate::refuse_queued(
    ticket which, core::reason why, core::duration retry_after)
{
    auto const it = m_requests.find(which);
    if (it == m_requests.end())
    {
        return;
    }
    auto const active = it->second;
    log_event(
        event::gate_refused, {{"request", active->m_request.m_attempt},
                              {"reason", core::to_string(why)}});
    finish(active, make_refusal(why, false, retry_after));
}

// Starts waiting requests while the slots and the cold rate allow it. Refuses
// those that the target may no longer get.
void target_gate::start_queued_requests()
{
    if (m_requests.empty())
    {
        return;
    }
    auto const now = clock_now();
    bool const is_cold = m_health.is_cold(now);
    while (!is_cold || m_cold_limiter.available(now) > 0)
    {
        auto const id = m_queue.start_next(now);
        if (!id)
        {
            return;
        }
        auto const it = m_requests.find(*id);
        if (it == m_requests.end())
        {
            m_queue.finish(*id, now);
            continue;
        }
        auto const active = it->second;
        auto why = refusal_reason(active->m_request);
        if (!why && remaining_block_time(*active))
        {
            why = core::reason::crashes_targets;
        }
        if (why)
        {
            release_slot(*active);
            refuse_queued(*id, *why);
            continue;
        }
        if (is_cold)
        {
            static_cast<void>(m_cold_limiter.try_acquire(now));
        }
        start_request(active);
    }
}

} // namespace hibiscustide::net::mesh

#include "net/mesh/target_gate.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <hibiscustide/net/event_log.hpp>

#include "net/clock.hpp"
#include "net/mesh/target_gate_work.hpp"

namespace hibiscustide::net::mesh
{

namespace
{

using core::observe::event;
using std::chrono::milliseconds;

constexpr milliseconds probe_idle_limit{5'000};

} // namespace

target_gate::target_gate(
    asio::io_context& context, target_gate_options options,
    protocol const& wire, core::admission::poison_request_detector& suspects,
    metrics& counts)
    : m_context{context},
      m_options{std::move(options)},
      m_wire{wire},
      m_suspects{suspects},
      m_counts{counts},
      m_pool{
          context,
          {.m_remote = m_options.m_target,
           .m_idle_timeout = idle_limit,
           .m_matches_request =
               [&wire](http_request const& request, http_response const& answer)
           {
               return wire.m_read_caller(request).m_attempt ==
                      wire.m_read_answer(answer).m_attempt;
           }}},
      m_probe_pool{
          context,
          {.m_remote = m_options.m_target, .m_idle_timeout = probe_idle_limit}},
      m_probe_timer{context},
      m_directory{std::make_shared<core::directory::directory const>()},
      m_health{clock_now(), m_options.m_address_reuse},
      m_suspended{suspended_time()}
{
}

void target_gate::start()
{
    asio::co_spawn(m_context, probe_loop(), asio::detached);
}

target_gate::ticket target_gate::run(run_request request, done_handler done)
{
    auto const now = clock_now();
    auto const id = m_next_ticket++;
    if (auto const why = closed_for(request))
    {
        refuse(request, done, refusal(*why));
        return id;
    }
    if (m_suspects.has_suspects())
    {
        auto const blocked =
            m_suspects.remaining_block_time(fingerprint_of(request), now);
        if (blocked)
        {
            refuse(
                request, done,
                refusal(core::reason::crashes_targets, false, *blocked));
            return id;
        }
    }
    auto item = std::make_shared<work>();
    item->m_ticket = id;
    item->m_deadline = now + milliseconds{request.m_left_ms};
    item->m_objective = now + milliseconds{request.m_objective_ms};
    core::admission::admission_request const entry{
        .m_id = id,
        .m_priority = request.m_priority,
        .m_objective = item->m_objective,
        .m_deadline = item->m_deadline,
        .m_work = usual_work(request)};
    item->m_request = std::move(request);
    item->m_done = std::move(done);
    m_queue.set_speed(m_health.speed(now));
    bool const is_cold = m_health.is_cold(now);
    m_queue.set_cold_rate(
        is_cold ? std::optional{m_cold.sustained_rate()} : std::nullopt);
    bool const may_start = !is_cold || m_cold.available(now) > 0;
    auto const decision = m_queue.submit(entry, may_start, now);
    if (auto const* const refused =
            std::get_if<core::admission::refuse_request>(&decision))
    {
        refuse(
            item->m_request, item->m_done,
            refusal(refused->m_reason, false, refused->m_retry_after));
        return id;
    }
    m_work.emplace(id, item);
    auto const* const waits =
        std::get_if<core::admission::wait_in_queue>(&decision);
    if (waits != nullptr && waits->m_evicted)
    {
        refuse_waiting(*waits->m_evicted, core::reason::queue_full);
    }
    if (waits == nullptr)
    {
        if (is_cold)
        {
            static_cast<void>(m_cold.try_acquire(now));
        }
        start_work(item);
    }
    if (m_on_change)
    {
        m_on_change();
    }
    return id;
}

void target_gate::cancel(ticket which)
{
    auto const it = m_work.find(which);
    if (it == m_work.end())
    {
        return;
    }
    auto const item = it->second;
    item->m_cancelled = true;
    if (m_queue.remove(which))
    {
        m_work.erase(it);
        return;
    }
    if (item->m_request.m_idempotent)
    {
        item->m_scope.cancel();
    }
}

void target_gate::abandon(ticket which)
{
    auto const it = m_work.find(which);
    if (it == m_work.end())
    {
        return;
    }
    auto const item = it->second;
    if (m_queue.remove(which))
    {
        finish(item, refusal(core::reason::caller_left));
    }
    else if (item->m_request.m_idempotent)
    {
        item->m_scope.cancel();
    }
}

void target_gate::change_directory(
    core::directory::directory_ptr const& now_in_force)
{
    m_directory = now_in_force;
    update_entry();
}

void target_gate::begin_leaving()
{
    m_leaving = true;
    if (m_on_change)
    {
        m_on_change();
    }
}

std::size_t target_gate::busy() const noexcept
{
    return m_work.size();
}

core::routing::target_report target_gate::report() const
{
    auto const now = clock_now();
    bool const is_open = !m_leaving && m_entry &&
                         m_directory->is_in_service(*m_entry) &&
                         is_entry_of_target() && m_health.is_up(now);
    bool const cold = m_health.is_cold(now);
    return {
        .m_running = m_queue.running(),
        .m_waiting = m_queue.waiting(),
        .m_slots = m_queue.slots(),
        .m_speed = m_health.speed(now),
        .m_failure_percent =
            static_cast<std::uint32_t>(m_health.failure_share(now) * 100),
        .m_cold_budget = cold ? m_cold.available(now) : 0,
        .m_cold = cold,
        .m_open = is_open};
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

void target_gate::start_work(std::shared_ptr<work> const& item)
{
    item->m_running = true;
    item->m_started_at = clock_now();
    item->m_slowness = m_health.speed(item->m_started_at).m_slowness;
    asio::co_spawn(
        m_context,
        [this, item]() -> awaitable<void>
        {
            co_await exchange(item);
        },
        asio::detached);
}

void target_gate::finish(std::shared_ptr<work> const& item, run_result result)
{
    m_work.erase(item->m_ticket);
    if (item->m_running)
    {
        end_slot(*item);
    }
    if (!item->m_cancelled)
    {
        item->m_done(std::move(result));
    }
    pump();
    if (m_on_change)
    {
        m_on_change();
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

void target_gate::end_slot(work const& item)
{
    m_queue.finish(item.m_ticket, clock_now());
}

void target_gate::refuse_waiting(ticket which, core::reason why)
{
    auto const it = m_work.find(which);
    if (it == m_work.end())
    {
        return;
    }
    auto const item = it->second;
    log_event(
        event::gate_refused, {{"request", item->m_request.m_attempt},
                              {"reason", core::to_string(why)}});
    finish(item, refusal(why));
}

// Starts what waits, as far as slots are free. What the target may no longer
// get is refused instead.
void target_gate::pump()
{
    if (m_work.empty())
    {
        return;
    }
    auto const now = clock_now();
    bool const is_cold = m_health.is_cold(now);
    while (!is_cold || m_cold.available(now) > 0)
    {
        auto const id = m_queue.start_next(now);
        if (!id)
        {
            return;
        }
        auto const it = m_work.find(*id);
        if (it == m_work.end())
        {
            m_queue.finish(*id, now);
            continue;
        }
        auto const item = it->second;
        auto const why = closed_for(item->m_request);
        if (why)
        {
            end_slot(*item);
            refuse_waiting(*id, *why);
            continue;
        }
        if (is_cold)
        {
            static_cast<void>(m_cold.try_acquire(now));
        }
        start_work(item);
    }
}

} // namespace hibiscustide::net::mesh

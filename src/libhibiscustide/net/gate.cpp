#include "net/gate.hpp"

#include <utility>

#include <boost/asio/post.hpp>

#include <hibiscustide/core/admission/probe_interval.hpp>
#include <hibiscustide/net/event_log.hpp>

#include "net/clock.hpp"
#include "net/headers.hpp"

namespace hibiscustide::net
{

namespace
{

using core::admission::run_result;
using core::observe::event;

// Value of the Target-Refused header of a target that is draining.
constexpr std::string_view refusal_draining = "draining";

run_result result_of(core::verdict const& verdict)
{
    if (std::holds_alternative<core::answered>(verdict))
    {
        return run_result::succeeded;
    }
    if (std::holds_alternative<core::refused_not_run>(verdict))
    {
        return run_result::not_sent;
    }
    return run_result::failed;
}

// Whether the response is the answer to the attempt. A target may echo the
// identifier of the attempt in its response. An interim response is not passed
// on, since a caller that got it would take the next answer on its connection
// for the one to this request.
bool is_answer_to(http_response const& response, std::string const& attempt)
{
    constexpr unsigned first_final_status = 200;
    auto const echoed = headers::value_of(response, headers::attempt);
    return response.result_int() >= first_final_status &&
           (echoed.empty() || echoed == attempt);
}

} // namespace

// A request in the queue. Its timer belongs to the thread on which the request
// waits. A thread that admits the request posts the cancellation of the timer
// to that thread.
struct gate::waiter
{
    explicit waiter(asio::io_context& context)
        : m_timer{context}
    {
    }

    asio::steady_timer m_timer;
};

gate::gate(std::string name, metrics& counts)
    : m_name{std::move(name)},
      m_counts{counts}
{
}

gate::~gate() = default;

awaitable<attempt_result> gate::run(
    asio::io_context& context, connection_pool& target, gate_call call)
{
    auto const entry = co_await enter(context, call);
    if (auto const why = reason_of(entry))
    {
        auto result = not_run_result(*why);
        result.m_load = load();
        co_return result;
    }
    auto const began_at = clock_now();
    auto result = co_await exchange(target, call);
    auto const took = clock_now() - began_at;
    if (std::holds_alternative<core::answered>(result.m_verdict))
    {
        m_counts.observe_target(took);
    }
    leave(result_of(result.m_verdict), took);
    result.m_load = load();
    co_return result;
}

void gate::change_fleet(
    std::shared_ptr<core::release::fleet const> const& fleet)
{
    auto const* const target = fleet->find_target(m_name);
    auto const* const service =
        target == nullptr ? nullptr : fleet->find_service(target->m_service);
    std::lock_guard const lock{m_mutex};
    bool const was_in_service = m_in_service;
    m_in_service = service != nullptr && fleet->in_service(m_name);
    if (was_in_service != m_in_service)
    {
        log_event(
            m_in_service ? event::target_in_service : event::target_withdrawn,
            {{"target", m_name},
             {"revision", static_cast<std::int64_t>(fleet->revision())}});
    }
    if (service == nullptr)
    {
        return;
    }
    m_probe_cost = service->m_probe_cost;
    m_slots = service->m_slots;
    core::admission::concurrency_limiter_options const options{
        .m_slots = service->m_slots, .m_cold_slots = service->m_cold_slots};
    if (!m_limiter)
    {
        m_limiter.emplace(options);
        return;
    }
    // The load that the target sustained before a withdrawal does not show what
    // it can sustain on its return, so it starts cold.
    if (m_in_service && !was_in_service)
    {
        m_limiter->reset_to_cold();
    }
    wake(m_limiter->set_options(options, clock_now()));
}

void gate::on_probe(std::optional<core::admission::probe_answer> const& answer)
{
    std::lock_guard const lock{m_mutex};
    apply_monitor_change(m_monitor.on_probe(answer), "probe");
}

void gate::begin_drain()
{
    std::lock_guard const lock{m_mutex};
    m_draining = true;
}

core::routing::load_report gate::load() const
{
    std::lock_guard const lock{m_mutex};
    if (!m_limiter)
    {
        return {};
    }
    auto const mean = std::chrono::duration_cast<std::chrono::microseconds>(
        m_limiter->mean_time());
    auto const in_flight = m_limiter->running() + m_limiter->queued();
    return {
        .m_in_flight = static_cast<std::uint32_t>(in_flight),
        .m_limit = m_limiter->limit(),
        .m_latency_us = static_cast<std::uint32_t>(mean.count())};
}

core::duration gate::probe_interval() const
{
    std::lock_guard const lock{m_mutex};
    return core::admission::probe_interval(m_slots, m_probe_cost);
}

std::optional<core::reason> gate::closed_reason() const
{
    std::lock_guard const lock{m_mutex};
    return closed_reason_locked();
}

Json::Value gate::to_json() const
{
    std::lock_guard const lock{m_mutex};
    Json::Value value{Json::objectValue};
    value["target"] = m_name;
    value["target_state"] =
        std::string{core::admission::to_string(m_monitor.state())};
    value["in_service"] = m_in_service;
    value["draining"] = m_draining;
    if (m_limiter)
    {
        value["limit"] = m_limiter->limit();
        value["running"] = m_limiter->running();
        value["queued"] = Json::UInt64{m_limiter->queued()};
    }
    auto const why = closed_reason_locked();
    value["closed_because"] =
        why ? Json::Value{std::string{core::to_string(*why)}} : Json::Value{};
    return value;
}

std::optional<core::reason> gate::closed_reason_locked() const
{
    if (m_draining)
    {
        return core::reason::draining;
    }
    if (!m_in_service || !m_limiter)
    {
        return core::reason::withdrawn;
    }
    switch (m_monitor.state())
    {
    case core::admission::target_state::up:
        return std::nullopt;
    case core::admission::target_state::draining:
        return core::reason::draining;
    case core::admission::target_state::unknown:
    case core::admission::target_state::down:
        break;
    }
    return core::reason::target_down;
}

// Waits until the request is admitted. Returns answered if it may run now, and
// otherwise the refusal.
awaitable<core::verdict> gate::enter(
    asio::io_context& context, gate_call const& call)
{
    std::shared_ptr<waiter> queued;
    core::admission::ticket ticket = 0;
    {
        std::lock_guard const lock{m_mutex};
        if (auto const why = closed_reason_locked())
        {
            co_return core::refused_not_run{.m_reason = *why};
        }
        auto const decision =
            m_limiter->enter(call.m_class, call.m_deadline, clock_now());
        if (std::holds_alternative<core::admission::entered>(decision))
        {
            co_return core::answered{};
        }
        if (auto const* const rejection =
                std::get_if<core::admission::rejected>(&decision))
        {
            co_return core::refused_not_run{.m_reason = rejection->m_reason};
        }
        ticket = std::get<core::admission::waiting>(decision).m_ticket;
        queued = std::make_shared<waiter>(context);
        queued->m_timer.expires_at(call.m_deadline);
        m_waiters.emplace(ticket, queued);
    }
    if (call.m_scope != nullptr)
    {
        call.m_scope->on_cancel(
            [queued]
            {
                queued->m_timer.cancel();
            });
    }
    co_await queued->m_timer.async_wait(no_throw);
    bool const cancelled =
        call.m_scope != nullptr && call.m_scope->is_cancelled();
    if (call.m_scope != nullptr)
    {
        call.m_scope->clear();
    }
    std::lock_guard const lock{m_mutex};
    bool const admitted = m_waiters.erase(ticket) == 0;
    if (admitted)
    {
        co_return core::answered{};
    }
    static_cast<void>(m_limiter->cancel(ticket));
    co_return core::refused_not_run{
        .m_reason = cancelled ? core::reason::caller_left
                              : core::reason::deadline_passed};
}

awaitable<attempt_result> gate::exchange(
    connection_pool& target, gate_call const& call)
{
    auto& request = call.m_request;
    headers::set(request, headers::attempt, call.m_attempt);
    request.erase(
        beast::string_view{headers::stage.data(), headers::stage.size()});
    auto exchanged =
        co_await target.exchange(request, call.m_deadline, call.m_scope);
    if (auto const* const failure = std::get_if<exchange_failure>(&exchanged))
    {
        auto result = failure->m_sent ? may_have_run_result(failure->m_reason)
                                      : not_run_result(failure->m_reason);
        bool const aborted =
            failure->m_sent &&
            failure->m_reason == core::reason::connection_broken;
        if (aborted)
        {
            target.close_idle();
        }
        update_monitor(result, aborted);
        co_return result;
    }
    auto& response = std::get<http_response>(exchanged);
    // A refusal of another attempt does not show that this one did not run.
    if (!is_answer_to(response, call.m_attempt))
    {
        m_counts.add(counter::answers_mismatched);
        log_event(event::answer_mismatched, {{"attempt", call.m_attempt}});
        target.close_idle();
        co_return may_have_run_result(core::reason::answer_mismatched);
    }
    auto const refused = headers::value_of(response, headers::target_refused);
    if (!refused.empty())
    {
        if (refused == refusal_draining)
        {
            std::lock_guard const lock{m_mutex};
            apply_monitor_change(m_monitor.on_draining(), "refusal");
        }
        co_return not_run_result(core::reason::target_refused);
    }
    headers::remove_hop_by_hop(response);
    headers::remove_internal(response);
    co_return attempt_result{
        .m_verdict = core::answered{}, .m_response = std::move(response)};
}

void gate::leave(run_result result, core::duration took)
{
    std::lock_guard const lock{m_mutex};
    wake(m_limiter->leave(result, took, clock_now()));
}

void gate::update_monitor(attempt_result const& result, bool aborted)
{
    std::lock_guard const lock{m_mutex};
    if (aborted)
    {
        apply_monitor_change(
            m_monitor.on_request_aborted(), "request broken off");
    }
    if (reason_of(result.m_verdict) == core::reason::connect_failed)
    {
        apply_monitor_change(
            m_monitor.on_connect_failed(), "connection refused");
    }
}

void gate::wake(std::vector<core::admission::ticket> const& admitted)
{
    for (auto const ticket : admitted)
    {
        auto const it = m_waiters.find(ticket);
        if (it == m_waiters.end())
        {
            continue;
        }
        auto queued = std::move(it->second);
        m_waiters.erase(it);
        auto& timer = queued->m_timer;
        asio::post(
            timer.get_executor(),
            [queued]
            {
                queued->m_timer.cancel();
            });
    }
}

void gate::apply_monitor_change(
    core::admission::monitor_change const& change, std::string_view cause)
{
    if (change.m_turned_cold && m_limiter)
    {
        m_limiter->reset_to_cold();
    }
    if (!change.m_state_changed)
    {
        return;
    }
    using core::admission::target_state;
    auto const state = m_monitor.state();
    auto const state_event = state == target_state::up ? event::target_up
                             : state == target_state::draining
                                 ? event::target_draining
                                 : event::target_down;
    log_event(state_event, {{"target", m_name}, {"because", cause}});
}

} // namespace hibiscustide::net

// The way of an order: from the ingress over its home to a target.
#include "net/ingress.hpp"

#include <utility>

#include <hibiscustide/core/hash.hpp>
#include <hibiscustide/core/orders/home.hpp>
#include <hibiscustide/net/event_log.hpp>

#include "net/clock.hpp"
#include "net/headers.hpp"
#include "net/rpc.hpp"

namespace hibiscustide::net
{

namespace
{

using core::reason;
using core::observe::event;
using std::chrono::milliseconds;

// How long to wait before asking again: for a home whose note differs, and for
// an order that is still running.
constexpr milliseconds home_pause{20};
constexpr milliseconds running_pause{5};

// The longest wait for one answer of a peer about an order.
constexpr milliseconds question_limit{500};

std::uint64_t fingerprint_of(http_request const& request)
{
    auto const method = core::hash_of(
        {request.method_string().data(), request.method_string().size()});
    auto const target = core::hash_of(
        {request.target().data(), request.target().size()}, method);
    return core::hash_of(request.body(), target);
}

core::orders::stored_answer keep(http_response const& response)
{
    auto const type = response[field::content_type];
    return {
        .m_status = response.result_int(),
        .m_content_type = std::string{type},
        .m_body = response.body()};
}

attempt_result replay(core::orders::stored_answer const& answer)
{
    constexpr unsigned http_1_1 = 11;
    attempt_result result{.m_verdict = core::answered{}, .m_replayed = true};
    result.m_response.version(http_1_1);
    result.m_response.result(answer.m_status);
    if (!answer.m_content_type.empty())
    {
        result.m_response.set(field::content_type, answer.m_content_type);
    }
    result.m_response.body() = answer.m_body;
    return result;
}

milliseconds to_ms(core::duration span)
{
    return std::chrono::duration_cast<milliseconds>(span);
}

// What a look-up says, as a result for the caller; nothing while the order is
// running.
struct look_up_visitor
{
    reason m_because;

    std::optional<attempt_result> operator()(
        core::orders::still_running const&) const
    {
        return std::nullopt;
    }
    std::optional<attempt_result> operator()(
        core::orders::already_run const& run) const
    {
        return replay(run.m_answer);
    }
    std::optional<attempt_result> operator()(
        core::orders::outcome_unknown const&) const
    {
        return leave_open(m_because);
    }
    std::optional<attempt_result> operator()(
        core::orders::not_allowed const&) const
    {
        return refuse(m_because);
    }
};

bool is_refused_for(attempt_result const& result, reason why)
{
    auto const* const refusal =
        std::get_if<core::refused_not_run>(&result.m_verdict);
    return refusal != nullptr && refusal->m_reason == why;
}

} // namespace

// While a note spreads, ingress and home may differ on who the home is. The
// ingress asks again until they agree.
awaitable<attempt_result> ingress::run_order(call& work)
{
    auto const& name = work.m_service->m_spec.m_name;
    auto const range = core::orders::range_of(name, work.m_key);
    auto result = refuse(reason::no_target);
    while (clock_now() < work.m_deadline)
    {
        auto const home = core::orders::home_of(m_peers.fleet(), name, range);
        if (!home)
        {
            co_return refuse(reason::no_target);
        }
        if (home->m_name == m_options.m_name)
        {
            result = co_await run_at_home(work);
        }
        else
        {
            result = co_await ask_home(work, *home);
        }
        bool const ask_again = is_refused_for(result, reason::not_home) ||
                               is_refused_for(result, reason::key_voided);
        if (!ask_again)
        {
            co_return result;
        }
        work.m_attempt = new_attempt();
        co_await pause(home_pause);
    }
    // A void key had a later home, which may have run it.
    if (is_refused_for(result, reason::key_voided))
    {
        co_return leave_open(reason::key_voided);
    }
    co_return result;
}

awaitable<attempt_result> ingress::ask_home(
    call& work, core::orders::home_node const& home)
{
    auto const member = m_peers.find_peer(home.m_name, home.m_node);
    if (!member)
    {
        co_return refuse(reason::connect_failed);
    }
    auto result = co_await send_remote(
        work, *member, headers::stage_home, work.m_deadline);
    auto const* const open = std::get_if<core::may_have_run>(&result.m_verdict);
    bool const lost_touch =
        open != nullptr && (open->m_reason == reason::connection_broken ||
                            open->m_reason == reason::answer_mismatched);
    if (lost_touch)
    {
        co_return co_await look_up(work, member, open->m_reason);
    }
    co_return result;
}

// The connection that carried the order was lost. The home says over a new one
// what became of it, and voids it where it has not arrived.
awaitable<attempt_result> ingress::look_up(
    call& work, std::shared_ptr<peer> home, reason because)
{
    home->m_pool.retire_idle();
    rpc::order_question const question{
        .m_key = work.m_key,
        .m_attempt = work.m_attempt,
        .m_horizon_ms = static_cast<std::uint64_t>(
            to_ms(work.m_service->m_spec.m_resend_horizon).count())};
    auto const parameters = rpc::to_json(question);
    while (clock_now() < work.m_deadline)
    {
        auto const limit = std::min<core::time_point>(
            work.m_deadline, clock_now() + question_limit);
        auto const value = co_await rpc::call(
            home->m_pool, rpc::order_look_up, parameters, limit, m_counts);
        auto const found =
            value ? rpc::look_up_result_from(*value) : std::nullopt;
        if (found)
        {
            auto settled =
                std::visit(look_up_visitor{.m_because = because}, *found);
            if (settled)
            {
                co_return std::move(*settled);
            }
        }
        co_await pause(found ? running_pause : home_pause);
    }
    co_return leave_open(because);
}

awaitable<attempt_result> ingress::run_at_home(call& work)
{
    auto const& spec = work.m_service->m_spec;
    auto const prepared =
        m_orders.prepare(spec.m_name, work.m_key, spec.m_resend_horizon);
    if (!prepared.m_is_home)
    {
        co_return refuse(reason::not_home);
    }
    if (!prepared.m_has_record)
    {
        if (prepared.m_age == core::orders::key_age::too_old)
        {
            co_return leave_open(reason::key_unproven);
        }
        auto settled = co_await clear_with_previous(work, prepared);
        if (settled)
        {
            co_return std::move(*settled);
        }
    }
    co_return co_await begin_order(work);
}

// Asks each earlier home of the key what it knows, which ends that home's
// right to run it. Gives nothing where none of them knows the key, so that it
// may run here. The caller is told "may have run" rather than "not run" where
// an earlier home can't be asked, since an earlier attempt may have run there.
awaitable<std::optional<attempt_result>> ingress::clear_with_previous(
    call& work, order_preparation const& prepared)
{
    auto const horizon = work.m_service->m_spec.m_resend_horizon;
    rpc::order_question const question{
        .m_key = work.m_key,
        .m_attempt = work.m_attempt,
        .m_horizon_ms = static_cast<std::uint64_t>(to_ms(horizon).count())};
    auto const parameters = rpc::to_json(question);
    for (auto const& home : prepared.m_previous_homes)
    {
        auto const member = m_peers.find_peer(home.m_name, home.m_node);
        std::optional<core::orders::look_up_result> found;
        while (member && clock_now() < work.m_deadline)
        {
            auto const limit = std::min<core::time_point>(
                work.m_deadline, clock_now() + question_limit);
            auto const value = co_await rpc::call(
                member->m_pool, rpc::order_hand_over, parameters, limit,
                m_counts);
            found = value ? rpc::look_up_result_from(*value) : std::nullopt;
            bool const running =
                found &&
                std::holds_alternative<core::orders::still_running>(*found);
            if (!running)
            {
                break;
            }
            co_await pause(running_pause);
        }
        if (!found)
        {
            co_return leave_open(reason::previous_home_unreachable);
        }
        if (std::holds_alternative<core::orders::not_allowed>(*found))
        {
            continue;
        }
        auto settled = std::visit(
            look_up_visitor{.m_because = reason::connection_broken}, *found);
        co_return settled ? std::move(*settled)
                          : leave_open(reason::response_timeout);
    }
    co_return std::nullopt;
}

awaitable<attempt_result> ingress::begin_order(call& work)
{
    core::orders::order_request const request{
        .m_key = work.m_key,
        .m_attempt = work.m_attempt,
        .m_fingerprint = fingerprint_of(work.m_request),
        .m_horizon = work.m_service->m_spec.m_resend_horizon};
    while (clock_now() < work.m_deadline)
    {
        auto const decision = m_orders.begin(request);
        if (std::holds_alternative<core::orders::may_start>(decision))
        {
            m_counts.add(counter::orders_started);
            co_return co_await execute_order(work);
        }
        if (auto const* const run =
                std::get_if<core::orders::already_run>(&decision))
        {
            m_counts.add(counter::orders_replayed);
            co_return replay(run->m_answer);
        }
        if (auto const* const refused =
                std::get_if<core::orders::not_allowed>(&decision))
        {
            if (refused->m_reason == reason::records_full)
            {
                log_event(event::order_records_full);
            }
            co_return refuse(refused->m_reason);
        }
        if (std::holds_alternative<core::orders::outcome_unknown>(decision))
        {
            co_return leave_open(reason::connection_broken);
        }
        co_await pause(running_pause);
    }
    co_return leave_open(reason::response_timeout);
}

// The own target is tried first; where it can't take the order, any other
// member may run it, since the record here is what keeps it to one run.
awaitable<attempt_result> ingress::execute_order(call& work)
{
    auto const key = work.m_key;
    gate_call own{
        .m_request = work.m_request,
        .m_class = work.m_class,
        .m_deadline = work.m_deadline,
        .m_attempt = work.m_attempt};
    auto result = co_await m_gate.run(m_context, m_target, std::move(own));
    if (std::holds_alternative<core::refused_not_run>(result.m_verdict))
    {
        auto const attempt = std::exchange(work.m_attempt, new_attempt());
        result = co_await run_somewhere(work, true);
        work.m_attempt = attempt;
    }
    if (std::holds_alternative<core::answered>(result.m_verdict))
    {
        m_orders.finish(key, keep(result.m_response));
    }
    else if (std::holds_alternative<core::refused_not_run>(result.m_verdict))
    {
        m_orders.release(key);
    }
    else
    {
        log_event(event::order_outcome_unknown, {{"key", key}});
        m_orders.mark_outcome_unknown(key);
    }
    co_return result;
}

} // namespace hibiscustide::net

// How an order is routed from the ingress through the owner of its key to a
// target.
#include "net/ingress.hpp"

#include <utility>

#include <hibiscustide/core/hash.hpp>
#include <hibiscustide/core/orders/key_owner.hpp>
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

// The delay before an order or a look-up is sent again, for example to an owner
// with a different release note in force, and the interval between requests for
// the state of an order that is still running.
constexpr milliseconds owner_retry_delay{20};
constexpr milliseconds running_poll_interval{5};

// The timeout of one request to a peer for the state of an order.
constexpr milliseconds look_up_timeout{500};

std::uint64_t fingerprint_of(http_request const& request)
{
    auto const method = core::hash_of(
        {request.method_string().data(), request.method_string().size()});
    auto const target = core::hash_of(
        {request.target().data(), request.target().size()}, method);
    return core::hash_of(request.body(), target);
}

core::orders::stored_answer to_stored_answer(http_response const& response)
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

// Converts the result of a look-up to a result for the caller. Returns
// std::nullopt while the order is running.
struct look_up_visitor
{
    reason m_cause;

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
        return may_have_run_result(m_cause);
    }
    std::optional<attempt_result> operator()(
        core::orders::not_allowed const&) const
    {
        return not_run_result(m_cause);
    }
};

bool is_refused_with(attempt_result const& result, reason why)
{
    auto const* const refusal =
        std::get_if<core::refused_not_run>(&result.m_verdict);
    return refusal != nullptr && refusal->m_reason == why;
}

} // namespace

// Routes an order to the owner of its key. While a new note spreads, the
// ingress and the owner may determine different owners; the ingress then
// retries until they agree or the deadline has passed.
awaitable<attempt_result> ingress::run_order(pending_call& call)
{
    auto const& name = call.m_service->m_spec.m_name;
    auto const range = core::orders::range_of(name, call.m_key);
    auto result = not_run_result(reason::no_target);
    while (clock_now() < call.m_deadline)
    {
        auto const owner = core::orders::owner_of(m_peers.fleet(), name, range);
        if (!owner)
        {
            co_return not_run_result(reason::no_target);
        }
        if (owner->m_name == m_options.m_name)
        {
            result = co_await run_as_owner(call);
        }
        else
        {
            result = co_await send_to_owner(call, *owner);
        }
        bool const should_retry = is_refused_with(result, reason::not_owner) ||
                                  is_refused_with(result, reason::key_voided);
        if (!should_retry)
        {
            co_return result;
        }
        call.m_attempt = new_attempt_id();
        co_await pause(owner_retry_delay);
    }
    // The ownership of a void key was transferred to another node, which may
    // have run the order.
    if (is_refused_with(result, reason::key_voided))
    {
        co_return may_have_run_result(reason::key_voided);
    }
    co_return result;
}

awaitable<attempt_result> ingress::send_to_owner(
    pending_call& call, core::orders::owner_node const& owner)
{
    auto const member = m_peers.find_peer(owner.m_name, owner.m_node);
    if (!member)
    {
        co_return not_run_result(reason::connect_failed);
    }
    auto result = co_await send_to_peer(
        call, *member, headers::stage_owner, call.m_deadline);
    auto const* const unresolved =
        std::get_if<core::may_have_run>(&result.m_verdict);
    bool const connection_lost =
        unresolved != nullptr &&
        (unresolved->m_reason == reason::connection_broken ||
         unresolved->m_reason == reason::answer_mismatched);
    if (connection_lost)
    {
        co_return co_await look_up_outcome(call, member, unresolved->m_reason);
    }
    co_return result;
}

// Requests the outcome of an order from the owner of its key over a new
// connection, after the connection on which the order was sent was lost. If the
// order has not arrived, the owner makes the attempt void.
awaitable<attempt_result> ingress::look_up_outcome(
    pending_call& call, std::shared_ptr<peer> owner, reason cause)
{
    owner->m_pool.close_idle();
    rpc::order_query const question{
        .m_key = call.m_key,
        .m_attempt = call.m_attempt,
        .m_horizon_ms = static_cast<std::uint64_t>(
            to_ms(call.m_service->m_spec.m_resend_horizon).count())};
    auto const parameters = rpc::to_json(question);
    while (clock_now() < call.m_deadline)
    {
        auto const request_deadline = std::min<core::time_point>(
            call.m_deadline, clock_now() + look_up_timeout);
        auto const value = co_await rpc::call(
            owner->m_pool, rpc::order_look_up, parameters, request_deadline,
            m_counts);
        auto const state =
            value ? rpc::parse_look_up_result(*value) : std::nullopt;
        if (state)
        {
            auto outcome =
                std::visit(look_up_visitor{.m_cause = cause}, *state);
            if (outcome)
            {
                co_return std::move(*outcome);
            }
        }
        co_await pause(state ? running_poll_interval : owner_retry_delay);
    }
    co_return may_have_run_result(cause);
}

awaitable<attempt_result> ingress::run_as_owner(pending_call& call)
{
    auto const& spec = call.m_service->m_spec;
    auto const prepared =
        m_orders.prepare(spec.m_name, call.m_key, spec.m_resend_horizon);
    if (!prepared.m_is_owner)
    {
        co_return not_run_result(reason::not_owner);
    }
    if (!prepared.m_has_record)
    {
        if (prepared.m_age == core::orders::key_age::too_old)
        {
            co_return may_have_run_result(reason::key_unproven);
        }
        auto outcome = co_await check_previous_owners(call, prepared);
        if (outcome)
        {
            co_return std::move(*outcome);
        }
    }
    co_return co_await begin_order(call);
}

// Requests a transfer of ownership of the key from each of its previous owners,
// after which that owner no longer runs the order. Returns std::nullopt if none
// of them has a record of the key, so that the order may run here. If a
// previous owner can't be reached, the verdict is may_have_run rather than
// refused_not_run, because an earlier attempt may have run there.
awaitable<std::optional<attempt_result>> ingress::check_previous_owners(
    pending_call& call, order_preparation const& prepared)
{
    auto const horizon = call.m_service->m_spec.m_resend_horizon;
    rpc::order_query const question{
        .m_key = call.m_key,
        .m_attempt = call.m_attempt,
        .m_horizon_ms = static_cast<std::uint64_t>(to_ms(horizon).count())};
    auto const parameters = rpc::to_json(question);
    for (auto const& owner : prepared.m_previous_owners)
    {
        auto const member = m_peers.find_peer(owner.m_name, owner.m_node);
        std::optional<core::orders::look_up_result> state;
        while (member && clock_now() < call.m_deadline)
        {
            auto const request_deadline = std::min<core::time_point>(
                call.m_deadline, clock_now() + look_up_timeout);
            auto const value = co_await rpc::call(
                member->m_pool, rpc::order_transfer_ownership, parameters,
                request_deadline, m_counts);
            state = value ? rpc::parse_look_up_result(*value) : std::nullopt;
            bool const running =
                state &&
                std::holds_alternative<core::orders::still_running>(*state);
            if (!running)
            {
                break;
            }
            co_await pause(running_poll_interval);
        }
        if (!state)
        {
            co_return may_have_run_result(reason::previous_owner_unreachable);
        }
        if (std::holds_alternative<core::orders::not_allowed>(*state))
        {
            continue;
        }
        auto outcome = std::visit(
            look_up_visitor{.m_cause = reason::connection_broken}, *state);
        co_return outcome ? std::move(*outcome)
                          : may_have_run_result(reason::response_timeout);
    }
    co_return std::nullopt;
}

awaitable<attempt_result> ingress::begin_order(pending_call& call)
{
    core::orders::order_request const request{
        .m_key = call.m_key,
        .m_attempt = call.m_attempt,
        .m_fingerprint = fingerprint_of(call.m_request),
        .m_horizon = call.m_service->m_spec.m_resend_horizon};
    while (clock_now() < call.m_deadline)
    {
        auto const decision = m_orders.begin(request);
        if (std::holds_alternative<core::orders::may_start>(decision))
        {
            m_counts.add(counter::orders_started);
            co_return co_await execute_order(call);
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
            co_return not_run_result(refused->m_reason);
        }
        if (std::holds_alternative<core::orders::outcome_unknown>(decision))
        {
            co_return may_have_run_result(reason::connection_broken);
        }
        co_await pause(running_poll_interval);
    }
    co_return may_have_run_result(reason::response_timeout);
}

// Runs an order at the local target or, if the local target refuses it, at any
// other member. The record at this owner ensures that the order runs at most
// once.
awaitable<attempt_result> ingress::execute_order(pending_call& call)
{
    auto const key = call.m_key;
    gate_call local_call{
        .m_request = call.m_request,
        .m_class = call.m_class,
        .m_deadline = call.m_deadline,
        .m_attempt = call.m_attempt};
    auto result =
        co_await m_gate.run(m_context, m_target, std::move(local_call));
    if (std::holds_alternative<core::refused_not_run>(result.m_verdict))
    {
        auto const attempt = std::exchange(call.m_attempt, new_attempt_id());
        result = co_await run_with_retries(call, true);
        call.m_attempt = attempt;
    }
    if (std::holds_alternative<core::answered>(result.m_verdict))
    {
        m_orders.finish(key, to_stored_answer(result.m_response));
    }
    else if (std::holds_alternative<core::refused_not_run>(result.m_verdict))
    {
        m_orders.discard(key);
    }
    else
    {
        log_event(event::order_outcome_unknown, {{"key", key}});
        m_orders.mark_outcome_unknown(key);
    }
    co_return result;
}

} // namespace hibiscustide::net

#include "net/ingress.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include <hibiscustide/core/hash.hpp>
#include <hibiscustide/core/routing/request_class.hpp>

#include "net/clock.hpp"
#include "net/headers.hpp"

namespace hibiscustide::net
{

namespace
{

using core::reason;
using core::release::request_class;

// Maximum number of attempts for one call, including the first.
constexpr std::size_t max_attempts = 4;

// If a call may be retried, each attempt except the last possible one gets the
// remaining time of the call divided by this number.
constexpr int attempt_time_divisor = 2;

// Subtracted from the remaining time at each hop, so that a node answers before
// the sender of the request times out.
constexpr std::chrono::milliseconds hop_margin{2};

// Returns the name of the service in the Host field, without the port.
std::string_view service_of(http_request const& request)
{
    auto const host = request[field::host];
    std::string_view const text{host.data(), host.size()};
    return text.substr(0, text.find(':'));
}

std::string_view path_of(http_request const& request)
{
    return {request.target().data(), request.target().size()};
}

core::time_point deadline_of(
    http_request const& request, std::chrono::milliseconds max_timeout)
{
    auto const requested = headers::time_left(request).value_or(max_timeout);
    return clock_now() + std::min(requested, max_timeout);
}

void write_deadline(http_request& request, core::time_point deadline)
{
    auto const remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - clock_now() - hop_margin);
    auto const text =
        std::to_string(std::max<std::int64_t>(remaining.count(), 0));
    headers::set(request, headers::deadline_ms, text);
}

// Whether the reason is a state of the node or of its target that would also
// affect the next request.
bool is_node_unavailable(reason why)
{
    switch (why)
    {
    case reason::withdrawn:
    case reason::draining:
    case reason::target_down:
    case reason::connect_failed:
    case reason::unknown_service: // The node has an older release note.
        return true;
    default:
        return false;
    }
}

// Whether a retry after a refusal with this reason does not need the retry
// budget. Later calls avoid an unavailable node, so such retries remain few. A
// node whose queue is full is not avoided and would receive retry after retry.
bool is_retry_free(reason why)
{
    return is_node_unavailable(why) || why == reason::target_refused;
}

std::optional<std::uint64_t> attempt_id_of(beast::http::fields const& fields)
{
    auto const attempt = headers::value_of(fields, headers::attempt);
    return attempt.empty() ? std::nullopt
                           : std::optional{core::hash_of(attempt)};
}

connection_pool_options target_pool_options(core::endpoint const& target)
{
    return {
        .m_remote = target,
        .m_request_id =
            [](http_request const& request)
        {
            return attempt_id_of(request);
        },
        .m_response_id =
            [](http_response const& response)
        {
            return attempt_id_of(response);
        }};
}

} // namespace

struct ingress::call_or_reason
{
    std::optional<pending_call> m_call;
    reason m_reason = reason::bad_request;
};

ingress::ingress(
    asio::io_context& context, ingress_options options, gate& local_gate,
    order_registry& orders, metrics& counts)
    : m_context{context},
      m_options{std::move(options)},
      m_gate{local_gate},
      m_orders{orders},
      m_counts{counts},
      m_peers{context, m_options.m_local_address},
      m_target{context, target_pool_options(m_options.m_target)},
      m_random{m_options.m_seed}
{
}

void ingress::change_fleet(std::shared_ptr<core::release::fleet const> fleet)
{
    auto const* const target = fleet->find_target(m_options.m_name);
    auto const* const service =
        target == nullptr ? nullptr : fleet->find_service(target->m_service);
    if (service != nullptr)
    {
        m_target.set_max_connections(service->m_connections);
    }
    m_peers.change_fleet(std::move(fleet));
}

awaitable<http_response> ingress::serve(
    http_request& request, call_origin origin,
    std::shared_ptr<cancel_scope> const& scope)
{
    auto const began_at = clock_now();
    headers::remove_internal(request);
    auto read = read_call(request, origin);
    if (!read.m_call)
    {
        auto refusal = not_run_result(read.m_reason);
        m_counts.observe_call(refusal.m_verdict, clock_now() - began_at);
        co_return to_response(std::move(refusal), "");
    }
    auto& call = *read.m_call;
    if (clock_now() >= call.m_deadline)
    {
        auto refusal = not_run_result(reason::deadline_passed);
        m_counts.observe_call(refusal.m_verdict, clock_now() - began_at);
        co_return to_response(std::move(refusal), call.m_attempt);
    }
    // An order is not cancelled when its caller disconnects: the key has been
    // recorded, and a resend will request its answer.
    bool const is_order = call.m_class == request_class::order;
    call.m_scope = is_order ? nullptr : scope.get();
    attempt_result result;
    if (is_order && !call.m_key.empty())
    {
        result = co_await run_order(call);
    }
    else
    {
        result = co_await run_with_retries(call, false);
    }
    m_counts.observe_call(result.m_verdict, clock_now() - began_at);
    co_return to_response(std::move(result), call.m_attempt);
}

awaitable<http_response> ingress::serve_run(
    http_request& request, std::shared_ptr<cancel_scope> const& scope)
{
    std::string const attempt{headers::value_of(request, headers::attempt)};
    auto read = read_call(request, call_origin::service);
    attempt_result result;
    if (read.m_call)
    {
        gate_call local_call{
            .m_request = request,
            .m_class = read.m_call->m_class,
            .m_deadline = read.m_call->m_deadline,
            .m_attempt = attempt,
            .m_scope = scope.get()};
        result =
            co_await m_gate.run(m_context, m_target, std::move(local_call));
    }
    else
    {
        result = not_run_result(read.m_reason);
    }
    auto const load = result.m_load.value_or(m_gate.load());
    auto message = to_response(std::move(result), attempt);
    headers::set(message, headers::attempt, attempt);
    headers::set(message, headers::load, core::routing::to_string(load));
    co_return message;
}

awaitable<http_response> ingress::serve_as_owner(http_request& request)
{
    std::string const attempt{headers::value_of(request, headers::attempt)};
    auto read = read_call(request, call_origin::service);
    attempt_result result;
    if (read.m_call && !read.m_call->m_key.empty())
    {
        read.m_call->m_attempt = attempt;
        result = co_await run_as_owner(*read.m_call);
    }
    else
    {
        result = not_run_result(read.m_reason);
    }
    auto message = to_response(std::move(result), attempt);
    headers::set(message, headers::attempt, attempt);
    co_return message;
}

peer_table& ingress::peers() noexcept
{
    return m_peers;
}

ingress::call_or_reason ingress::read_call(
    http_request& request, call_origin origin)
{
    auto service = m_peers.members_of(service_of(request));
    if (!service)
    {
        return {.m_reason = reason::unknown_service};
    }
    auto const route_class =
        core::routing::class_of(service->m_spec, path_of(request));
    if (!route_class)
    {
        return {.m_reason = reason::class_forbidden};
    }
    if (*route_class == request_class::internal &&
        origin == call_origin::external)
    {
        return {.m_reason = reason::class_forbidden};
    }
    headers::remove_hop_by_hop(request);
    std::string key;
    auto const client_key =
        headers::value_of(request, headers::idempotency_key);
    if (*route_class == request_class::order && !client_key.empty())
    {
        key = service->m_spec.m_name + "/" + std::string{client_key};
    }
    auto const deadline = deadline_of(request, service->m_spec.m_timeout);
    pending_call call{
        .m_request = request,
        .m_service = std::move(service),
        .m_class = *route_class,
        .m_deadline = deadline,
        .m_attempt = new_attempt_id(),
        .m_key = std::move(key)};
    return {.m_call = std::move(call)};
}

awaitable<attempt_result> ingress::run_with_retries(
    pending_call& call, bool exclude_local)
{
    auto& retries = *call.m_service->m_retry_budget;
    auto const share = call.m_service->m_spec.m_retry_share;
    bool const retriable = core::routing::is_retriable(call.m_class);
    auto const final_deadline = call.m_deadline;
    std::vector<peer const*> tried;
    auto result = not_run_result(reason::no_target);
    retries.deposit(share);
    for (std::size_t n = 0; n < max_attempts; ++n)
    {
        auto member = choose_member(call, tried, exclude_local);
        if (!member)
        {
            break;
        }
        tried.push_back(member.get());
        if (retriable && n + 1 < max_attempts)
        {
            auto const remaining = final_deadline - clock_now();
            call.m_deadline = clock_now() + remaining / attempt_time_divisor;
        }
        result = co_await send_attempt(call, member);
        call.m_deadline = final_deadline;
        auto const why = reason_of(result.m_verdict);
        bool const caller_left =
            call.m_scope != nullptr && call.m_scope->is_cancelled();
        if (!why || caller_left || clock_now() >= final_deadline)
        {
            break;
        }
        bool const not_run =
            std::holds_alternative<core::refused_not_run>(result.m_verdict);
        if (!not_run && !retriable)
        {
            break;
        }
        bool const is_free = not_run && is_retry_free(*why);
        if (!is_free && !retries.try_withdraw())
        {
            break;
        }
        m_counts.add(counter::retries);
        call.m_attempt = new_attempt_id();
    }
    co_return result;
}

std::shared_ptr<peer> ingress::choose_member(
    pending_call const& call, std::vector<peer const*> const& tried,
    bool exclude_local)
{
    auto const now = clock_now();
    std::vector<std::shared_ptr<peer>> available;
    std::vector<std::shared_ptr<peer>> ejected;
    for (auto const& member : call.m_service->m_members)
    {
        bool const excluded =
            std::find(tried.begin(), tried.end(), member.get()) !=
                tried.end() ||
            (exclude_local && member->m_target.m_name == m_options.m_name);
        if (excluded)
        {
            continue;
        }
        auto& list = member->m_load.is_available(now) ? available : ejected;
        list.push_back(member);
    }
    // If all members are ejected, an attempt at one of them is better than a
    // refusal.
    auto const& members = available.empty() ? ejected : available;
    if (members.empty())
    {
        return nullptr;
    }
    std::vector<core::routing::candidate> candidates;
    candidates.reserve(members.size());
    for (auto const& member : members)
    {
        candidates.push_back(
            {.m_load = &member->m_load,
             .m_same_domain = member->m_target.m_failure_domain ==
                              m_options.m_failure_domain});
    }
    auto const position =
        core::routing::choose(m_options.m_policy, candidates, now, m_random);
    return members[position];
}

awaitable<attempt_result> ingress::send_attempt(
    pending_call& call, std::shared_ptr<peer> member)
{
    auto& load = member->m_load;
    auto const began_at = clock_now();
    load.on_attempt_started(began_at);
    attempt_result result;
    if (member->m_target.m_name == m_options.m_name)
    {
        m_counts.add(counter::attempts_local);
        write_deadline(call.m_request, call.m_deadline);
        gate_call local_call{
            .m_request = call.m_request,
            .m_class = call.m_class,
            .m_deadline = call.m_deadline,
            .m_attempt = call.m_attempt,
            .m_scope = call.m_scope};
        result =
            co_await m_gate.run(m_context, m_target, std::move(local_call));
    }
    else
    {
        m_counts.add(counter::attempts_remote);
        result = co_await send_to_peer(
            call, *member, headers::stage_run, call.m_deadline);
    }
    auto const now = clock_now();
    load.on_attempt_ended(began_at, now, result.m_load);
    auto const why = reason_of(result.m_verdict);
    if (why && is_node_unavailable(*why))
    {
        load.on_attempt_failed(now);
        member->m_pool.close_idle();
    }
    co_return result;
}

awaitable<attempt_result> ingress::send_to_peer(
    pending_call& call, peer& member, std::string_view stage,
    core::time_point deadline)
{
    auto& request = call.m_request;
    headers::set(request, headers::stage, stage);
    headers::set(request, headers::attempt, call.m_attempt);
    write_deadline(request, deadline);
    auto exchanged =
        co_await member.m_pool.exchange(request, deadline, call.m_scope);
    if (auto const* const failure = std::get_if<exchange_failure>(&exchanged))
    {
        co_return failure->m_sent ? may_have_run_result(failure->m_reason)
                                  : not_run_result(failure->m_reason);
    }
    auto& response = std::get<http_response>(exchanged);
    if (headers::value_of(response, headers::attempt) != call.m_attempt)
    {
        m_counts.add(counter::answers_mismatched);
        member.m_pool.close_idle();
        co_return may_have_run_result(reason::answer_mismatched);
    }
    auto const why =
        core::parse_reason(headers::value_of(response, headers::reason));
    auto const verdict =
        core::parse_verdict(headers::value_of(response, headers::verdict), why);
    auto const load =
        core::routing::parse_load(headers::value_of(response, headers::load));
    bool const replayed =
        !headers::value_of(response, headers::replayed).empty();
    headers::remove_hop_by_hop(response);
    headers::remove_internal(response);
    co_return attempt_result{
        .m_verdict = verdict,
        .m_response = std::move(response),
        .m_load = load,
        .m_replayed = replayed};
}

std::string ingress::new_attempt_id()
{
    constexpr std::size_t digits = 16;
    std::array<char, digits + 1> text{};
    static_cast<void>(std::snprintf(
        text.data(), text.size(), "%016llx",
        static_cast<unsigned long long>(m_random())));
    return {text.data(), digits};
}

awaitable<void> ingress::pause(core::duration span)
{
    asio::steady_timer timer{m_context, span};
    co_await timer.async_wait(no_throw);
}

} // namespace hibiscustide::net

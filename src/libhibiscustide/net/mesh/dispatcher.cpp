#include "net/mesh/dispatcher.hpp"

#include <algorithm>
#include <exception>
#include <utility>
#include <vector>

#include <boost/beast/core/string.hpp>
#include <fmt/format.h>

#include <hibiscustide/core/retry/retry_after.hpp>
#include <hibiscustide/net/event_log.hpp>

#include "net/clock.hpp"
#include "net/failure_guard.hpp"
#include "net/headers.hpp"
#include "net/replies.hpp"

namespace hibiscustide::net::mesh
{

namespace
{

using core::observe::event;
using std::chrono::milliseconds;

constexpr milliseconds tick_interval{25};

// Deadline of a request that does not contain one.
constexpr milliseconds default_deadline{10'000};

// Assumed usual processing time of a route that has no answers yet, as a share
// of its latency objective.
constexpr double initial_work_share = 0.35;

// Weight of one answer in the moving average of the usual processing time.
constexpr double work_weight = 0.05;

// Least Retry-After if no target can be reached or accepts requests. A target
// that refuses single requests may accept the next one at once.
constexpr milliseconds unavailable_retry_after{100};

// Retry-After of requests that arrive before the first configuration.
constexpr milliseconds no_configuration_retry_after{300};

// Limits of a body that is read and dropped, because its request does not run.
constexpr std::uint64_t max_discarded_bytes = 262'144;
constexpr milliseconds discard_timeout{1'000};

// Least Retry-After of a request over its quota: the field has a hundredth of a
// second as its unit.
constexpr milliseconds min_quota_retry_after{10};

core::verdict to_verdict(run_result const& result)
{
    switch (result.m_outcome)
    {
    case outcome::answered:
        return core::answered{};
    case outcome::not_run:
        return core::refused_not_run{.m_reason = result.m_reason};
    case outcome::may_have_run:
        break;
    }
    return core::may_have_run{.m_reason = result.m_reason};
}

// Whether the request was refused because the targets have more work than they
// can do.
bool is_overload(core::reason why)
{
    return why == core::reason::queue_full ||
           why == core::reason::deadline_passed;
}

std::string_view to_string_view(beast::string_view value)
{
    return {value.data(), value.size()};
}

bool is_same_name(std::string_view one, std::string_view other)
{
    return beast::iequals(
        {one.data(), one.size()}, {other.data(), other.size()});
}

constexpr std::string_view authorization = "Authorization";

// Responses with a status from this on are failures.
constexpr std::uint32_t first_failure_status = 500;

// The values of all fields Authorization, in any order.
std::vector<std::string_view> authorization_of(http_request const& request)
{
    std::vector<std::string_view> values;
    auto const [begin, end] = request.equal_range(field::authorization);
    for (auto it = begin; it != end; ++it)
    {
        values.push_back(to_string_view(it->value()));
    }
    for (auto const& each : request.m_long_fields)
    {
        if (is_same_name(each.m_name, authorization))
        {
            values.push_back(each.m_value);
        }
    }
    return values;
}

// The least urgent priority that a request on this route can have.
std::uint32_t least_urgent_priority(
    core::directory::configuration const& config,
    core::directory::route const& route)
{
    // A request without an organisation, or of one without a priority, has the
    // route's.
    bool const has_priority_of_route =
        config.m_organisations.empty() || route.m_authentication_exempt ||
        std::any_of(
            config.m_organisations.begin(), config.m_organisations.end(),
            [](core::directory::organisation const& each)
            {
                return !each.m_priority;
            });
    std::uint32_t least = has_priority_of_route ? route.m_priority : 0;
    for (auto const& each : config.m_organisations)
    {
        least = std::max(least, each.m_priority.value_or(0));
    }
    return least;
}

} // namespace

dispatcher::dispatcher(
    asio::io_context& context, dispatcher_options options,
    protocol const& wire_protocol, node_table& nodes, target_gate& gate,
    quota_client& quotas, metrics& counts)
    : m_context{context},
      m_options{options},
      m_protocol{wire_protocol},
      m_counts{counts},
      m_random{std::random_device{}()},
      m_nodes{nodes},
      m_quotas{quotas},
      m_environment{
          .m_context = context,
          .m_nodes = nodes,
          .m_gate = gate,
          .m_counts = counts,
          .m_random = m_random,
          .m_stop = std::nullopt},
      m_directory{std::make_shared<core::directory::directory const>()},
      m_tick_timer{context}
{
}

awaitable<http_response> dispatcher::serve(
    http_request& request, body_buffer_ptr const& body,
    std::shared_ptr<cancel_scope> const& scope)
{
    auto const fields = m_protocol.m_read_caller(request);
    auto const& config = m_directory->config();
    if (config.m_version == 0)
    {
        co_return make_error_reply(
            status::service_unavailable, fields.m_attempt,
            core::reason::no_configuration, no_configuration_retry_after);
    }
    auto const& stop = m_environment.m_stop;
    if (stop && !stop->accepts_at(clock_now()))
    {
        co_return make_error_reply(
            status::service_unavailable, fields.m_attempt,
            core::reason::draining, unavailable_retry_after);
    }
    // The rules stay in use for this request if they are replaced while it
    // waits.
    admitted_request admitted{.m_rules = m_rules};
    admitted.m_entry = m_rules->m_routes.find(
        to_string_view(request[field::host]), to_string_view(request.target()));
    if (admitted.m_entry == nullptr)
    {
        co_return make_error_reply(
            status::not_found, fields.m_attempt, core::reason::no_route, {});
    }
    auto const& found_route = *admitted.m_entry->m_route;
    auto const checked = core::directory::authenticate(
        m_rules->m_keys, found_route.m_authentication_exempt,
        authorization_of(request));
    if (checked.m_refusal)
    {
        co_await discard_body(request, body);
        co_return make_unauthenticated_reply(
            fields.m_attempt, found_route, *checked.m_refusal);
    }
    admitted.m_organisation = checked.m_organisation;
    if (fields.m_attempt.empty())
    {
        co_return make_error_reply(
            status::bad_request, "", core::reason::bad_request, {});
    }
    auto options = make_call_options(request, fields, admitted);
    options.m_body = body;
    auto const route = options.m_route;
    call_times const times{
        .m_objective = options.m_objective,
        .m_deadline = options.m_deadline,
        .m_caller_deadline = options.m_began_at +
                             fields.m_deadline_left.value_or(default_deadline),
        .m_usual_work = options.m_usual_work};
    auto const began_at = options.m_began_at;
    auto const version = options.m_config_version;
    auto const service = options.m_request.m_service;
    auto const organisation = options.m_request.m_organisation;
    std::optional<quota_token> token;
    if (admitted.m_organisation != nullptr &&
        admitted.m_organisation->m_rate > 0)
    {
        auto const decision = co_await m_quotas.acquire(
            *admitted.m_organisation, options.m_deadline);
        if (auto const* const refused =
                std::get_if<core::quota::quota_refused>(&decision))
        {
            co_await discard_body(request, body);
            co_return make_over_quota_reply(
                fields.m_attempt, route, organisation, refused->m_retry_after);
        }
        token = std::get<quota_token>(decision);
        if (scope->is_cancelled())
        {
            m_quotas.give_back(*token);
            co_return make_error_reply(
                status::service_unavailable, fields.m_attempt,
                core::reason::caller_left, {});
        }
    }
    auto const priority = options.m_request.m_priority;
    options.m_retry_budget->deposit(priority, began_at);
    auto new_call = std::make_shared<call>(m_environment, std::move(options));
    m_calls.insert(new_call);
    start_ticking();
    scope->on_cancel(
        [weak = std::weak_ptr<call>{new_call}]
        {
            if (auto const active_call = weak.lock())
            {
                active_call->cancel();
            }
        });
    auto end = co_await run(new_call, *scope);
    if (token && end.m_result.m_outcome == outcome::not_run)
    {
        m_quotas.give_back(*token);
    }
    update_usual_work(route, end);
    auto const took = clock_now() - began_at;
    auto const verdict = to_verdict(end.m_result);
    m_counts.observe_call(verdict, took);
    auto const why = reason_of(verdict);
    bool const has_failed = end.m_result.m_outcome != outcome::answered ||
                            end.m_result.m_status >= first_failure_status;
    if (has_failed && why != core::reason::caller_left &&
        m_environment.m_gate.is_target(request.m_client_address))
    {
        m_environment.m_gate.on_call_failed();
    }
    log_event(
        event::request_ended,
        {{"request", fields.m_attempt},
         {"route", route.m_name},
         {"service", service},
         {"organisation", organisation},
         {"priority", std::int64_t{priority}},
         {"version", static_cast<std::int64_t>(version)},
         {"verdict", core::to_string(verdict)},
         {"reason", why ? core::to_string(*why) : "none"},
         {"status", static_cast<std::int64_t>(end.m_result.m_status)},
         {"target", end.m_target},
         {"attempts", static_cast<std::int64_t>(end.m_attempts)},
         {"ms", std::chrono::duration<double, std::milli>(took).count()}});
    bool const is_malformed = body && body->failure() != status::unknown;
    if (is_malformed)
    {
        co_return make_malformed_body_reply(body->failure(), fields.m_attempt);
    }
    co_return to_http(std::move(end), fields.m_attempt, times);
}

// Runs the call and removes it, also if it fails.
awaitable<call_result> dispatcher::run(
    std::shared_ptr<call> new_call, cancel_scope& scope)
{
    call_result end;
    std::exception_ptr failure;
    try
    {
        end = co_await new_call->run();
    }
    catch (...)
    {
        failure = std::current_exception();
    }
    scope.clear();
    m_calls.erase(new_call);
    if (failure)
    {
        new_call->cancel();
        std::rethrow_exception(failure);
    }
    co_return end;
}

void dispatcher::set_directory(core::directory::directory_ptr const& current)
{
    bool const is_new =
        current->config().m_version != m_directory->config().m_version;
    m_directory = current;
    if (is_new)
    {
        std::shared_ptr<core::directory::configuration const> const config{
            current, &current->config()};
        auto rules = std::make_shared<routing_rules>();
        rules->m_routes = core::routing::route_table{config};
        rules->m_keys = core::directory::key_index{config};
        for (auto const& route : config->m_routes)
        {
            auto const priority = least_urgent_priority(*config, route);
            for (auto const& part : route.m_services)
            {
                auto& least = rules->m_least_urgent[part.m_service];
                least = std::max(least, priority);
            }
        }
        m_rules = std::move(rules);
    }
}

void dispatcher::begin_stop(core::admission::stop_window const& stop)
{
    m_environment.m_stop = stop;
    for (auto const& each : m_calls)
    {
        each->begin_stop(stop);
    }
}

std::size_t dispatcher::active_calls() const noexcept
{
    return m_calls.size();
}

// Starts the tick loop, which runs while there are calls.
void dispatcher::start_ticking()
{
    if (!std::exchange(m_ticking, true))
    {
        spawn_loop(
            m_context, "ticks of calls",
            [this]
            {
                return tick_loop();
            });
    }
}

awaitable<void> dispatcher::tick_loop()
{
    while (!m_calls.empty())
    {
        m_tick_timer.expires_after(tick_interval);
        co_await m_tick_timer.async_wait(no_throw);
        auto const now = clock_now();
        m_nodes.self()->m_view.on_local_report(
            m_environment.m_gate.report(), now);
        auto const calls = m_calls;
        for (auto const& each : calls)
        {
            tick(*each, now);
        }
    }
    m_ticking = false;
}

// A call that fails does not keep the others from their ticks.
void dispatcher::tick(call& each, core::time_point now)
{
    try
    {
        each.on_tick(now);
    }
    catch (...)
    {
        log_failure("call", std::current_exception());
        each.cancel();
    }
}

call_options dispatcher::make_call_options(
    http_request& request, caller_fields const& fields,
    admitted_request const& admitted)
{
    auto const now = clock_now();
    auto& entry = *admitted.m_entry;
    auto const& route = *entry.m_route;
    auto const* const organisation = admitted.m_organisation;
    auto const priority =
        organisation == nullptr
            ? route.m_priority
            : organisation->m_priority.value_or(route.m_priority);
    m_nodes.self()->m_view.on_local_report(m_environment.m_gate.report(), now);
    auto const& service =
        route.m_services[entry.m_round_robin.next()].m_service;
    auto const timeout = std::min<milliseconds>(
        fields.m_deadline_left.value_or(default_deadline), route.m_timeout);
    auto const usual_work = usual_work_of(route);
    auto const age = fields.m_deadline_left
                         ? m_caller_ages[route.m_name].on_request(
                               *fields.m_deadline_left, now)
                         : core::duration{};
    run_request sent{
        .m_attempt = fields.m_attempt,
        .m_service = service,
        .m_caller = m_environment.m_gate.service(),
        .m_organisation = organisation == nullptr ? "" : organisation->m_name,
        .m_method = std::string{request.method_string()},
        .m_path = std::string{request.target()},
        .m_work_ms =
            std::chrono::duration_cast<milliseconds>(usual_work).count(),
        .m_priority = priority,
        .m_idempotent = route.m_idempotent};
    sent.m_fields = take_fields(request, admitted.m_rules->m_keys);
    sent.m_body = std::move(request.body());
    return {
        .m_request = std::move(sent),
        .m_route = route,
        .m_began_at = now,
        .m_objective = now + route.m_latency_objective - age,
        .m_urgent = is_urgent(*admitted.m_rules, route, priority),
        .m_deadline = now + timeout,
        .m_usual_work = usual_work,
        .m_retry_budget = retry_budget_for(service),
        .m_config_version = m_directory->config().m_version};
}

// Returns the fields that are sent to the target. Takes the long ones from the
// request.
header_fields dispatcher::take_fields(
    http_request& request, core::directory::key_index const& keys) const
{
    header_fields fields;
    headers::remove_hop_by_hop(request);
    for (auto const& each : request)
    {
        auto const name = to_string_view(each.name_string());
        auto const value = to_string_view(each.value());
        if (name != "Content-Length" && is_forwarded(keys, name, value))
        {
            fields.push_back(
                {.m_name = std::string{name}, .m_value = std::string{value}});
        }
    }
    for (auto& each : request.m_long_fields)
    {
        if (is_forwarded(keys, each.m_name, each.m_value))
        {
            fields.push_back(std::move(each));
        }
    }
    return fields;
}

bool dispatcher::is_forwarded(
    core::directory::key_index const& keys, std::string_view name,
    std::string_view value) const
{
    if (m_protocol.m_is_hop_by_hop(name))
    {
        return false;
    }
    if (keys.is_empty())
    {
        return true;
    }
    bool const has_key = is_same_name(name, authorization) &&
                         core::directory::may_contain_key(keys, value);
    return !has_key && !is_same_name(name, m_protocol.m_organisation_field);
}

std::shared_ptr<core::retry::windowed_retry_budget>
dispatcher::retry_budget_for(std::string const& service)
{
    auto& budget = m_retry_budgets[service];
    auto const nodes = std::max<std::size_t>(m_nodes.all().size(), 1);
    double const slack =
        m_options.m_retry_budget.m_slack / static_cast<double>(nodes);
    if (!budget)
    {
        budget = std::make_shared<core::retry::windowed_retry_budget>(
            m_options.m_retry_budget);
    }
    budget->set_slack(slack);
    return budget;
}

// Whether other requests to one of the route's services can be less urgent.
bool dispatcher::is_urgent(
    routing_rules const& rules, core::directory::route const& route,
    std::uint32_t priority)
{
    return std::any_of(
        route.m_services.begin(), route.m_services.end(),
        [&rules, priority](core::directory::weighted_service const& part)
        {
            auto const it = rules.m_least_urgent.find(part.m_service);
            return it != rules.m_least_urgent.end() && priority < it->second;
        });
}

core::duration& dispatcher::usual_work_of(core::directory::route const& route)
{
    std::chrono::duration<double> const objective = route.m_latency_objective;
    auto const initial = std::chrono::duration_cast<core::duration>(
        objective * initial_work_share);
    return m_usual_work.emplace(route.m_name, initial).first->second;
}

http_response dispatcher::to_http(
    call_result&& end, std::string const& attempt, call_times const& times)
{
    auto const now = clock_now();
    auto& result = end.m_result;
    if (result.m_outcome == outcome::answered)
    {
        http_response response;
        response.result(result.m_status);
        for (auto const& each : result.m_fields)
        {
            // A gate accepts no longer field of its target.
            if (!headers::can_store({}, each.m_name, each.m_value))
            {
                return make_error_reply(
                    status::bad_gateway, attempt,
                    core::reason::answer_mismatched, {});
            }
            response.insert(each.m_name, each.m_value);
        }
        response.body() = std::move(result.m_body);
        return response;
    }
    if (result.m_outcome == outcome::may_have_run)
    {
        // The gate's deadline passes up to a millisecond before this node's.
        bool const is_late =
            result.m_reason == core::reason::deadline_passed ||
            result.m_reason == core::reason::response_timeout ||
            now >= times.m_deadline;
        return make_error_reply(
            is_late ? status::gateway_timeout : status::bad_gateway, attempt,
            result.m_reason, {});
    }
    std::uniform_real_distribution<double> uniform{0.0, 1.0};
    auto const least = result.m_reason == core::reason::target_refused
                           ? core::retry::min_retry_after
                           : unavailable_retry_after;
    core::retry::refusal const refused{
        .m_capacity_expected_in =
            std::max(milliseconds{result.m_retry_after_ms}, least),
        .m_usual_work = times.m_usual_work,
        .m_objective_left = times.m_objective - now,
        .m_deadline_left = times.m_deadline - now,
        .m_caller_left = times.m_caller_deadline - now,
        .m_overloaded = is_overload(result.m_reason)};
    return make_error_reply(
        status::service_unavailable, attempt, result.m_reason,
        core::retry::compute_retry_after(refused, uniform(m_random)));
}

http_response dispatcher::make_error_reply(
    status code, std::string const& attempt, core::reason why,
    milliseconds retry_after)
{
    auto response = text_reply(code, std::string{core::to_string(why)} + "\n");
    if (!attempt.empty())
    {
        m_protocol.m_write_attempt(response, attempt);
    }
    if (retry_after.count() > 0)
    {
        std::chrono::duration<double> const seconds = retry_after;
        response.set(
            field::retry_after, fmt::format("{:.2f}", seconds.count()));
    }
    return response;
}

// Reads the body of a request that does not run, so that its connection can be
// used again. A body that is long, late or not sent without a permission is not
// read, and the server closes the connection after the response.
awaitable<void> dispatcher::discard_body(
    http_request const& request, body_buffer_ptr body)
{
    bool const is_skipped = !body || request.count(field::expect) > 0 ||
                            body->length().value_or(0) > max_discarded_bytes;
    if (is_skipped)
    {
        co_return;
    }
    auto const until = clock_now() + discard_timeout;
    auto const changed = std::make_shared<asio::steady_timer>(m_context);
    body->on_change(
        [changed]
        {
            changed->cancel();
        });
    while (body->current_state() == body_buffer::state::incomplete &&
           body->size() <= max_discarded_bytes && clock_now() < until)
    {
        body->release_before(body->size());
        changed->expires_at(until);
        co_await changed->async_wait(no_throw);
    }
    body->on_change(nullptr);
}

http_response dispatcher::make_unauthenticated_reply(
    std::string const& attempt, core::directory::route const& route,
    core::directory::key_refusal why)
{
    m_counts.add_key_refusal(why);
    log_event(
        event::key_refused,
        {{"request", attempt},
         {"route", route.m_name},
         {"reason", core::directory::to_string(why)},
         {"version",
          static_cast<std::int64_t>(m_directory->config().m_version)}});
    auto response = make_error_reply(
        status::unauthorized, attempt, core::reason::unauthenticated, {});
    response.set(field::www_authenticate, "Bearer");
    return response;
}

http_response dispatcher::make_over_quota_reply(
    std::string const& attempt, core::directory::route const& route,
    std::string const& organisation, core::duration retry_after)
{
    auto const wait = std::max(
        std::chrono::ceil<milliseconds>(retry_after), min_quota_retry_after);
    log_event(
        event::quota_refused,
        {{"request", attempt},
         {"route", route.m_name},
         {"organisation", organisation},
         {"retry_after_ms", static_cast<std::int64_t>(wait.count())},
         {"version",
          static_cast<std::int64_t>(m_directory->config().m_version)}});
    return make_error_reply(
        status::too_many_requests, attempt, core::reason::quota_exceeded, wait);
}

// The response to a request whose body could not be read.
http_response dispatcher::make_malformed_body_reply(
    status code, std::string const& attempt)
{
    auto response = text_reply(code, "the body of the request is malformed\n");
    if (code == status::payload_too_large)
    {
        response.body() = "the body of the request is too long\n";
    }
    else if (code == status::request_timeout)
    {
        response.body() = "the body of the request did not arrive in time\n";
    }
    m_protocol.m_write_attempt(response, attempt);
    return response;
}

// Updates the moving average of the route's usual processing time. The
// target_gate reports the processing time converted to the usual speed of the
// target.
void dispatcher::update_usual_work(
    core::directory::route const& route, call_result const& end)
{
    auto const& result = end.m_result;
    bool const has_work_time = result.m_outcome == outcome::answered &&
                               result.m_status < 400 && result.m_work_us > 0;
    if (!has_work_time)
    {
        return;
    }
    auto& usual_work = usual_work_of(route);
    core::duration const measured = std::chrono::microseconds{result.m_work_us};
    auto const bounded =
        std::clamp<core::duration>(measured, usual_work / 4, usual_work * 4);
    std::chrono::duration<double> const next =
        usual_work * (1.0 - work_weight) + bounded * work_weight;
    usual_work = std::chrono::duration_cast<core::duration>(next);
}

} // namespace hibiscustide::net::mesh

#include "net/mesh/call.hpp"

#include <algorithm>
#include <utility>

#include <hibiscustide/net/event_log.hpp>

#include "net/clock.hpp"

namespace hibiscustide::net::mesh
{

namespace
{

using core::observe::event;
using std::chrono::milliseconds;

// Interval between placement rounds when every target has refused the request.
constexpr milliseconds placement_retry_interval{20};

// A call that no target accepts is refused after its latency objective divided
// by this number, so that the caller can still retry in time.
constexpr int placement_time_divisor = 8;

// Compares addresses, since the entry of a node may have been created again.
bool contains(
    std::vector<node_entry const*> const& list, node_entry const& wanted)
{
    return std::any_of(
        list.begin(), list.end(),
        [&wanted](node_entry const* each)
        {
            return each->m_address == wanted.m_address;
        });
}

milliseconds to_milliseconds(core::duration span)
{
    return std::chrono::duration_cast<milliseconds>(span);
}

// A shorter body is sent together with its request.
constexpr std::size_t max_inline_body = 4'096;

bool is_short_and_complete(body_buffer const& body)
{
    return body.current_state() == body_buffer::state::complete &&
           body.size() <= max_inline_body;
}

// The result of a request whose body ends early. A target may have got a part
// of it.
run_result body_failure()
{
    return {
        .m_outcome = outcome::may_have_run,
        .m_reason = core::reason::bad_request};
}

// Whether the refusal was caused by a state of the node or of its target that
// will also affect the next request.
bool is_persistent(core::reason why)
{
    switch (why)
    {
    case core::reason::draining:
    case core::reason::withdrawn:
    case core::reason::target_down:
    case core::reason::unknown_service:
    case core::reason::connect_failed:
    case core::reason::peer_unreachable:
        return true;
    default:
        return false;
    }
}

} // namespace

call::call(call_environment const& environment, call_options options)
    : m_environment{environment},
      m_options{std::move(options)},
      m_caller_deadline{m_options.m_deadline},
      m_completion{environment.m_context}
{
    if (environment.m_stop)
    {
        begin_stop(*environment.m_stop);
    }
}

awaitable<call_result> call::run()
{
    auto const self = shared_from_this();
    place_attempt();
    co_return co_await m_completion.get();
}

void call::cancel()
{
    if (m_finished)
    {
        return;
    }
    log_event(
        event::caller_left,
        {{"request", m_options.m_request.m_attempt},
         {"running", static_cast<std::int64_t>(running_attempts())}});
    finish(
        {.m_outcome = outcome::may_have_run,
         .m_reason = core::reason::caller_left},
        std::nullopt);
}

void call::begin_stop(core::admission::stop_window const& stop)
{
    m_environment.m_stop = stop;
    m_options.m_deadline = std::min(m_options.m_deadline, stop.last_end());
}

void call::on_tick(core::time_point now)
{
    if (m_finished)
    {
        return;
    }
    if (now >= m_options.m_deadline)
    {
        bool const may_have_run =
            m_targets_reached > 0 || running_attempts() > 0;
        // A caller that still has time can go to another node at once.
        bool const is_cut_by_stop = !may_have_run && now < m_caller_deadline;
        run_result timeout_result{
            .m_outcome =
                may_have_run ? outcome::may_have_run : outcome::not_run,
            .m_reason = is_cut_by_stop ? core::reason::draining
                                       : core::reason::deadline_passed};
        finish(m_last_failure.value_or(timeout_result), std::nullopt);
        return;
    }
    if (has_body_failed())
    {
        finish(body_failure(), std::nullopt);
        return;
    }
    if (m_retry_placement_at && now >= *m_retry_placement_at)
    {
        m_retry_placement_at.reset();
        m_refused.clear();
        place_attempt();
    }
    hedge_if_slow(now);
}

// Sends the request to the best target that has not refused or failed it. If
// there is none and no attempt is running, ends the call or schedules another
// placement round.
void call::place_attempt()
{
    auto const now = clock_now();
    if (refuse_if_stopping(now) || refuse_if_no_room(now))
    {
        return;
    }
    auto const node = can_send_again() ? choose_node(now) : nullptr;
    if (node)
    {
        send(node);
        return;
    }
    if (running_attempts() > 0)
    {
        return;
    }
    if (m_last_failure)
    {
        finish(*m_last_failure, std::nullopt);
        return;
    }
    retry_placement_or_refuse(now);
}

// Refuses the request if it is not expected to end before this node exits.
// Returns whether no further attempt may be placed.
bool call::refuse_if_stopping(core::time_point now)
{
    auto const node = m_environment.m_stop ? choose_node(now) : nullptr;
    if (!node)
    {
        return false;
    }
    auto const expected = core::routing::expected_residence_time(
        node->m_view, m_options.m_usual_work, now);
    if (m_environment.m_stop->may_start(expected, m_caller_deadline, now))
    {
        return false;
    }
    m_last_refusal = {.m_reason = core::reason::draining};
    if (running_attempts() == 0)
    {
        finish(m_last_failure.value_or(m_last_refusal), std::nullopt);
    }
    return true;
}

// Refuses the request if no target is expected to admit it, or if enough gates
// have refused it for lack of room. An attempt that is running goes on. Returns
// whether no further attempt may be placed.
bool call::refuse_if_no_room(core::time_point now)
{
    auto const candidates = list_candidates(
        now,
        [this](node_entry const& node)
        {
            return contains(m_refused, node) || contains(m_failed, node);
        });
    core::routing::request_needs const needs{
        .m_usual_work = m_options.m_usual_work,
        .m_objective_left = m_options.m_objective - now,
        .m_deadline_left = m_options.m_deadline - now,
        .m_urgent = m_options.m_urgent};
    auto const wait =
        core::routing::expected_wait_for_room(candidates, needs, now);
    if (!wait && !core::routing::has_tried_enough(m_full_gates, needs))
    {
        return false;
    }
    if (wait)
    {
        m_last_refusal = {
            .m_reason = core::reason::queue_full,
            .m_retry_after_ms = to_milliseconds(*wait).count()};
    }
    if (running_attempts() == 0)
    {
        finish(m_last_failure.value_or(m_last_refusal), std::nullopt);
    }
    return true;
}

// Schedules another placement round, or refuses the call if its placement time
// is over.
void call::retry_placement_or_refuse(core::time_point now)
{
    auto const max_placement_time =
        m_options.m_route.m_latency_objective / placement_time_divisor;
    if (now + placement_retry_interval <
        m_options.m_began_at + max_placement_time)
    {
        m_retry_placement_at = now + placement_retry_interval;
        return;
    }
    finish(m_last_refusal, std::nullopt);
}

void call::send(node_entry_ptr const& node)
{
    auto const now = clock_now();
    auto request = m_options.m_request;
    request.m_deadline_left_ms = std::max<std::int64_t>(
        to_milliseconds(m_options.m_deadline - now).count(), 1);
    request.m_objective_left_ms =
        to_milliseconds(m_options.m_objective - now).count();
    auto const& report = node->m_view.report();
    auto const age = to_milliseconds(now - node->m_view.reported_at());
    log_event(
        event::attempt_placed,
        {{"request", m_options.m_request.m_attempt},
         {"target", node->m_address},
         {"version", static_cast<std::int64_t>(m_options.m_config_version)},
         {"load", node->m_view.load()},
         {"slowness", std::int64_t{report.m_speed.m_slowness}},
         {"report_age_ms", age.count()}});
    node->m_view.on_sent();
    auto const index = m_attempts.size();
    m_attempts.push_back(
        {.m_node = node,
         .m_forecast = {
             .m_began_at = now,
             .m_expected = core::routing::expected_residence_time(
                 node->m_view, m_options.m_usual_work, now)}});
    auto const weak = weak_from_this();
    auto done = [weak, node, index](run_result result)
    {
        node->m_view.on_ended();
        if (auto const self = weak.lock())
        {
            self->on_result(index, std::move(result));
        }
    };
    auto body = m_options.m_body;
    if (body && is_short_and_complete(*body))
    {
        request.m_body = body->read(0, body->size());
        body = nullptr;
    }
    auto const id =
        node->m_is_self
            ? m_environment.m_gate.run(
                  std::move(request), {.m_buffer = body}, std::move(done))
            : node->m_link->run(std::move(request), body, std::move(done));
    m_attempts[index].m_id = id;
    m_environment.m_counts.add(
        node->m_is_self ? counter::attempts_local : counter::attempts_remote);
}

void call::on_result(std::size_t index, run_result result)
{
    auto& ended = m_attempts[index];
    ended.m_ended = true;
    if (m_finished)
    {
        return;
    }
    if (has_body_failed())
    {
        finish(body_failure(), std::nullopt);
        return;
    }
    auto const now = clock_now();
    auto& node = *ended.m_node;
    m_targets_reached += result.m_reached_target ? 1 : 0;
    m_possible_runs += result.m_outcome == outcome::not_run ? 0 : 1;
    if (result.m_outcome == outcome::answered)
    {
        node.m_view.on_answered();
        bool const is_failure = result.m_status >= 500;
        if (!is_failure || !may_retry())
        {
            finish(std::move(result), index);
            return;
        }
        m_failed.push_back(&node);
        on_failed(ended, std::move(result));
        return;
    }
    if (is_persistent(result.m_reason) && !node.m_is_self)
    {
        node.m_view.on_failed(now);
    }
    if (result.m_outcome == outcome::not_run)
    {
        m_refused.push_back(&node);
        if (result.m_reason == core::reason::queue_full)
        {
            m_full_gates.count(node.m_view, now);
            node.m_view.on_full(milliseconds{result.m_retry_after_ms}, now);
        }
        on_not_run(std::move(result));
        return;
    }
    m_failed.push_back(&node);
    on_failed(ended, std::move(result));
}

// A refusal by a node's target_gate does not use the retry budget, since the
// request did not reach the target.
void call::on_not_run(run_result result)
{
    log_event(
        event::attempt_refused,
        {{"request", m_options.m_request.m_attempt},
         {"reason", core::to_string(result.m_reason)},
         {"reached_target", std::int64_t{result.m_reached_target}},
         {"retry_after_ms", result.m_retry_after_ms}});
    bool const reached = result.m_reached_target;
    bool const is_blocked = result.m_reason == core::reason::crashes_targets;
    m_last_refusal = std::move(result);
    if (is_blocked)
    {
        finish(m_last_failure.value_or(m_last_refusal), std::nullopt);
        return;
    }
    bool const may_continue =
        !reached || m_options.m_retry_budget->try_withdraw(
                        core::retry::retry_cause::not_run,
                        m_options.m_request.m_priority, clock_now());
    if (!may_continue)
    {
        if (running_attempts() == 0)
        {
            finish(m_last_failure.value_or(m_last_refusal), std::nullopt);
        }
        return;
    }
    place_attempt();
}

void call::on_failed(attempt const& failed, run_result result)
{
    auto const now = clock_now();
    log_event(
        event::attempt_failed,
        {{"request", m_options.m_request.m_attempt},
         {"target", failed.m_node->m_address},
         {"reason", core::to_string(result.m_reason)},
         {"status", static_cast<std::int64_t>(result.m_status)},
         {"ms", to_milliseconds(now - failed.m_forecast.m_began_at).count()}});
    bool const can_meet_deadline = core::retry::can_answer_in_time(
        best_other_cost(now), m_options.m_usual_work,
        m_options.m_deadline - now);
    bool const should_retry = may_retry() && can_meet_deadline &&
                              m_options.m_retry_budget->try_withdraw(
                                  core::retry::retry_cause::may_have_run,
                                  m_options.m_request.m_priority, now);
    m_last_failure = std::move(result);
    if (should_retry)
    {
        m_environment.m_counts.add(counter::retries);
        place_attempt();
    }
    else if (running_attempts() == 0)
    {
        finish(*m_last_failure, std::nullopt);
    }
}

// Sends the request to a second target if the only running attempt is slow, or
// if all running attempts are at gates that are out of reach.
void call::hedge_if_slow(core::time_point now)
{
    // A body that follows has one reader, so it can't be sent to two targets.
    if (m_finished || m_options.m_body || running_attempts() == 0 ||
        !may_retry())
    {
        return;
    }
    auto const it = std::find_if(
        m_attempts.begin(), m_attempts.end(),
        [now](attempt const& each)
        {
            return !each.m_ended && !each.is_lost(now);
        });
    bool const all_lost = it == m_attempts.end();
    if (!all_lost && running_attempts() > 1)
    {
        return;
    }
    auto const& slow = all_lost ? last_running_attempt() : *it;
    core::retry::hedge_conditions const conditions{
        .m_run = slow.m_forecast,
        .m_now = now,
        .m_other_cost = best_other_cost(now),
        .m_usual_work = m_options.m_usual_work,
        .m_objective_left = m_options.m_objective - now,
        .m_deadline_left = m_options.m_deadline - now};
    bool const should_hedge =
        all_lost ? core::retry::can_answer_in_time(
                       conditions.m_other_cost, m_options.m_usual_work,
                       conditions.m_deadline_left)
                 : core::retry::should_hedge(conditions);
    if (!should_hedge)
    {
        return;
    }
    if (!contains(m_failed, *slow.m_node))
    {
        m_failed.push_back(slow.m_node.get());
    }
    // An attempt that cannot be placed must not use the retry budget.
    bool const is_placeable = !refuse_if_no_room(now) && choose_node(now);
    if (!is_placeable || !m_options.m_retry_budget->try_withdraw(
                             core::retry::retry_cause::may_have_run,
                             m_options.m_request.m_priority, now))
    {
        return;
    }
    log_event(
        event::attempt_repeated,
        {{"request", m_options.m_request.m_attempt},
         {"slow_node", slow.m_node->m_address},
         {"lost", std::int64_t{all_lost}},
         {"done", conditions.m_run.progress(now)},
         {"expected_ms", to_milliseconds(conditions.m_run.m_expected).count()},
         {"other_cost", conditions.m_other_cost}});
    m_environment.m_counts.add(counter::retries);
    place_attempt();
}

void call::finish(run_result result, std::optional<std::size_t> index)
{
    m_finished = true;
    m_retry_placement_at.reset();
    cancel_attempts();
    call_result end{
        .m_result = std::move(result), .m_attempts = m_attempts.size()};
    if (index)
    {
        end.m_target = m_attempts[*index].m_node->m_address;
    }
    m_completion.set(std::move(end));
}

void call::cancel_attempts()
{
    for (auto& each : m_attempts)
    {
        if (std::exchange(each.m_ended, true))
        {
            continue;
        }
        each.m_node->m_view.on_ended();
        if (each.m_node->m_is_self)
        {
            m_environment.m_gate.cancel(each.m_id);
        }
        else
        {
            each.m_node->m_link->cancel(each.m_id);
        }
    }
}

node_entry_ptr call::choose_node(core::time_point now) const
{
    auto const candidates = list_candidates(
        now,
        [this](node_entry const& node)
        {
            return contains(m_refused, node) || contains(m_failed, node);
        });
    auto const tie = static_cast<std::size_t>(m_environment.m_random());
    auto const position =
        core::routing::place(candidates, m_options.m_usual_work, tie, now);
    return position ? members()[*position] : nullptr;
}

// Expected cost at the best target to which the request was not sent yet.
double call::best_other_cost(core::time_point now) const
{
    auto const candidates = list_candidates(
        now,
        [this](node_entry const& node)
        {
            return std::any_of(
                m_attempts.begin(), m_attempts.end(),
                [&node](attempt const& each)
                {
                    return each.m_node->m_address == node.m_address;
                });
        });
    return core::routing::min_expected_cost(
        candidates, m_options.m_usual_work, now);
}

std::vector<core::routing::placement_candidate> call::list_candidates(
    core::time_point now,
    std::function<bool(node_entry const&)> const& is_excluded) const
{
    std::vector<core::routing::placement_candidate> candidates;
    candidates.reserve(members().size());
    for (auto const& node : members())
    {
        candidates.push_back(
            {.m_view = &node->m_view,
             .m_same_domain = node->m_same_domain,
             .m_excluded = is_excluded(*node),
             .m_responsive = node->is_responsive(now)});
    }
    return candidates;
}

std::vector<node_entry_ptr> const& call::members() const
{
    return m_environment.m_nodes.members_of(m_options.m_request.m_service);
}

// Whether another target may run the request.
bool call::may_retry() const
{
    return m_options.m_request.m_idempotent &&
           m_possible_runs + running_attempts() <
               m_options.m_route.m_max_targets;
}

// Whether the whole body is available for a further attempt.
bool call::can_send_again() const
{
    return !m_options.m_body || m_attempts.empty() ||
           m_options.m_body->can_restart();
}

// Whether the body of the request ends early, so that no target may get it.
bool call::has_body_failed() const
{
    return m_options.m_body &&
           m_options.m_body->current_state() == body_buffer::state::failed;
}

// Whether the gate has been out of reach for some time. Its result may come.
bool call::attempt::is_lost(core::time_point now) const
{
    return m_node->m_link && m_node->m_link->is_lost(now);
}

call::attempt const& call::last_running_attempt() const
{
    return *std::find_if(
        m_attempts.rbegin(), m_attempts.rend(),
        [](attempt const& each)
        {
            return !each.m_ended;
        });
}

std::size_t call::running_attempts() const
{
    auto const count = std::count_if(
        m_attempts.begin(), m_attempts.end(),
        [](attempt const& each)
        {
            return !each.m_ended;
        });
    return static_cast<std::size_t>(count);
}

} // namespace hibiscustide::net::mesh

// The exchange of one request with the target.
#include "net/mesh/target_gate.hpp"

#include <algorithm>
#include <utility>

#include "net/clock.hpp"
#include "net/headers.hpp"
#include "net/mesh/target_gate_work.hpp"

namespace hibiscustide::net::mesh
{

namespace
{

using core::admission::target_outcome;
using std::chrono::milliseconds;

constexpr unsigned http_1_1 = 11;

// A request that can't be repeated goes only over a connection that has been
// used so lately that the target has not dropped it.
constexpr milliseconds fresh_enough{1'000};

// What the work would have taken at the target's usual speed.
std::int64_t at_usual_speed_us(core::duration took, std::uint32_t slowness)
{
    auto const us = std::chrono::duration_cast<std::chrono::microseconds>(took);
    return us.count() * 100 / std::max<std::uint32_t>(slowness, 1);
}

milliseconds left_until(core::time_point deadline)
{
    auto const left = deadline - clock_now();
    return std::max(
        milliseconds{1}, std::chrono::duration_cast<milliseconds>(left));
}

} // namespace

awaitable<void> target_gate::exchange(std::shared_ptr<work> item)
{
    auto const request = to_http(*item);
    core::duration const max_idle = item->m_request.m_idempotent
                                        ? core::duration{idle_limit}
                                        : core::duration{fresh_enough};
    auto exchanged = co_await m_pool.exchange(
        request, item->m_deadline, &item->m_scope, max_idle);
    finish(item, to_result(*item, std::move(exchanged)));
}

http_request target_gate::to_http(work const& item) const
{
    auto const& wanted = item.m_request;
    http_request request;
    request.version(http_1_1);
    request.method_string(wanted.m_method);
    request.target(wanted.m_path);
    for (auto const& entry : wanted.m_fields)
    {
        request.insert(entry.m_name, entry.m_value);
    }
    request.body() = wanted.m_body;
    target_fields const fields{
        .m_attempt = wanted.m_attempt,
        .m_instance = m_entry ? m_entry->m_instance : "",
        .m_caller = wanted.m_caller,
        .m_deadline_left = left_until(item.m_deadline)};
    m_wire.m_write_target(request, fields);
    bool const has_body = !wanted.m_body.empty() || wanted.m_method == "POST" ||
                          wanted.m_method == "PUT" ||
                          wanted.m_method == "PATCH";
    if (has_body)
    {
        request.content_length(wanted.m_body.size());
    }
    return request;
}

run_result target_gate::to_result(work const& item, exchange_result&& exchanged)
{
    if (auto const* const failure = std::get_if<exchange_failure>(&exchanged))
    {
        bool const refused = failure->m_reason == core::reason::connect_failed;
        if (refused)
        {
            m_health.on_connect_failed(clock_now());
        }
        if (failure->m_reason != core::reason::caller_left)
        {
            note_outcome(item, target_outcome::failed);
        }
        if (!failure->m_sent)
        {
            return refusal(failure->m_reason);
        }
        if (failure->m_reason == core::reason::connection_broken)
        {
            m_suspects.on_connection_lost(
                fingerprint_of(item.m_request), clock_now());
        }
        m_pool.close_idle();
        return {
            .m_outcome = outcome::may_have_run,
            .m_reason = failure->m_reason,
            .m_reached_target = true};
    }
    auto& response = std::get<http_response>(exchanged);
    auto const fields = m_wire.m_read_answer(response);
    if (fields.m_not_run)
    {
        note_outcome(item, target_outcome::refused);
        auto const why = fields.m_other_instance ? core::reason::withdrawn
                                                 : core::reason::target_refused;
        return refusal(why, !fields.m_other_instance);
    }
    auto const status = response.result_int();
    bool const is_success = status >= 200 && status < 300;
    if (is_success && !fields.m_is_genuine)
    {
        note_outcome(item, target_outcome::failed);
        m_counts.add(counter::answers_mismatched);
        return {
            .m_outcome = outcome::may_have_run,
            .m_reason = core::reason::answer_mismatched,
            .m_reached_target = true};
    }
    note_outcome(
        item,
        status >= 500 ? target_outcome::failed : target_outcome::answered);
    m_suspects.on_answered(fingerprint_of(item.m_request), clock_now());
    auto const took = clock_now() - item.m_started_at;
    m_counts.observe_target(took);
    run_result result{
        .m_outcome = outcome::answered,
        .m_reached_target = true,
        .m_status = status,
        .m_work_us = at_usual_speed_us(took, item.m_slowness)};
    headers::remove_hop_by_hop(response);
    for (auto const& entry : response)
    {
        std::string_view const name{
            entry.name_string().data(), entry.name_string().size()};
        if (!m_wire.m_is_hop_by_hop(name) && name != "Content-Length")
        {
            result.m_fields.push_back(
                {.m_name = std::string{name},
                 .m_value = std::string{entry.value()}});
        }
    }
    result.m_body = std::move(response.body());
    return result;
}

void target_gate::note_outcome(work const& item, target_outcome what)
{
    auto const now = clock_now();
    // Silence up to a deadline that was short anyway says nothing.
    bool const is_short =
        now - item.m_started_at < milliseconds{item.m_request.m_work_ms};
    if (what == target_outcome::failed && is_short && now >= item.m_deadline)
    {
        return;
    }
    m_health.on_outcome(what, now);
}

} // namespace hibiscustide::net::mesh

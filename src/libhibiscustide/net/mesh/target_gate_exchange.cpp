// Sends requests to the target and converts its responses to results.
#include "net/mesh/target_gate.hpp"

#include <algorithm>
#include <exception>
#include <memory>
#include <utility>

#include <boost/asio/post.hpp>

#include "net/clock.hpp"
#include "net/failure_guard.hpp"
#include "net/headers.hpp"
#include "net/mesh/target_gate_internal.hpp"

namespace hibiscustide::net::mesh
{

namespace
{

using core::admission::target_outcome;
using std::chrono::milliseconds;

constexpr unsigned http_1_1 = 11;

// Maximum idle time of a connection that is used for a request that must not be
// repeated: the target could close a connection that was idle for longer.
constexpr milliseconds max_idle_for_unrepeatable{1'000};

// Converts a processing time to the usual speed of the target.
std::int64_t at_usual_speed_us(core::duration took, std::uint32_t slowness)
{
    auto const us = std::chrono::duration_cast<std::chrono::microseconds>(took);
    return us.count() * 100 / std::max<std::uint32_t>(slowness, 1);
}

// Time left until the deadline; at least one millisecond.
milliseconds time_left_until(core::time_point deadline)
{
    auto const left = deadline - clock_now();
    return std::max(
        milliseconds{1}, std::chrono::duration_cast<milliseconds>(left));
}

} // namespace

// Ends a request as possibly run if the coroutine that exchanges it with the
// target ends without a result.
class target_gate::exchange_guard
{
public:
    exchange_guard(target_gate& gate, std::shared_ptr<active_request> active)
        : m_context{gate.m_context},
          m_gate{gate.m_self},
          m_active{std::move(active)}
    {
    }

    exchange_guard(exchange_guard const&) = delete;
    exchange_guard& operator=(exchange_guard const&) = delete;

    ~exchange_guard()
    {
        if (m_active && !m_gate.expired())
        {
            finish_later();
        }
    }

    void dismiss() noexcept
    {
        m_active.reset();
    }

private:
    // The end of a request calls handlers, which may throw.
    void finish_later() noexcept
    {
        try
        {
            asio::post(
                m_context,
                [weak = m_gate, active = m_active]
                {
                    if (auto const gate = weak.lock())
                    {
                        (*gate)->finish(
                            active,
                            {.m_outcome = outcome::may_have_run,
                             .m_reason = core::reason::connection_broken,
                             .m_reached_target = true});
                    }
                });
        }
        catch (...)
        {
            log_failure("end of a request", std::current_exception());
        }
    }

    asio::io_context& m_context;
    std::weak_ptr<target_gate*> m_gate;
    std::shared_ptr<active_request> m_active;
};

awaitable<void> target_gate::exchange(std::shared_ptr<active_request> active)
{
    exchange_guard guard{*this, active};
    auto const request = to_http(*active);
    core::duration const max_idle =
        active->m_request.m_idempotent
            ? core::duration{idle_limit}
            : core::duration{max_idle_for_unrepeatable};
    exchange_result exchanged;
    if (active->m_body)
    {
        exchanged = co_await m_pool.exchange(
            request, active->m_body, active->m_deadline, &active->m_scope,
            max_idle);
    }
    else
    {
        exchanged = co_await m_pool.exchange(
            request, active->m_deadline, &active->m_scope, max_idle);
    }
    auto result = to_result(*active, std::move(exchanged));
    guard.dismiss();
    finish(active, std::move(result));
}

http_request target_gate::to_http(active_request const& active) const
{
    auto const& source = active.m_request;
    http_request request;
    request.version(http_1_1);
    request.method_string(source.m_method);
    request.target(source.m_path);
    for (auto const& entry : source.m_fields)
    {
        headers::add(request, entry.m_name, entry.m_value);
    }
    request.body() = source.m_body;
    target_fields const fields{
        .m_attempt = source.m_attempt,
        .m_instance = m_entry ? m_entry->m_instance : "",
        .m_caller = source.m_caller,
        .m_organisation = source.m_organisation,
        .m_deadline_left = time_left_until(active.m_deadline)};
    m_protocol.m_write_target(request, fields);
    if (!request.m_long_fields.empty())
    {
        // The fields that a node sets replace all of the same name.
        http_request set_here;
        m_protocol.m_write_target(set_here, fields);
        headers::remove_long_fields(request, set_here);
    }
    bool const has_body =
        !active.m_body &&
        (!source.m_body.empty() || source.m_method == "POST" ||
         source.m_method == "PUT" || source.m_method == "PATCH");
    if (has_body)
    {
        request.content_length(source.m_body.size());
    }
    return request;
}

run_result target_gate::to_result(
    active_request const& active, exchange_result&& exchanged)
{
    if (auto const* const failure = std::get_if<exchange_failure>(&exchanged))
    {
        bool const refused = failure->m_reason == core::reason::connect_failed;
        if (refused)
        {
            m_health.on_connect_failed(clock_now());
        }
        bool const has_tried =
            failure->m_reason != core::reason::caller_left &&
            failure->m_reason != core::reason::deadline_passed;
        if (has_tried)
        {
            record_outcome(active, target_outcome::failed);
        }
        bool const is_cut_by_stop =
            active.m_ended_by_stop &&
            failure->m_reason == core::reason::caller_left;
        auto const why =
            is_cut_by_stop ? core::reason::draining : failure->m_reason;
        if (!failure->m_sent)
        {
            return make_refusal(why);
        }
        if (failure->m_reason == core::reason::connection_broken)
        {
            m_poison_detector.on_connection_lost(
                active.m_fingerprint, clock_now());
        }
        m_pool.close_idle();
        return {
            .m_outcome = outcome::may_have_run,
            .m_reason = why,
            .m_reached_target = true};
    }
    auto& response = std::get<http_response>(exchanged);
    auto const fields = m_protocol.m_read_answer(response);
    if (fields.m_not_run)
    {
        record_outcome(active, target_outcome::refused);
        auto const why = fields.m_other_instance ? core::reason::withdrawn
                                                 : core::reason::target_refused;
        return make_refusal(why, !fields.m_other_instance);
    }
    auto const status = response.result_int();
    // A caller that got an interim response would take the next answer on its
    // connection for the one to this request.
    bool const is_interim = status < 200;
    bool const is_success = !is_interim && status < 300;
    if (is_interim || (is_success && !fields.m_is_genuine))
    {
        if (is_interim)
        {
            // The answer that follows on the connection belongs to no request.
            m_pool.close_idle();
        }
        record_outcome(active, target_outcome::failed);
        m_counts.add(counter::answers_mismatched);
        return {
            .m_outcome = outcome::may_have_run,
            .m_reason = core::reason::answer_mismatched,
            .m_reached_target = true};
    }
    bool const is_failure = status >= 500;
    bool const is_explained =
        is_failure && m_failed_calls.explains_failure(clock_now());
    if (!is_explained)
    {
        record_outcome(
            active,
            is_failure ? target_outcome::failed : target_outcome::answered);
    }
    m_poison_detector.on_answered(active.m_fingerprint, clock_now());
    auto const now = clock_now();
    auto const took = now - active.m_started_at;
    m_counts.observe_target(took);
    auto const work_us = at_usual_speed_us(took, active.m_slowness);
    if (status < 500)
    {
        record_processing_time(active, work_us, now);
    }
    run_result result{
        .m_outcome = outcome::answered,
        .m_reached_target = true,
        .m_status = status,
        .m_work_us = work_us};
    headers::remove_hop_by_hop(response);
    for (auto const& entry : response)
    {
        std::string_view const name{
            entry.name_string().data(), entry.name_string().size()};
        if (!m_protocol.m_is_hop_by_hop(name) && name != "Content-Length")
        {
            result.m_fields.push_back(
                {.m_name = std::string{name},
                 .m_value = std::string{entry.value()}});
        }
    }
    result.m_body = std::move(response.body());
    return result;
}

void target_gate::record_processing_time(
    active_request const& active, std::int64_t work_us, core::time_point now)
{
    if (!m_entry || active.m_request.m_work_ms <= 0)
    {
        return;
    }
    auto const usual_us =
        static_cast<double>(active.m_request.m_work_ms * 1000);
    m_contention.on_answered(
        active.m_running_at_start, m_entry->m_slots,
        static_cast<double>(work_us) / usual_us, now);
    update_slots(now);
}

void target_gate::record_outcome(
    active_request const& active, target_outcome what)
{
    auto const now = clock_now();
    // A request whose deadline passed before its usual processing time gives no
    // information about the target's health.
    bool const is_short =
        now - active.m_started_at < milliseconds{active.m_request.m_work_ms};
    if (what == target_outcome::failed && is_short && now >= active.m_deadline)
    {
        return;
    }
    m_health.on_outcome(what, now);
}

} // namespace hibiscustide::net::mesh

#include "target_server.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <json/value.h>

#include <hibiscustide/core/json_reader.hpp>

#include "net/clock.hpp"
#include "net/headers.hpp"
#include "net/replies.hpp"

namespace hibiscustide::simulation
{

namespace
{

namespace asio = net::asio;
namespace headers = net::headers;
using net::clock_now;
using net::field;
using net::status;

using net::no_throw;

// Number of served requests after which a cold target gains one slot.
constexpr std::uint32_t requests_per_warm_slot = 4;

constexpr std::string_view call_id_header = "Call-Id";
constexpr std::string_view service_time_header = "Service-Time-Us";
constexpr std::size_t body_repeats = 8;

std::int64_t unix_us()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

net::http_response refusal_reply(char const* reason, std::string_view attempt)
{
    auto response = net::text_reply(status::service_unavailable, "not run\n");
    headers::set(response, headers::target_refused, reason);
    headers::set(response, headers::attempt, attempt);
    return response;
}

} // namespace

target_server::target_server(asio::io_context& context, target_options options)
    : m_context{context},
      m_options{std::move(options)},
      m_random{m_options.m_seed},
      m_incarnation{static_cast<std::uint64_t>(unix_us())}
{
    if (!m_options.m_ledger.empty())
    {
        m_ledger.open(m_options.m_ledger, std::ios::app);
    }
}

std::optional<std::string> target_server::start()
{
    auto on_request = [this](
                          net::http_request& request,
                          std::shared_ptr<net::cancel_scope> const& scope)
    {
        return handle_request(request, scope);
    };
    m_server = std::make_shared<net::http_server>(
        m_context, net::http_server_options{.m_listen = m_options.m_listen},
        on_request, net::malformed_reply);
    return m_server->start();
}

net::awaitable<void> target_server::shut_down()
{
    constexpr std::chrono::milliseconds check_interval{10};
    m_draining = true;
    m_draining_since = clock_now();
    m_server->begin_drain();
    asio::steady_timer timer{m_context, m_options.m_drain_notice};
    co_await timer.async_wait(no_throw);
    m_server->stop_accepting();
    m_server->close_idle();
    while (m_server->busy_connections() > 0)
    {
        timer.expires_after(check_interval);
        co_await timer.async_wait(no_throw);
    }
    m_context.stop();
}

net::awaitable<net::http_response> target_server::handle_request(
    net::http_request& request, std::shared_ptr<net::cancel_scope> const& scope)
{
    if (request.target() == "/health")
    {
        co_return health();
    }
    if (request.target() == "/load")
    {
        co_return load();
    }
    if (request.target() == "/faults")
    {
        co_return set_faults(request);
    }
    if (m_draining)
    {
        co_return refusal_reply("draining", echoed_attempt(request));
    }
    if (m_faults.m_shed)
    {
        co_return refusal_reply("shed", echoed_attempt(request));
    }
    co_return co_await run(request, scope);
}

net::awaitable<net::http_response> target_server::run(
    net::http_request& request, std::shared_ptr<net::cancel_scope> const& scope)
{
    if (m_running >= capacity())
    {
        ++m_overloads;
        append_to_ledger("overload", request);
    }
    ++m_running;
    append_to_ledger("start", request);
    auto const began_at = clock_now();
    asio::steady_timer timer{m_context, draw_service_time()};
    scope->on_cancel(
        [&timer]
        {
            timer.cancel();
        });
    co_await timer.async_wait(no_throw);
    scope->clear();
    --m_running;
    if (scope->is_cancelled())
    {
        append_to_ledger("cancelled", request);
        co_return net::text_reply(status::service_unavailable, "");
    }
    ++m_served_since_cold;
    append_to_ledger("done", request);
    if (m_faults.m_no_response)
    {
        timer.expires_after(std::chrono::hours{1});
        co_await timer.async_wait(no_throw);
    }
    std::string const id{headers::value_of(request, call_id_header)};
    std::string body;
    for (std::size_t n = 0; n < body_repeats; ++n)
    {
        body += "call " + id + " of " + std::string{request.target()} + "\n";
    }
    auto response = net::text_reply(status::ok, std::move(body));
    auto const elapsed = std::chrono::duration_cast<std::chrono::microseconds>(
        clock_now() - began_at);
    headers::set(response, call_id_header, id);
    headers::set(response, "Target", m_options.m_name);
    headers::set(
        response, service_time_header, std::to_string(elapsed.count()));
    headers::set(response, headers::attempt, echoed_attempt(request));
    co_return response;
}

std::string_view target_server::echoed_attempt(
    net::http_request const& request) const
{
    return m_faults.m_wrong_attempt
               ? "other"
               : headers::value_of(request, headers::attempt);
}

net::http_response target_server::set_faults(net::http_request const& request)
{
    core::field_errors errors;
    auto const json = core::parse_json(request.body(), "faults", errors);
    if (json)
    {
        core::json_reader const reader{*json, "faults", "", errors};
        reader.allow_only(
            {"slow_factor", "shed", "silent", "cross", "health_lag_ms", "cold",
             "crash"});
        target_faults const faults{
            .m_time_factor = reader.number_or("slow_factor", 1.0, {0.01, 1e6}),
            .m_shed = reader.bool_or("shed", false),
            .m_no_response = reader.bool_or("silent", false),
            .m_wrong_attempt = reader.bool_or("cross", false),
            .m_health_lag = std::chrono::milliseconds{
                reader.uint_or("health_lag_ms", 0, {0, 600'000})}};
        if (errors.empty())
        {
            m_faults = faults;
            if (reader.bool_or("cold", false))
            {
                m_served_since_cold = 0;
            }
            if (reader.bool_or("crash", false))
            {
                std::_Exit(EXIT_FAILURE);
            }
            return net::text_reply(status::ok, "set\n");
        }
    }
    return net::text_reply(status::bad_request, core::to_string(errors) + "\n");
}

net::http_response target_server::health() const
{
    bool const reports_draining =
        clock_now() - m_draining_since >= m_faults.m_health_lag;
    Json::Value value{Json::objectValue};
    value["state"] = m_draining && reports_draining ? "draining" : "up";
    value["incarnation"] = Json::UInt64{m_incarnation};
    return net::json_reply(value);
}

net::http_response target_server::load() const
{
    Json::Value value{Json::objectValue};
    value["running"] = m_running;
    value["capacity"] = capacity();
    value["served"] = m_served_since_cold;
    value["overloads"] = m_overloads;
    return net::json_reply(value);
}

core::duration target_server::draw_service_time()
{
    auto const deviation = m_options.m_deviation;
    std::chrono::duration<double, std::micro> const mean =
        m_options.m_mean_time;
    // The mean of a lognormal distribution is exp(mu + sigma^2 / 2).
    auto const mu = std::log(mean.count()) - deviation * deviation / 2;
    std::lognormal_distribution<double> time{mu, deviation};
    std::chrono::duration<double, std::micro> const service_time{
        time(m_random) * m_faults.m_time_factor};
    return std::chrono::duration_cast<core::duration>(service_time);
}

std::uint32_t target_server::capacity() const
{
    auto const warmed_slots =
        m_options.m_cold_slots + m_served_since_cold / requests_per_warm_slot;
    return std::min(warmed_slots, m_options.m_slots);
}

// Flushes each line, so that the ledger is complete after a crash.
void target_server::append_to_ledger(
    char const* event, net::http_request const& request)
{
    if (!m_ledger.is_open())
    {
        return;
    }
    Json::Value line{Json::objectValue};
    line["us"] = Json::Int64{unix_us()};
    line["target"] = m_options.m_name;
    line["event"] = event;
    line["call"] = std::string{headers::value_of(request, call_id_header)};
    line["key"] =
        std::string{headers::value_of(request, headers::idempotency_key)};
    m_ledger << core::write_json(line) << std::endl;
}

} // namespace hibiscustide::simulation

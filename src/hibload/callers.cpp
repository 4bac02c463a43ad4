#include "callers.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <map>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "net/headers.hpp"

namespace hibiscustide::load
{

namespace
{

namespace asio = net::asio;
namespace headers = net::headers;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

using net::no_throw;

constexpr std::string_view call_id_header = "Call-Id";
constexpr std::size_t body_repeats = 8;
constexpr std::size_t max_nodes_tried = 4;

// Callers wait this much longer than the timeout of the service.
constexpr milliseconds caller_margin{1'000};
constexpr milliseconds finish_interval{10};

constexpr unsigned http_1_1 = 11;

// Calls per second to the reference target.
constexpr double reference_rate = 200.0;
constexpr milliseconds reference_timeout{5'000};

double to_ms(clock::duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

std::string expected_body(call_record const& record, std::string const& path)
{
    std::string body;
    for (std::size_t n = 0; n < body_repeats; ++n)
    {
        body += "call " + std::to_string(record.m_id) + " of " + path + "\n";
    }
    return body;
}

double header_number(net::http_response const& response, std::string_view name)
{
    auto const text = headers::value_of(response, name);
    double value = 0.0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

// Returns the service time that the target reports in its response.
double reported_service_ms(net::http_response const& response)
{
    constexpr double us_per_ms = 1'000.0;
    return header_number(response, "Service-Time-Us") / us_per_ms;
}

net::connection_pool_options reference_options(region_plan const& plan)
{
    return {
        .m_remote = plan.m_reference_link,
        .m_local_address = plan.m_caller_address};
}

net::connection_pool_options pool_options(
    region_plan const& plan, planned_target const& target)
{
    return {
        .m_remote = target.m_link_callers,
        .m_local_address = plan.m_caller_address};
}

planned_target const* find_target(
    region_plan const& plan, std::string_view name)
{
    for (auto const& target : plan.m_targets)
    {
        if (target.m_name == name)
        {
            return &target;
        }
    }
    return nullptr;
}

} // namespace

char const* to_string(call_outcome value) noexcept
{
    switch (value)
    {
    case call_outcome::answered:
        return "answered";
    case call_outcome::not_run:
        return "not run";
    case call_outcome::may_have_run:
        return "may have run";
    case call_outcome::cut:
        return "cut";
    case call_outcome::crossed:
        return "crossed";
    case call_outcome::lost:
        break;
    }
    return "lost";
}

callers::callers(
    asio::io_context& context, region_plan const& plan, callers_options options)
    : m_context{context},
      m_plan{plan},
      m_options{options},
      m_random{options.m_seed},
      m_reference{context, reference_options(plan)}
{
    for (auto const& target : plan.m_targets)
    {
        m_pools.push_back(std::make_unique<net::connection_pool>(
            context, pool_options(plan, target)));
    }
}

net::awaitable<void> callers::run(milliseconds warm_up)
{
    for (auto const& service : m_plan.m_services)
    {
        auto const belongs_to_service = [&](planned_target const& target)
        {
            return target.m_service == service.m_spec.m_name;
        };
        auto const target_count = std::count_if(
            m_plan.m_targets.begin(), m_plan.m_targets.end(),
            belongs_to_service);
        std::chrono::duration<double> const mean = m_options.m_mean_time;
        auto const capacity = static_cast<double>(target_count) *
                              service.m_spec.m_slots / mean.count();
        asio::co_spawn(
            m_context,
            run_service(service, capacity * m_options.m_load, warm_up),
            asio::detached);
    }
    asio::co_spawn(m_context, run_reference(warm_up), asio::detached);
    asio::steady_timer timer{m_context, warm_up};
    co_await timer.async_wait(no_throw);
}

void callers::stop() noexcept
{
    m_stopped = true;
}

net::awaitable<void> callers::finish()
{
    asio::steady_timer timer{m_context};
    while (m_in_flight > 0)
    {
        timer.expires_after(finish_interval);
        co_await timer.async_wait(no_throw);
    }
}

std::vector<call_record> const& callers::records() const noexcept
{
    return m_records;
}

std::vector<call_record> const& callers::reference_records() const noexcept
{
    return m_reference_records;
}

std::uint64_t callers::failovers() const noexcept
{
    return m_failovers;
}

net::awaitable<void> callers::run_service(
    planned_service const& service, double rate, milliseconds warm_up)
{
    constexpr double min_load_share = 0.02;
    auto const start_time = clock::now();
    auto next = start_time;
    asio::steady_timer timer{m_context};
    while (!m_stopped)
    {
        auto const share = std::clamp(
            to_ms(next - start_time) / to_ms(warm_up), min_load_share, 1.0);
        std::exponential_distribution<double> gap{rate * share};
        next += std::chrono::duration_cast<clock::duration>(
            std::chrono::duration<double>(gap(m_random)));
        if (next > clock::now())
        {
            timer.expires_at(next);
            co_await timer.async_wait(no_throw);
        }
        auto const& kind = draw_call(service);
        call_record record{
            .m_id = m_next_id++,
            .m_class = kind.m_class,
            .m_scheduled = next,
            .m_measured = next - start_time >= warm_up};
        if (kind.m_class == core::release::request_class::order)
        {
            record.m_key = make_order_key();
        }
        ++m_in_flight;
        asio::co_spawn(
            m_context, call(service, kind, std::move(record)), asio::detached);
    }
}

net::awaitable<void> callers::run_reference(milliseconds warm_up)
{
    auto const start_time = clock::now();
    auto next = start_time;
    asio::steady_timer timer{m_context};
    std::exponential_distribution<double> gap{reference_rate};
    while (!m_stopped)
    {
        next += std::chrono::duration_cast<clock::duration>(
            std::chrono::duration<double>(gap(m_random)));
        timer.expires_at(next);
        co_await timer.async_wait(no_throw);
        call_record record{
            .m_id = m_next_id++,
            .m_scheduled = next,
            .m_measured = next - start_time >= warm_up};
        ++m_in_flight;
        asio::co_spawn(
            m_context, call_reference(std::move(record)), asio::detached);
    }
}

net::awaitable<void> callers::call_reference(call_record record)
{
    auto const id = std::to_string(record.m_id);
    net::http_request request{
        net::beast::http::verb::get, "/reference/" + id, http_1_1};
    request.set(net::field::host, "reference");
    headers::set(request, call_id_header, id);
    auto const deadline = clock::now() + reference_timeout;
    auto const result =
        co_await m_reference.exchange(request, deadline, nullptr);
    record.m_latency_ms = to_ms(clock::now() - record.m_scheduled);
    if (auto const* const response = std::get_if<net::http_response>(&result))
    {
        record.m_outcome = call_outcome::answered;
        record.m_added_ms = record.m_latency_ms -
                            reported_service_ms(*response) -
                            2 * to_ms(m_plan.m_caller_delay);
    }
    m_reference_records.push_back(std::move(record));
    --m_in_flight;
}

net::awaitable<void> callers::call(
    planned_service const& service, planned_call const& kind,
    call_record record)
{
    auto const id = std::to_string(record.m_id);
    net::http_request request{
        net::beast::http::string_to_verb(kind.m_method), kind.m_path + id,
        http_1_1};
    request.set(net::field::host, service.m_spec.m_name);
    headers::set(request, call_id_header, id);
    if (!record.m_key.empty())
    {
        headers::set(request, headers::idempotency_key, record.m_key);
        request.body() = "order " + id;
    }
    request.prepare_payload();
    std::size_t ingress = 0;
    auto const deadline =
        clock::now() + service.m_spec.m_timeout + caller_margin;
    auto const result = co_await send(request, ingress, deadline);
    record.m_latency_ms = to_ms(clock::now() - record.m_scheduled);
    record.m_ingress = m_plan.m_targets[ingress].m_name;
    if (auto const* const response = std::get_if<net::http_response>(&result))
    {
        classify_response(*response, request, ingress, record);
    }
    else
    {
        auto const& failure = std::get<net::exchange_failure>(result);
        record.m_reason = core::to_string(failure.m_reason);
    }
    m_records.push_back(std::move(record));
    --m_in_flight;
}

// Tries the next node where a connection can't be opened: no part of the
// request was sent then, so a second attempt can't run it twice.
net::awaitable<net::exchange_result> callers::send(
    net::http_request const& request, std::size_t& ingress,
    clock::time_point deadline)
{
    std::uniform_int_distribution<std::size_t> node{0, m_pools.size() - 1};
    auto const first = node(m_random);
    net::exchange_result result{net::exchange_failure{}};
    for (std::size_t n = 0; n < max_nodes_tried; ++n)
    {
        ingress = (first + n) % m_pools.size();
        result =
            co_await m_pools[ingress]->exchange(request, deadline, nullptr);
        auto const* const failure = std::get_if<net::exchange_failure>(&result);
        if (failure == nullptr || failure->m_sent)
        {
            break;
        }
        ++m_failovers;
    }
    co_return result;
}

void callers::classify_response(
    net::http_response const& response, net::http_request const& request,
    std::size_t ingress, call_record& record)
{
    auto const verdict = headers::value_of(response, headers::verdict);
    record.m_reason = headers::value_of(response, headers::reason);
    if (verdict == "not-run")
    {
        record.m_outcome = call_outcome::not_run;
        return;
    }
    if (verdict != "answered" || response.result() != net::status::ok)
    {
        record.m_outcome = call_outcome::may_have_run;
        return;
    }
    auto const expected = expected_body(record, std::string{request.target()});
    if (response.body() != expected)
    {
        bool const is_prefix = expected.starts_with(response.body());
        record.m_outcome =
            is_prefix ? call_outcome::cut : call_outcome::crossed;
        return;
    }
    record.m_outcome = call_outcome::answered;
    record.m_target = headers::value_of(response, "Target");
    auto const* const target = find_target(m_plan, record.m_target);
    bool const other_domain =
        target != nullptr &&
        target->m_failure_domain != m_plan.m_targets[ingress].m_failure_domain;
    auto const one_way =
        m_plan.m_caller_delay +
        (other_domain ? m_plan.m_domain_delay : std::chrono::microseconds{0});
    record.m_added_ms = record.m_latency_ms - reported_service_ms(response) -
                        2 * to_ms(one_way);
}

planned_call const& callers::draw_call(planned_service const& service)
{
    std::uniform_real_distribution<double> position{0.0, 1.0};
    auto remaining = position(m_random);
    for (auto const& kind : service.m_calls)
    {
        remaining -= kind.m_share;
        if (remaining < 0.0)
        {
            return kind;
        }
    }
    return service.m_calls.back();
}

// Creates a UUID of version 7: 48 bits of Unix time in milliseconds, then
// random bits.
std::string callers::make_order_key()
{
    constexpr std::size_t length = 36;
    constexpr unsigned low_time_bits = 16;
    auto const now = std::chrono::duration_cast<milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
    auto const high = static_cast<unsigned>(now >> low_time_bits);
    auto const low = static_cast<unsigned>(now & 0xffff);
    auto const random_bits = m_random();
    std::array<char, length + 1> text{};
    static_cast<void>(std::snprintf(
        text.data(), text.size(), "%08x-%04x-7%03x-8%03x-%012llx", high, low,
        static_cast<unsigned>(random_bits & 0xfff),
        static_cast<unsigned>((random_bits >> 12U) & 0xfff),
        static_cast<unsigned long long>(m_random() & 0xffffffffffffULL)));
    return {text.data(), length};
}

} // namespace hibiscustide::load

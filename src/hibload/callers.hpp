/// \file
/// Simulated callers. They send at a rate that does not depend on the responses
/// (an open-loop load).
#ifndef HIBISCUSTIDE_HIBLOAD_CALLERS_HPP
#define HIBISCUSTIDE_HIBLOAD_CALLERS_HPP

#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <hibiscustide/core/release/note.hpp>

#include "net/connection_pool.hpp"
#include "region_plan.hpp"

namespace hibiscustide::load
{

/// The result of a call as its caller sees it.
enum class call_outcome
{
    answered,
    not_run,
    may_have_run,
    lost,    ///< No response was received.
    cut,     ///< Only the beginning of the expected body was received.
    crossed, ///< The response belongs to another request.
};

[[nodiscard]] char const* to_string(call_outcome value) noexcept;

/// One call and its result.
struct call_record
{
    std::uint64_t m_id = 0;
    core::release::request_class m_class = core::release::request_class::live;
    std::string m_key; ///< Idempotency key of an order; empty otherwise.
    std::chrono::steady_clock::time_point m_scheduled; ///< Planned send time.
    call_outcome m_outcome = call_outcome::lost;
    std::string m_reason;      ///< Reason why the call was not answered.
    double m_latency_ms = 0.0; ///< Time since m_scheduled.
    /// The latency without the target's service time and the links' delays.
    double m_added_ms = 0.0;
    std::string m_ingress;   ///< Target beside the node that accepted the call.
    std::string m_target;    ///< Target that answered; empty if none did.
    bool m_measured = false; ///< Scheduled after the warm-up.
};

/// Options of the simulated callers.
struct callers_options
{
    /// Load as a share of the capacity of all targets at their mean service
    /// time.
    double m_load = 0.5;
    std::chrono::microseconds m_mean_time{0};
    std::uint64_t m_seed = 1;
};

/// Sends calls for every service to random nodes. The calls of each service are
/// a Poisson process. Latency is measured from the scheduled send time, so a
/// stall is included in the latency of all the calls that it delays.
class callers
{
public:
    callers(
        net::asio::io_context& context, region_plan const& plan,
        callers_options options);

    /// Starts to send and returns after the warm-up, in which the load grows
    /// linearly. Calls are sent until stop() is called.
    net::awaitable<void> run(std::chrono::milliseconds warm_up);

    /// Stops sending new calls.
    void stop() noexcept;

    /// Waits for the calls in flight.
    net::awaitable<void> finish();

    /// The completed calls to nodes.
    [[nodiscard]] std::vector<call_record> const& records() const noexcept;

    /// The completed calls to the reference target.
    [[nodiscard]] std::vector<call_record> const& reference_records()
        const noexcept;

    /// Number of attempts in which a request could not be sent to a node, so
    /// that another node may be tried.
    [[nodiscard]] std::uint64_t failovers() const noexcept;

private:
    net::awaitable<void> run_service(
        planned_service const& service, double rate,
        std::chrono::milliseconds warm_up);
    net::awaitable<void> run_reference(std::chrono::milliseconds warm_up);
    net::awaitable<void> call_reference(call_record record);
    net::awaitable<void> call(
        planned_service const& service, planned_call const& kind,
        call_record record);
    net::awaitable<net::exchange_result> send(
        net::http_request const& request, std::size_t& ingress,
        std::chrono::steady_clock::time_point deadline);
    void classify_response(
        net::http_response const& response, net::http_request const& request,
        std::size_t ingress, call_record& record);
    [[nodiscard]] planned_call const& draw_call(planned_service const& service);
    [[nodiscard]] std::string make_order_key();

    net::asio::io_context& m_context;
    region_plan const& m_plan;
    callers_options m_options;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<net::connection_pool>> m_pools;
    net::connection_pool m_reference;
    std::vector<call_record> m_records;
    std::vector<call_record> m_reference_records;
    std::uint64_t m_next_id = 1;
    std::uint64_t m_in_flight = 0;
    std::uint64_t m_failovers = 0;
    bool m_stopped = false;
};

} // namespace hibiscustide::load

#endif

/// \file
/// A simulated target. It runs requests in slots, starts cold, sheds load,
/// drains, crashes, and keeps a ledger of the requests that it ran.
#ifndef HIBISCUSTIDE_HIBTARGET_TARGET_SERVER_HPP
#define HIBISCUSTIDE_HIBTARGET_TARGET_SERVER_HPP

#include <chrono>
#include <cstdint>
#include <fstream>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include <hibiscustide/core/endpoint.hpp>
#include <hibiscustide/core/time.hpp>

#include "net/http_server.hpp"

namespace hibiscustide::simulation
{

/// Options of the simulated target.
struct target_options
{
    std::string m_name;
    core::endpoint m_listen;
    std::string m_ledger; ///< File that runs are appended to; none if empty.
    std::uint32_t m_slots = 20;
    std::uint32_t m_cold_slots = 4;
    /// Mean of the service times, which have a lognormal distribution.
    std::chrono::microseconds m_mean_time{40'000};
    double m_deviation = 0.5; ///< Standard deviation of their logarithm.
    std::chrono::milliseconds m_drain_notice{1'500};
    std::uint64_t m_seed = 1;
};

/// The faults that the target simulates at present; set by POST /faults.
struct target_faults
{
    double m_time_factor = 1.0;   ///< Multiplies the service times.
    bool m_shed = false;          ///< Refuses all new requests.
    bool m_no_response = false;   ///< Runs requests and never answers.
    bool m_wrong_attempt = false; ///< Answers with another attempt's id.
    /// Time for which /health reports "up" after draining has begun.
    std::chrono::milliseconds m_health_lag{0};
};

/// Runs the simulated target on one io_context. Besides requests, its address
/// serves the paths /health, /load and /faults.
class target_server
{
public:
    target_server(net::asio::io_context& context, target_options options);

    /// Opens the listener. Returns the error message where that fails.
    [[nodiscard]] std::optional<std::string> start();

    /// Drains the target and then stops the io_context.
    net::awaitable<void> shut_down();

private:
    net::awaitable<net::http_response> handle_request(
        net::http_request& request,
        std::shared_ptr<net::cancel_scope> const& scope);
    net::awaitable<net::http_response> run(
        net::http_request& request,
        std::shared_ptr<net::cancel_scope> const& scope);
    [[nodiscard]] std::string_view echoed_attempt(
        net::http_request const& request) const;
    net::http_response set_faults(net::http_request const& request);
    [[nodiscard]] net::http_response health() const;
    [[nodiscard]] net::http_response load() const;
    [[nodiscard]] core::duration draw_service_time();
    [[nodiscard]] std::uint32_t capacity() const;
    void append_to_ledger(char const* event, net::http_request const& request);

    net::asio::io_context& m_context;
    target_options m_options;
    target_faults m_faults;
    std::shared_ptr<net::http_server> m_server;
    std::ofstream m_ledger;
    std::mt19937_64 m_random;
    std::uint64_t m_incarnation;
    std::uint32_t m_running = 0;
    std::uint32_t m_served_since_cold = 0; ///< Since the last cold start.
    std::uint32_t m_overloads = 0;
    bool m_draining = false;
    core::time_point m_draining_since{};
};

} // namespace hibiscustide::simulation

#endif

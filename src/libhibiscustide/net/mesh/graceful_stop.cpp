#include "net/mesh/graceful_stop.hpp"

#include <algorithm>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include <hibiscustide/core/admission/stop_window.hpp>

#include "net/clock.hpp"

namespace hibiscustide::net::mesh
{

namespace
{

using std::chrono::milliseconds;

// How long the node keeps accepting callers' connections after readiness is
// withdrawn: callers are directed to other nodes after two failed readiness
// checks, one per second.
constexpr milliseconds drain_notice{2'600};

// Time that a client which has just connected has to send its request.
constexpr milliseconds idle_grace{250};
constexpr milliseconds check_interval{20};

// Time for requests that arrive at the end of a short notice.
constexpr milliseconds min_time_after_notice{600};

awaitable<void> pause(core::duration span)
{
    asio::steady_timer timer{co_await asio::this_coro::executor, span};
    co_await timer.async_wait(no_throw);
}

} // namespace

awaitable<std::size_t> stop_gracefully(
    traffic_thread& traffic, core::time_point asked_at, core::time_point limit)
{
    // This thread may run late, so the traffic thread applies these times.
    core::admission::stop_window const window{
        .m_exit = limit,
        .m_last_arrival = asked_at + drain_notice + idle_grace};
    traffic.begin_drain(window);
    core::duration const longest_notice =
        limit - clock_now() - min_time_after_notice;
    co_await pause(std::min<core::duration>(drain_notice, longest_notice));
    traffic.stop_accepting();
    // The traffic thread may run late, too: the clients that it has accepted
    // last need the grace from then on.
    static_cast<void>(co_await traffic.active_count());
    co_await pause(idle_grace);
    traffic.close_idle();
    auto remaining = co_await traffic.active_count();
    while (remaining > 0 && clock_now() < limit)
    {
        if (clock_now() >= window.last_end())
        {
            traffic.end_running();
        }
        co_await pause(check_interval);
        remaining = co_await traffic.active_count();
    }
    co_return remaining;
}

} // namespace hibiscustide::net::mesh

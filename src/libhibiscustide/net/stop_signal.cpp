#include "net/stop_signal.hpp"

#include <array>
#include <atomic>
#include <csignal>
#include <cstddef>

#include "net/clock.hpp"

namespace hibiscustide::net
{

namespace
{

constexpr std::array stop_signals{SIGTERM, SIGINT};

// A signal handler has no context, so its state is global.
std::atomic<core::time_point::rep> arrival{0};
std::array<struct sigaction, stop_signals.size()> installed_before{};

static_assert(std::atomic<core::time_point::rep>::is_always_lock_free);

} // namespace

extern "C" void hibiscustide_on_stop_signal(int number)
{
    core::time_point::rep none = 0;
    arrival.compare_exchange_strong(
        none, clock_now().time_since_epoch().count());
    for (std::size_t n = 0; n < stop_signals.size(); ++n)
    {
        auto const handler = installed_before[n].sa_handler;
        if (stop_signals[n] == number && handler != SIG_DFL &&
            handler != SIG_IGN)
        {
            handler(number);
        }
    }
}

void record_stop_signals()
{
    for (std::size_t n = 0; n < stop_signals.size(); ++n)
    {
        ::sigaction(stop_signals[n], nullptr, &installed_before[n]);
        auto action = installed_before[n];
        action.sa_handler = hibiscustide_on_stop_signal;
        ::sigaction(stop_signals[n], &action, nullptr);
    }
}

void ignore_broken_pipes()
{
    std::signal(SIGPIPE, SIG_IGN);
}

std::optional<core::time_point> stop_signal_time() noexcept
{
    core::time_point::rep const count = arrival;
    return count == 0 ? std::nullopt
                      : std::optional{core::time_point{
                            core::time_point::duration{count}}};
}

} // namespace hibiscustide::net

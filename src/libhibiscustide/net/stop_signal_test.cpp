#include "net/stop_signal.hpp"

#include <csignal>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <doctest/doctest.h>

#include "net/clock.hpp"

namespace net = hibiscustide::net;
using namespace std::chrono_literals;

// A node that was busy when it got the signal counted the grace period from the
// end of that work, and was killed with requests in progress.
TEST_CASE("the time of a stop signal is that of its arrival, also if its "
          "handler runs later")
{
    boost::asio::io_context context;
    boost::asio::signal_set signals{context, SIGTERM, SIGINT};
    int handled = 0;
    signals.async_wait(
        [&handled](boost::system::error_code /*error*/, int number)
        {
            handled = number;
        });
    net::record_stop_signals();
    CHECK_FALSE(net::stop_signal_time());
    auto const before = net::clock_now();
    std::raise(SIGTERM);
    auto const after = net::clock_now();
    std::this_thread::sleep_for(50ms);
    context.run_for(200ms);
    CHECK(handled == SIGTERM);
    REQUIRE(net::stop_signal_time());
    CHECK(*net::stop_signal_time() >= before);
    CHECK(*net::stop_signal_time() <= after);
}

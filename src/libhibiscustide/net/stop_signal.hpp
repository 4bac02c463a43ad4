/// \file
/// Records when the process was asked to stop.
#ifndef HIBISCUSTIDE_NET_STOP_SIGNAL_HPP
#define HIBISCUSTIDE_NET_STOP_SIGNAL_HPP

#include <optional>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::net
{

/// Records the arrival of SIGTERM and SIGINT from now on, and passes them on to
/// the handlers that are installed. Must be called once, after those handlers
/// were installed.
void record_stop_signals();

/// Makes a write to a pipe whose reader has gone fail, in place of ending the
/// process. Standard output may be such a pipe.
void ignore_broken_pipes();

/// When the first of these signals arrived; nothing before. Handlers of an
/// io_context may run much later, since they wait for the work in progress.
[[nodiscard]] std::optional<core::time_point> stop_signal_time() noexcept;

} // namespace hibiscustide::net

#endif

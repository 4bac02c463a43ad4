/// \file
/// Limits the effect of an exception to the handler or coroutine that throws
/// it. The process goes on with all other work.
#ifndef HIBISCUSTIDE_NET_FAILURE_GUARD_HPP
#define HIBISCUSTIDE_NET_FAILURE_GUARD_HPP

#include <cstdint>
#include <exception>
#include <functional>
#include <string_view>

#include "net/http_types.hpp"

namespace hibiscustide::net
{

/// Logs and counts the exception that ended the work named `where`.
void log_failure(
    std::string_view where, std::exception_ptr const& error) noexcept;

/// Number of calls of log_failure since the process started. Thread-safe.
[[nodiscard]] std::uint64_t failure_count() noexcept;

/// Runs the context until it is stopped or has no work. An exception that
/// leaves a handler is logged, and the other handlers run.
void run_guarded(asio::io_context& context);

/// The completion handler of a coroutine that no other code waits for.
class log_if_failed
{
public:
    /// `where` names the work in the log and must be a literal.
    explicit log_if_failed(char const* where) noexcept
        : m_where{where}
    {
    }

    void operator()(std::exception_ptr const& error) const noexcept
    {
        if (error)
        {
            log_failure(m_where, error);
        }
    }

private:
    char const* m_where;
};

/// Runs a coroutine that is needed as long as the context runs. It is started
/// again a short time after it was ended by an exception, its own or one of an
/// operation that it waited for, but not after it has returned. `name` must be
/// a literal.
void spawn_loop(
    asio::io_context& context, char const* name,
    std::function<awaitable<void>()> loop);

} // namespace hibiscustide::net

#endif

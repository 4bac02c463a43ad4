#include "net/failure_guard.hpp"

#include <atomic>
#include <chrono>
#include <memory>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <hibiscustide/net/event_log.hpp>

namespace hibiscustide::net
{

namespace
{

using core::observe::event;

// Keeps a loop that fails at once from using all of the processor.
constexpr std::chrono::milliseconds restart_delay{100};

std::atomic<std::uint64_t> logged_failures{0};

std::string describe(std::exception_ptr const& error)
{
    try
    {
        std::rethrow_exception(error);
    }
    catch (std::exception const& exception)
    {
        return exception.what();
    }
    catch (...)
    {
        return "unknown exception";
    }
}

// A loop that has been started. The completion handler of its coroutine owns
// this object. If an operation that the loop waits for throws an exception, the
// coroutine and the handler are destroyed without a call of the handler.
class started_loop
{
public:
    started_loop(
        asio::io_context& context, char const* name,
        std::function<awaitable<void>()> loop)
        : m_context{context},
          m_name{name},
          m_loop{std::move(loop)}
    {
    }

    started_loop(started_loop const&) = delete;
    started_loop& operator=(started_loop const&) = delete;

    ~started_loop()
    {
        if (!m_returned && !m_context.stopped())
        {
            start_again();
        }
    }

    void on_end(std::exception_ptr const& error) noexcept
    {
        if (error)
        {
            log_failure(m_name, error);
            return;
        }
        m_returned = true;
    }

    [[nodiscard]] awaitable<void> run() const
    {
        return m_loop();
    }

private:
    // The context may be ending, so that the timer is created by a handler,
    // which runs only if the context does.
    void start_again() noexcept
    {
        try
        {
            auto const restart =
                [&context = m_context, name = m_name, loop = std::move(m_loop)]
            {
                auto const timer = std::make_shared<asio::steady_timer>(
                    context, restart_delay);
                timer->async_wait(
                    [timer, &context, name, loop](beast::error_code error)
                    {
                        if (!error)
                        {
                            spawn_loop(context, name, loop);
                        }
                    });
            };
            asio::post(m_context, restart);
        }
        catch (...)
        {
            log_failure(m_name, std::current_exception());
        }
    }

    asio::io_context& m_context;
    char const* m_name;
    std::function<awaitable<void>()> m_loop;
    bool m_returned = false;
};

} // namespace

void log_failure(
    std::string_view where, std::exception_ptr const& error) noexcept
{
    logged_failures.fetch_add(1, std::memory_order_relaxed);
    try
    {
        auto const text = describe(error);
        log_event(event::handler_failed, {{"where", where}, {"error", text}});
    }
    catch (...)
    {
        // The line cannot be written for lack of memory; the counter shows the
        // failure.
        return;
    }
}

std::uint64_t failure_count() noexcept
{
    return logged_failures.load(std::memory_order_relaxed);
}

void run_guarded(asio::io_context& context)
{
    bool has_ended = false;
    while (!has_ended)
    {
        try
        {
            context.run();
            has_ended = true;
        }
        catch (...)
        {
            log_failure("handler", std::current_exception());
        }
    }
}

void spawn_loop(
    asio::io_context& context, char const* name,
    std::function<awaitable<void>()> loop)
{
    auto const started =
        std::make_shared<started_loop>(context, name, std::move(loop));
    asio::co_spawn(
        context, started->run(),
        [started](std::exception_ptr const& error)
        {
            started->on_end(error);
        });
}

} // namespace hibiscustide::net

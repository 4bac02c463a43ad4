/// \file
/// Passes one value from a handler to a waiting coroutine.
#ifndef HIBISCUSTIDE_NET_MESH_COMPLETION_HPP
#define HIBISCUSTIDE_NET_MESH_COMPLETION_HPP

#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "net/http_types.hpp"

namespace hibiscustide::net::mesh
{

/// A value that is set once and awaited once, on the same thread.
template <typename Value>
class completion
{
public:
    explicit completion(asio::io_context& context)
        : m_timer{context, asio::steady_timer::time_point::max()}
    {
    }

    /// Stores the value and resumes the waiting coroutine.
    void set(Value value)
    {
        m_value = std::move(value);
        m_timer.cancel();
    }

    /// Waits for the value and returns it.
    awaitable<Value> get()
    {
        while (!m_value)
        {
            co_await m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        co_return std::move(*m_value);
    }

private:
    asio::steady_timer m_timer;
    std::optional<Value> m_value;
};

} // namespace hibiscustide::net::mesh

#endif

#include "link_connection.hpp"

#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "net/http_types.hpp"

namespace hibiscustide::load
{

namespace
{

using net::no_throw;

constexpr std::size_t chunk_bytes = 16'384;

} // namespace

asio::awaitable<void> read_chunks(connection_ptr owner, direction& stream)
{
    std::array<char, chunk_bytes> buffer{};
    while (!owner->m_closed)
    {
        auto const [error, count] = co_await stream.m_from.async_read_some(
            asio::buffer(buffer), no_throw);
        auto const due = clock::now() + owner->m_delay;
        stream.m_chunks.push_back(
            {.m_due = due, .m_bytes = {buffer.data(), buffer.data() + count}});
        stream.m_wake_timer.cancel();
        if (error)
        {
            co_return;
        }
    }
}

asio::awaitable<void> write_chunks(connection_ptr owner, direction& stream)
{
    while (!owner->m_closed)
    {
        bool const must_wait =
            stream.m_chunks.empty() || owner->m_fault == link_fault::hold;
        if (must_wait)
        {
            stream.m_wake_timer.expires_at(clock::time_point::max());
            co_await stream.m_wake_timer.async_wait(no_throw);
            continue;
        }
        if (stream.m_chunks.front().m_due > clock::now())
        {
            stream.m_wake_timer.expires_at(stream.m_chunks.front().m_due);
            co_await stream.m_wake_timer.async_wait(no_throw);
            continue;
        }
        auto const next = std::move(stream.m_chunks.front());
        stream.m_chunks.pop_front();
        if (owner->m_fault == link_fault::silent)
        {
            continue;
        }
        if (next.m_bytes.empty())
        {
            boost::system::error_code ignored;
            stream.m_to.shutdown(tcp::socket::shutdown_send, ignored);
            co_return;
        }
        auto const [error, count] = co_await asio::async_write(
            stream.m_to, asio::buffer(next.m_bytes), no_throw);
        static_cast<void>(count);
        if (error)
        {
            owner->close();
        }
    }
}

} // namespace hibiscustide::load

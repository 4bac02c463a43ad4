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

asio::awaitable<void> read_side(connection_ptr owner, direction& way)
{
    std::array<char, chunk_bytes> buffer{};
    while (!owner->m_closed)
    {
        auto const [error, count] =
            co_await way.m_from.async_read_some(asio::buffer(buffer), no_throw);
        auto const due = clock::now() + owner->m_delay;
        way.m_chunks.push_back(
            {.m_due = due, .m_bytes = {buffer.data(), buffer.data() + count}});
        way.m_wake.cancel();
        if (error)
        {
            co_return;
        }
    }
}

asio::awaitable<void> write_side(connection_ptr owner, direction& way)
{
    while (!owner->m_closed)
    {
        bool const waits =
            way.m_chunks.empty() || owner->m_fault == link_fault::hold;
        if (waits)
        {
            way.m_wake.expires_at(clock::time_point::max());
            co_await way.m_wake.async_wait(no_throw);
            continue;
        }
        if (way.m_chunks.front().m_due > clock::now())
        {
            way.m_wake.expires_at(way.m_chunks.front().m_due);
            co_await way.m_wake.async_wait(no_throw);
            continue;
        }
        auto const next = std::move(way.m_chunks.front());
        way.m_chunks.pop_front();
        if (owner->m_fault == link_fault::silent)
        {
            continue;
        }
        if (next.m_bytes.empty())
        {
            boost::system::error_code ignored;
            way.m_to.shutdown(tcp::socket::shutdown_send, ignored);
            co_return;
        }
        auto const [error, count] = co_await asio::async_write(
            way.m_to, asio::buffer(next.m_bytes), no_throw);
        static_cast<void>(count);
        if (error)
        {
            owner->close();
        }
    }
}

} // namespace hibiscustide::load

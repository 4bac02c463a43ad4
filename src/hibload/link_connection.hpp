/// \file
/// One connection through a link, which can delay, hold or drop its data.
#ifndef HIBISCUSTIDE_HIBLOAD_LINK_CONNECTION_HPP
#define HIBISCUSTIDE_HIBLOAD_LINK_CONNECTION_HPP

#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "links.hpp"

namespace hibiscustide::load
{

namespace asio = boost::asio;
using asio::ip::tcp;
using clock = std::chrono::steady_clock;

/// Data that has been read from one side and is to be written to the other.
struct chunk
{
    clock::time_point m_due;   ///< Earliest time of writing.
    std::vector<char> m_bytes; ///< Empty for the end of the stream.
};

/// One direction of one connection.
struct direction
{
    direction(asio::io_context& context, tcp::socket& from, tcp::socket& to)
        : m_from{from},
          m_to{to},
          m_wake_timer{context}
    {
    }

    tcp::socket& m_from;
    tcp::socket& m_to;
    std::deque<chunk> m_chunks;
    asio::steady_timer m_wake_timer;
};

/// One connection through a link. Lives on one io_context.
struct connection
{
    connection(asio::io_context& context, tcp::socket client)
        : m_client{std::move(client)},
          m_server{context},
          m_up{context, m_client, m_server},
          m_down{context, m_server, m_client}
    {
    }

    /// Closes both sockets and ends both directions.
    void close()
    {
        boost::system::error_code ignored;
        m_client.close(ignored);
        m_server.close(ignored);
        m_closed = true;
        wake();
    }

    /// Makes the writers of both directions check the queue and the fault
    /// again.
    void wake()
    {
        m_up.m_wake_timer.cancel();
        m_down.m_wake_timer.cancel();
    }

    tcp::socket m_client;
    tcp::socket m_server;
    direction m_up;
    direction m_down;
    std::string m_from_domain;
    std::string m_to_domain;
    std::chrono::microseconds m_delay{0};
    link_fault m_fault = link_fault::none;
    bool m_closed = false;
};

using connection_ptr = std::shared_ptr<connection>;

/// Reads data from the stream's source and queues it with the time at which it
/// is due, until the source ends or fails.
asio::awaitable<void> read_chunks(connection_ptr owner, direction& stream);

/// Writes queued data to the stream's destination when it is due. A link with
/// the fault `hold` keeps the data, one with the fault `silent` drops it.
asio::awaitable<void> write_chunks(connection_ptr owner, direction& stream);

} // namespace hibiscustide::load

#endif

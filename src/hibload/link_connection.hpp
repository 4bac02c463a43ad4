/// \file
/// One connection through a link that delays, holds or silences it.
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

/// What has been read and is not due yet.
struct chunk
{
    clock::time_point m_due;
    std::vector<char> m_bytes; ///< Empty for the end of the stream.
};

/// One direction of one connection.
struct direction
{
    direction(asio::io_context& context, tcp::socket& from, tcp::socket& to)
        : m_from{from},
          m_to{to},
          m_wake{context}
    {
    }

    tcp::socket& m_from;
    tcp::socket& m_to;
    std::deque<chunk> m_chunks;
    asio::steady_timer m_wake;
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

    void close()
    {
        boost::system::error_code ignored;
        m_client.close(ignored);
        m_server.close(ignored);
        m_closed = true;
        wake();
    }

    void wake()
    {
        m_up.m_wake.cancel();
        m_down.m_wake.cancel();
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

/// Reads what arrives and notes when it is due at the other end.
asio::awaitable<void> read_side(connection_ptr owner, direction& way);

/// Writes what is due. A held link keeps it, a silent one drops it.
asio::awaitable<void> write_side(connection_ptr owner, direction& way);

} // namespace hibiscustide::load

#endif

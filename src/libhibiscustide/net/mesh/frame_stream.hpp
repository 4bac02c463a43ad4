/// \file
/// Exchanges messages with another node over a connection.
#ifndef HIBISCUSTIDE_NET_MESH_FRAME_STREAM_HPP
#define HIBISCUSTIDE_NET_MESH_FRAME_STREAM_HPP

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <hibiscustide/core/time.hpp>

#include "net/http_types.hpp"
#include "net/mesh/messages.hpp"

namespace hibiscustide::net::mesh
{

/// Reads and writes messages on a connected socket until it is closed. Runs on
/// one io_context.
class frame_stream : public std::enable_shared_from_this<frame_stream>
{
public:
    using message_handler = std::function<void(message&&)>;
    using closed_handler = std::function<void()>;

    explicit frame_stream(asio::ip::tcp::socket socket);

    /// Starts reading. Calls `on_closed` once when the connection fails, the
    /// peer closes it or sends a malformed message, but not after close().
    void start(message_handler on_message, closed_handler on_closed);

    /// Queues a message. Drops the message if the stream is closed.
    void send(message const& value);

    /// Closes the connection without calling the handlers.
    void close();

    [[nodiscard]] bool is_open() const noexcept;

    /// When bytes were last received; at first, when the stream was created.
    [[nodiscard]] core::time_point last_received_at() const noexcept;

private:
    awaitable<void> read_loop();
    awaitable<void> write_loop();
    [[nodiscard]] bool handle_frames();
    void close_on_error();

    asio::ip::tcp::socket m_socket;
    beast::flat_buffer m_buffer;
    message_handler m_on_message;
    closed_handler m_on_closed;
    std::string m_write_buffer;
    core::time_point m_last_received_at;
    bool m_writing = false;
    bool m_open = true;
};

} // namespace hibiscustide::net::mesh

#endif

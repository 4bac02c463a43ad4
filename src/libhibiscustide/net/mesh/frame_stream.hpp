/// \file
/// A connection between two nodes that carries messages.
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

/// Reads and writes messages on an open socket until it is closed. Lives on
/// one io_context.
class frame_stream : public std::enable_shared_from_this<frame_stream>
{
public:
    using message_handler = std::function<void(message&&)>;
    using closed_handler = std::function<void()>;

    explicit frame_stream(asio::ip::tcp::socket socket);

    /// Begins to read. `on_closed` is called once, unless `close` is called
    /// before.
    void start(message_handler on_message, closed_handler on_closed);

    /// Queues a message; dropped where the stream is closed.
    void send(message const& value);

    /// Closes without a word to the handlers.
    void close();

    [[nodiscard]] bool is_open() const noexcept;

    /// When something last came.
    [[nodiscard]] core::time_point heard_at() const noexcept;

private:
    awaitable<void> read_loop();
    awaitable<void> write_loop();
    [[nodiscard]] bool take_frames();
    void fail();

    asio::ip::tcp::socket m_socket;
    beast::flat_buffer m_buffer;
    message_handler m_on_message;
    closed_handler m_on_closed;
    std::string m_outbox;
    core::time_point m_heard_at;
    bool m_writing = false;
    bool m_open = true;
};

} // namespace hibiscustide::net::mesh

#endif

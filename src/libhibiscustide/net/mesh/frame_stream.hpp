/// \file
/// Exchanges messages with another node over a connection.
#ifndef HIBISCUSTIDE_NET_MESH_FRAME_STREAM_HPP
#define HIBISCUSTIDE_NET_MESH_FRAME_STREAM_HPP

#include <cstdint>
#include <deque>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <hibiscustide/core/time.hpp>

#include "net/http_types.hpp"
#include "net/mesh/codec.hpp"
#include "net/mesh/messages.hpp"

namespace hibiscustide::net::mesh
{

/// Reads and writes messages on a connected socket until it is closed.
///
/// Pieces of bodies and long messages are cut into fragments that are sent one
/// at a time, with the other messages before each of them. So pings and the
/// calls of running requests do not wait behind a body. Messages of the same
/// length class keep their order. Runs on one io_context.
class frame_stream : public std::enable_shared_from_this<frame_stream>
{
public:
    /// Longest message that is sent before longer ones.
    static constexpr std::size_t max_urgent_bytes = 4'096;

    using message_handler = std::function<void(message&&)>;
    using closed_handler = std::function<void()>;

    explicit frame_stream(asio::ip::tcp::socket socket);

    /// Starts reading. Calls `on_closed` once when the connection fails, the
    /// peer closes it or sends a malformed message, but not after close().
    void start(message_handler on_message, closed_handler on_closed);

    /// Queues a message. Drops the message if the stream is closed. Requests,
    /// lists of resumed requests, and messages of up to `max_urgent_bytes`
    /// except pieces of bodies, are sent before all others.
    void send(message const& value);

    /// Queues an encoded message that is not a piece of a body; otherwise like
    /// send().
    void send_encoded(std::string_view bytes);

    /// Removes a run_request of which no byte has been passed to the socket.
    /// Returns false if there is none with this id.
    bool remove_unwritten(std::uint64_t request_id);

    /// Closes the connection without calling the handlers.
    void close();

    [[nodiscard]] bool is_open() const noexcept;

    /// Whether queued bytes have not been passed to the kernel yet.
    [[nodiscard]] bool has_unsent() const noexcept;

    /// Whether the peer's kernel has confirmed all queued bytes; true if the
    /// stream is closed.
    [[nodiscard]] bool is_flushed();

    /// When bytes were last received; at first, when the stream was created.
    [[nodiscard]] core::time_point last_received_at() const noexcept;

private:
    awaitable<void> read_loop();
    awaitable<void> write_loop();
    /// A frame that is sent before the fragments of long messages.
    struct urgent_frame
    {
        std::string m_bytes;
        /// Of the run_request that the frame contains; nothing for others.
        std::optional<std::uint64_t> m_request_id;
    };

    void queue_urgent(
        std::string_view bytes, std::optional<std::uint64_t> request_id);
    void start_writing();
    void queue_in_fragments(std::string_view message_bytes);
    [[nodiscard]] std::string take_next_bytes();
    [[nodiscard]] bool handle_frames();
    [[nodiscard]] bool handle_frame(
        frame_header const& header, std::string_view bytes);
    void close_if_failed(std::exception_ptr const& error);
    void close_on_error();

    asio::ip::tcp::socket m_socket;
    beast::flat_buffer m_buffer;
    message_handler m_on_message;
    closed_handler m_on_closed;
    std::deque<urgent_frame> m_urgent_frames;
    std::deque<std::string> m_bulk_frames;
    std::string m_partial_message; ///< Fragments that have arrived.
    core::time_point m_last_received_at;
    bool m_writing = false;
    bool m_open = true;
};

} // namespace hibiscustide::net::mesh

#endif

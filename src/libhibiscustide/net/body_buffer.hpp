/// \file
/// The body of a request while it passes through a node.
#ifndef HIBISCUSTIDE_NET_BODY_BUFFER_HPP
#define HIBISCUSTIDE_NET_BODY_BUFFER_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/http_types.hpp"

namespace hibiscustide::net
{

/// Parameters of a body_buffer.
struct body_buffer_options
{
    /// Length of the body in bytes; nothing if it is sent in chunks.
    std::optional<std::uint64_t> m_length;
    /// Largest number of bytes to hold.
    std::size_t m_capacity = 131'072;
    /// Whether bytes that were read are kept until the buffer is full, so that
    /// the request can be sent again from the start of its body.
    bool m_keep_for_restart = false;
};

/// A part of a body that has arrived and has not been passed on.
///
/// A producer appends the bytes that arrive and pauses while there is no room.
/// A consumer reads them and releases what it has read. Used on one io_context.
class body_buffer
{
public:
    enum class state
    {
        incomplete, ///< More bytes will arrive.
        complete,
        failed, ///< The body ends early.
    };

    explicit body_buffer(body_buffer_options const& options);

    /// Returns a buffer that holds this complete body.
    [[nodiscard]] static std::shared_ptr<body_buffer> make_complete(
        std::string body);

    // For the producer:

    /// Adds the next bytes of the body.
    void append(std::string_view bytes);

    /// Records that the whole body has been appended.
    void finish();

    /// Records that the body ends early. `why` is the status of the response
    /// to the request, or `unknown` if its caller has left.
    void fail(status why);

    /// Number of bytes that may be appended now.
    [[nodiscard]] std::size_t room() const noexcept;

    /// Sets the handler that is called when there is more room, when the body
    /// is first wanted, or when the rest of it is no longer wanted.
    void on_room(std::function<void()> handler);

    /// Whether the consumer has asked for the body.
    [[nodiscard]] bool is_wanted() const noexcept;

    /// Whether the rest of the body will not be read.
    [[nodiscard]] bool is_abandoned() const noexcept;

    // For the consumer:

    /// Asks for the body. A client that waits for permission to send it gets
    /// the permission only then.
    void want();

    /// Returns up to `max` bytes from this position; none if they have not
    /// arrived or were freed. Valid until the next call of another function.
    [[nodiscard]] std::string_view read(
        std::uint64_t position, std::size_t max) const noexcept;

    /// States that the bytes before this position were read, so that they can
    /// be freed.
    void release_before(std::uint64_t position);

    /// States that the rest of the body will not be read.
    void abandon();

    /// Whether the body can be read from its start.
    [[nodiscard]] bool can_restart() const noexcept;

    [[nodiscard]] state current_state() const noexcept;

    /// The status for `fail`; `unknown` before.
    [[nodiscard]] status failure() const noexcept;

    /// Number of bytes that were freed.
    [[nodiscard]] std::uint64_t freed() const noexcept;

    /// Number of bytes that have arrived.
    [[nodiscard]] std::uint64_t size() const noexcept;

    /// Length of the body, if it is known.
    [[nodiscard]] std::optional<std::uint64_t> length() const noexcept;

    /// Sets the handler that is called when bytes have arrived or the state has
    /// changed. Replaces the previous handler.
    void on_change(std::function<void()> handler);

private:
    void notify(std::function<void()> const& handler) const;

    body_buffer_options m_options;
    std::string m_bytes;       ///< From position m_start.
    std::uint64_t m_start = 0; ///< Number of freed bytes.
    state m_state = state::incomplete;
    status m_failure = status::unknown;
    bool m_wanted = false;
    bool m_abandoned = false;
    std::function<void()> m_on_change;
    std::function<void()> m_on_room;
};

using body_buffer_ptr = std::shared_ptr<body_buffer>;

} // namespace hibiscustide::net

#endif

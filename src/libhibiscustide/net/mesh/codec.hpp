/// \file
/// Encodes and decodes the messages between nodes as MessagePack.
#ifndef HIBISCUSTIDE_NET_MESH_CODEC_HPP
#define HIBISCUSTIDE_NET_MESH_CODEC_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "net/mesh/messages.hpp"

namespace hibiscustide::net::mesh
{

/// Size of the header before each frame on a connection. The header holds the
/// kind of the frame in its two highest bits and the number of bytes that
/// follow in the others, most significant byte first.
inline constexpr std::size_t frame_header_bytes = 4;

/// Longest accepted message. A connection whose peer sends a longer message is
/// closed.
inline constexpr std::size_t max_message_bytes = 83'886'080;

/// What a frame contains.
enum class frame_kind : std::uint8_t
{
    whole,         ///< One message.
    fragment,      ///< A part of a message, of which more follows.
    last_fragment, ///< The last part of a message.
};

/// The decoded header of a frame.
struct frame_header
{
    frame_kind m_kind = frame_kind::whole;
    std::size_t m_length = 0;

    friend auto operator<=>(frame_header const&, frame_header const&) = default;
};

/// Returns the header of a frame. Precondition: the length is at most
/// max_message_bytes.
[[nodiscard]] std::string encode_frame_header(frame_header const& header);

/// Decodes the header at the start of a frame.
[[nodiscard]] frame_header decode_frame_header(std::string_view bytes) noexcept;

/// Returns the encoded message without a header.
[[nodiscard]] std::string encode_message(message const& value);

/// Decodes a message without its header. Returns nothing if it is malformed, or
/// if its status or its fields could not occur in the head of an HTTP message.
[[nodiscard]] std::optional<message> decode_message(std::string_view bytes);

/// Returns the encoded status. A status is sent as a datagram, without a
/// header.
[[nodiscard]] std::string encode_status(node_status const& value);

/// Decodes a status. Returns nothing if it is malformed.
[[nodiscard]] std::optional<node_status> decode_status(std::string_view bytes);

/// Returns the encoded message. It is sent as a datagram, without a header.
[[nodiscard]] std::string encode_quota_message(quota_message const& value);

/// Decodes a message about quotas. Returns nothing unless the bytes are exactly
/// those that encode_quota_message returns for a message.
[[nodiscard]] std::optional<quota_message> decode_quota_message(
    std::string_view bytes);

} // namespace hibiscustide::net::mesh

#endif

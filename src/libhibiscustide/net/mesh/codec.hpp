/// \file
/// Encodes and decodes the messages between nodes as MessagePack.
#ifndef HIBISCUSTIDE_NET_MESH_CODEC_HPP
#define HIBISCUSTIDE_NET_MESH_CODEC_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "net/mesh/messages.hpp"

namespace hibiscustide::net::mesh
{

/// Size of the header before each message on a connection. The header holds the
/// length of the message, most significant byte first.
inline constexpr std::size_t frame_header_bytes = 4;

/// Longest accepted message. A connection whose peer announces a longer message
/// is closed.
inline constexpr std::size_t max_frame_bytes = 83'886'080;

/// Returns the encoded message with its header.
[[nodiscard]] std::string encode_frame(message const& value);

/// Returns the length of the message that follows the header.
[[nodiscard]] std::size_t frame_length(std::string_view header) noexcept;

/// Decodes a message without its header. Returns nothing if it is malformed.
[[nodiscard]] std::optional<message> decode_message(std::string_view bytes);

/// Returns the encoded status. A status is sent as a datagram, without a
/// header.
[[nodiscard]] std::string encode_status(node_status const& value);

/// Decodes a status. Returns nothing if it is malformed.
[[nodiscard]] std::optional<node_status> decode_status(std::string_view bytes);

} // namespace hibiscustide::net::mesh

#endif

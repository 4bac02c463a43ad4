/// \file
/// Messages between nodes as MessagePack.
#ifndef HIBISCUSTIDE_NET_MESH_CODEC_HPP
#define HIBISCUSTIDE_NET_MESH_CODEC_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "net/mesh/messages.hpp"

namespace hibiscustide::net::mesh
{

/// The bytes in front of each message on a connection: its length, most
/// significant byte first.
inline constexpr std::size_t frame_head_bytes = 4;

/// A longer message ends the connection.
inline constexpr std::size_t max_frame_bytes = 83'886'080;

/// A message with its length in front.
[[nodiscard]] std::string encode_frame(message const& value);

/// The length that a frame's head gives.
[[nodiscard]] std::size_t frame_length(std::string_view head) noexcept;

/// Reads a message without its head; nothing where it is malformed.
[[nodiscard]] std::optional<message> decode_message(std::string_view bytes);

[[nodiscard]] std::string encode_status(node_status const& value);
[[nodiscard]] std::optional<node_status> decode_status(std::string_view bytes);

} // namespace hibiscustide::net::mesh

#endif

/// \file
/// Compresses long messages between nodes.
#ifndef HIBISCUSTIDE_NET_MESH_COMPRESSION_HPP
#define HIBISCUSTIDE_NET_MESH_COMPRESSION_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscustide::net::mesh
{

/// Returns the bytes in the zlib format (RFC 1950). Throws std::bad_alloc.
[[nodiscard]] std::string compress(std::string_view bytes);

/// Returns the `size` bytes that were compressed; nothing if the input is
/// malformed or contains another number of bytes. Throws std::bad_alloc.
[[nodiscard]] std::optional<std::string> decompress(
    std::string_view compressed, std::size_t size);

} // namespace hibiscustide::net::mesh

#endif

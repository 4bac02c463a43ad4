/// \file
/// A hash function that gives the same result on all nodes.
#ifndef HIBISCUSTIDE_CORE_HASH_HPP
#define HIBISCUSTIDE_CORE_HASH_HPP

#include <cstdint>
#include <string_view>

namespace hibiscustide::core
{

/// Returns the 64-bit XXH3 hash of the text. The result must not depend on the
/// node or the software version, because nodes independently select the owners
/// of keys and the readers of the configuration service by it.
[[nodiscard]] std::uint64_t hash_of(
    std::string_view text, std::uint64_t seed = 0) noexcept;

} // namespace hibiscustide::core

#endif

#include <hibiscustide/core/hash.hpp>

#include <xxhash.h>

namespace hibiscustide::core
{

std::uint64_t hash_of(std::string_view text, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace hibiscustide::core

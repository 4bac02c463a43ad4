#include <hibiscustide/core/release/digest.hpp>

#include <array>
#include <cstdio>

#include <xxhash.h>

namespace hibiscustide::core::release
{

std::string digest_of(std::string_view text)
{
    constexpr std::size_t digest_length = 32;
    auto const hash = XXH3_128bits(text.data(), text.size());
    std::array<char, digest_length + 1> hex{};
    static_cast<void>(std::snprintf(
        hex.data(), hex.size(), "%016llx%016llx",
        static_cast<unsigned long long>(hash.high64),
        static_cast<unsigned long long>(hash.low64)));
    return {hex.data(), digest_length};
}

} // namespace hibiscustide::core::release

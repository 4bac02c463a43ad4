/// \file
/// The hash by which API keys are stored and compared.
#ifndef HIBISCUSTIDE_CORE_DIRECTORY_KEY_DIGEST_HPP
#define HIBISCUSTIDE_CORE_DIRECTORY_KEY_DIGEST_HPP

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscustide::core::directory
{

/// SHA-256 of an API key. The API key cannot be derived from it.
struct key_digest
{
    static constexpr std::size_t size = 32;

    std::array<std::uint8_t, size> m_bytes{};

    friend auto operator<=>(key_digest const&, key_digest const&) = default;
};

/// Returns the digest of an API key.
[[nodiscard]] key_digest make_key_digest(std::string_view key);

/// Parses 64 lower-case hexadecimal digits. Returns nothing for other text.
[[nodiscard]] std::optional<key_digest> parse_key_digest(
    std::string_view text) noexcept;

/// Returns 64 lower-case hexadecimal digits.
[[nodiscard]] std::string to_hex(key_digest const& digest);

/// Compares two digests in a time that does not depend on their bytes.
[[nodiscard]] bool is_equal_in_constant_time(
    key_digest const& left, key_digest const& right) noexcept;

} // namespace hibiscustide::core::directory

#endif

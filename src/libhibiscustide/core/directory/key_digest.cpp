#include <hibiscustide/core/directory/key_digest.hpp>

#include <sys/types.h>

#include <sha2.h>

namespace hibiscustide::core::directory
{

namespace
{

constexpr std::string_view hex_digits = "0123456789abcdef";
constexpr unsigned half_byte_bits = 4;
constexpr unsigned half_byte_mask = 0xf;

} // namespace

key_digest make_key_digest(std::string_view key)
{
    static_assert(key_digest::size == SHA256_DIGEST_LENGTH);
    key_digest digest;
    SHA2_CTX context;
    SHA256Init(&context);
    SHA256Update(
        &context, reinterpret_cast<std::uint8_t const*>(key.data()),
        key.size());
    SHA256Final(digest.m_bytes.data(), &context);
    return digest;
}

std::optional<key_digest> parse_key_digest(std::string_view text) noexcept
{
    if (text.size() != 2 * key_digest::size)
    {
        return std::nullopt;
    }
    key_digest digest;
    for (std::size_t n = 0; n < text.size(); ++n)
    {
        auto const value = hex_digits.find(text[n]);
        if (value == std::string_view::npos)
        {
            return std::nullopt;
        }
        auto& byte = digest.m_bytes[n / 2];
        byte = static_cast<std::uint8_t>((byte << half_byte_bits) | value);
    }
    return digest;
}

std::string to_hex(key_digest const& digest)
{
    std::string text;
    text.reserve(2 * key_digest::size);
    for (unsigned const byte : digest.m_bytes)
    {
        text.push_back(hex_digits[byte >> half_byte_bits]);
        text.push_back(hex_digits[byte & half_byte_mask]);
    }
    return text;
}

bool is_equal_in_constant_time(
    key_digest const& left, key_digest const& right) noexcept
{
    unsigned difference = 0;
    for (std::size_t n = 0; n < key_digest::size; ++n)
    {
        difference |= static_cast<unsigned>(left.m_bytes[n] ^ right.m_bytes[n]);
    }
    return difference == 0;
}

} // namespace hibiscustide::core::directory

#include <hibiscustide/core/orders/key_creation_time.hpp>

#include <charconv>
#include <cstdint>

namespace hibiscustide::core::orders
{

namespace
{

constexpr std::size_t uuid_length = 36;
constexpr std::size_t version_position = 14;
constexpr std::size_t variant_position = 19;
constexpr int hexadecimal_base = 16;

bool is_hexadecimal(char c) noexcept
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') ||
           (c >= 'A' && c <= 'F');
}

bool has_uuid_form(std::string_view key) noexcept
{
    if (key.size() != uuid_length)
    {
        return false;
    }
    for (std::size_t n = 0; n < key.size(); ++n)
    {
        bool const is_dash = n == 8 || n == 13 || n == 18 || n == 23;
        if (is_dash ? key[n] != '-' : !is_hexadecimal(key[n]))
        {
            return false;
        }
    }
    return true;
}

std::uint64_t parse_hexadecimal(std::string_view digits) noexcept
{
    std::uint64_t value = 0;
    std::from_chars(
        digits.data(), digits.data() + digits.size(), value, hexadecimal_base);
    return value;
}

} // namespace

std::optional<unix_ms> creation_time_of(std::string_view key) noexcept
{
    if (!has_uuid_form(key) || key[version_position] != '7')
    {
        return std::nullopt;
    }
    bool const has_variant =
        std::string_view{"89abAB"}.find(key[variant_position]) !=
        std::string_view::npos;
    if (!has_variant)
    {
        return std::nullopt;
    }
    auto const high = parse_hexadecimal(key.substr(0, 8));
    auto const low = parse_hexadecimal(key.substr(9, 4));
    constexpr unsigned low_bits = 16;
    return unix_ms{static_cast<std::int64_t>((high << low_bits) | low)};
}

} // namespace hibiscustide::core::orders

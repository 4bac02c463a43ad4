#include <hibiscustide/core/directory/authentication.hpp>

#include <algorithm>

namespace hibiscustide::core::directory
{

namespace
{

constexpr std::string_view blanks = " \t";
constexpr std::string_view separators = " \t,";
constexpr std::string_view bearer = "bearer";

std::string_view trim(std::string_view text) noexcept
{
    text.remove_prefix(std::min(text.find_first_not_of(blanks), text.size()));
    return text.substr(0, text.find_last_not_of(blanks) + 1);
}

// The name of a scheme is not case-sensitive (RFC 9110, section 11.1).
bool is_bearer(std::string_view scheme) noexcept
{
    constexpr char case_bit = 'a' - 'A';
    return std::equal(
        scheme.begin(), scheme.end(), bearer.begin(), bearer.end(),
        [](char c, char expected)
        {
            return c == expected || c == expected - case_bit;
        });
}

// A field value, split into its scheme and what follows it.
struct credentials
{
    std::string_view m_scheme;
    std::string_view m_key;
};

credentials split(std::string_view value) noexcept
{
    value = trim(value);
    auto const end = std::min(value.find_first_of(blanks), value.size());
    return {.m_scheme = value.substr(0, end), .m_key = trim(value.substr(end))};
}

authentication check_key(
    key_index const& keys, std::span<std::string_view const> values)
{
    if (values.empty())
    {
        return {.m_refusal = key_refusal::missing};
    }
    if (values.size() > 1)
    {
        return {.m_refusal = key_refusal::repeated};
    }
    auto const [scheme, key] = split(values.front());
    if (!is_bearer(scheme))
    {
        return {.m_refusal = key_refusal::other_scheme};
    }
    if (key.empty())
    {
        return {.m_refusal = key_refusal::empty};
    }
    auto const* const found = keys.find(key);
    if (found == nullptr)
    {
        return {.m_refusal = key_refusal::unknown};
    }
    return {.m_organisation = found};
}

} // namespace

std::string_view to_string(key_refusal value) noexcept
{
    switch (value)
    {
    case key_refusal::missing:
        return "missing";
    case key_refusal::repeated:
        return "repeated";
    case key_refusal::other_scheme:
        return "other-scheme";
    case key_refusal::empty:
        return "empty";
    case key_refusal::unknown:
    case key_refusal::count_of_refusals:
        break;
    }
    return "unknown";
}

authentication authenticate(
    key_index const& keys, bool is_exempt,
    std::span<std::string_view const> values)
{
    if (keys.is_empty())
    {
        return {};
    }
    auto result = check_key(keys, values);
    if (is_exempt)
    {
        result.m_refusal.reset();
    }
    return result;
}

bool may_contain_key(key_index const& keys, std::string_view value)
{
    if (keys.is_empty())
    {
        return false;
    }
    if (is_bearer(split(value).m_scheme))
    {
        return true;
    }
    while (!value.empty())
    {
        auto const end =
            std::min(value.find_first_of(separators), value.size());
        if (end > 0 && keys.find(value.substr(0, end)) != nullptr)
        {
            return true;
        }
        value.remove_prefix(std::min(end + 1, value.size()));
    }
    return false;
}

} // namespace hibiscustide::core::directory

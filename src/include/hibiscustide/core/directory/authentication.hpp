/// \file
/// Decides by the field Authorization which organisation sends a request, and
/// whether the request is refused.
#ifndef HIBISCUSTIDE_CORE_DIRECTORY_AUTHENTICATION_HPP
#define HIBISCUSTIDE_CORE_DIRECTORY_AUTHENTICATION_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include <hibiscustide/core/directory/key_index.hpp>

namespace hibiscustide::core::directory
{

/// Why a request has no known API key.
enum class key_refusal : std::uint8_t
{
    missing,      ///< The request has no field Authorization.
    repeated,     ///< The request has several fields Authorization.
    other_scheme, ///< The field has another scheme than Bearer.
    empty,        ///< The scheme is Bearer, but there is no API key behind it.
    unknown,      ///< No organisation has the API key.
    count_of_refusals, ///< The number of refusals.
};

inline constexpr auto key_refusal_count =
    static_cast<std::size_t>(key_refusal::count_of_refusals);

/// Returns the name of a refusal as used in events and metrics.
[[nodiscard]] std::string_view to_string(key_refusal value) noexcept;

/// The result of the check of a request.
struct authentication
{
    /// The organisation whose API key the request has, or null. The
    /// configuration of the index owns it.
    organisation const* m_organisation = nullptr;
    /// Set if the request must not run.
    std::optional<key_refusal> m_refusal;
};

/// Checks a request for a route. `values` are the values of its fields
/// Authorization. Without organisations, every request may run. On an exempt
/// route, every request may run, and an API key is recognised as elsewhere.
[[nodiscard]] authentication authenticate(
    key_index const& keys, bool is_exempt,
    std::span<std::string_view const> values);

/// Whether a field Authorization with this value may contain an API key, and
/// must therefore not be forwarded: it has the scheme Bearer, or one of its
/// words is a known API key. False without organisations.
[[nodiscard]] bool may_contain_key(
    key_index const& keys, std::string_view value);

} // namespace hibiscustide::core::directory

#endif

/// \file
/// Error types returned by parsers and validators.
#ifndef HIBISCUSTIDE_CORE_ERROR_HPP
#define HIBISCUSTIDE_CORE_ERROR_HPP

#include <compare>
#include <string>
#include <variant>
#include <vector>

namespace hibiscustide::core
{

/// Describes an invalid field of an input.
struct field_error
{
    std::string m_source; ///< Name of the input, such as a file name.
    std::string m_field;  ///< Path of the field in the input.
    std::string m_reason; ///< Why the field is invalid.

    friend auto operator<=>(field_error const&, field_error const&) = default;
};

/// All errors that were found in one input.
using field_errors = std::vector<field_error>;

/// Formats an error as "source: field: reason".
[[nodiscard]] std::string to_string(field_error const& error);

/// Formats all errors on one line, separated by "; ".
[[nodiscard]] std::string to_string(field_errors const& errors);

/// Holds either a valid value or all errors found in the input.
template <typename Value>
using value_or_errors = std::variant<Value, field_errors>;

} // namespace hibiscustide::core

#endif

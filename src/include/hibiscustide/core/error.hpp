/// \file
/// The errors that reading and checking give back.
#ifndef HIBISCUSTIDE_CORE_ERROR_HPP
#define HIBISCUSTIDE_CORE_ERROR_HPP

#include <compare>
#include <string>
#include <variant>
#include <vector>

namespace hibiscustide::core
{

/// One wrong field: where it was read, which field it is and what is wrong.
struct field_error
{
    std::string m_source;
    std::string m_field;
    std::string m_reason;

    friend auto operator<=>(field_error const&, field_error const&) = default;
};

using field_errors = std::vector<field_error>;

/// "source: field: reason", the form that tools print.
[[nodiscard]] std::string to_string(field_error const& error);

/// All the errors in one line, separated by "; ".
[[nodiscard]] std::string to_string(field_errors const& errors);

/// Either the value that was asked for or every reason why there is none.
template <typename Value>
using value_or_errors = std::variant<Value, field_errors>;

} // namespace hibiscustide::core

#endif

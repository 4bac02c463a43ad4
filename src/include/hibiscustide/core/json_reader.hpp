/// \file
/// Reads typed fields out of a JSON object and collects what is wrong.
#ifndef HIBISCUSTIDE_CORE_JSON_READER_HPP
#define HIBISCUSTIDE_CORE_JSON_READER_HPP

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <json/value.h>

#include <hibiscustide/core/error.hpp>

namespace hibiscustide::core
{

/// The least and the greatest value that a field may have, both allowed.
template <typename Number>
struct bounds
{
    Number m_min;
    Number m_max;
};

/// Parses strict JSON with no repeated names; the text must be one value. On
/// failure adds one error to `errors` and gives nothing.
[[nodiscard]] std::optional<Json::Value> parse_json(
    std::string_view text, std::string const& source, field_errors& errors);

/// Writes JSON without white space.
[[nodiscard]] std::string write_json(Json::Value const& value);

/// Reads one object. Each read that fails adds an error and gives the
/// default, so that one pass reports every wrong field. The object and the
/// error list must outlive the reader.
class json_reader
{
public:
    json_reader(
        Json::Value const& object, std::string source, std::string path,
        field_errors& errors);

    /// Adds an error for each name in the object that is not listed.
    void allow_only(std::initializer_list<std::string_view> names) const;

    /// A string that must be there and must not be empty.
    [[nodiscard]] std::string required_string(char const* name) const;

    /// A string, or the default where it is missing.
    [[nodiscard]] std::string string_or(
        char const* name, std::string const& otherwise) const;

    [[nodiscard]] std::uint64_t required_uint(
        char const* name, bounds<std::uint64_t> allowed) const;

    [[nodiscard]] std::uint64_t uint_or(
        char const* name, std::uint64_t otherwise,
        bounds<std::uint64_t> allowed) const;

    [[nodiscard]] double number_or(
        char const* name, double otherwise, bounds<double> allowed) const;

    [[nodiscard]] bool bool_or(char const* name, bool otherwise) const;

    /// The elements of an array; none where it is missing.
    [[nodiscard]] std::vector<json_reader> objects(char const* name) const;

    /// The strings of an array; none where it is missing.
    [[nodiscard]] std::vector<std::string> strings(char const* name) const;

    /// The object with this name, or an empty one where it is missing.
    [[nodiscard]] json_reader object(char const* name) const;

    /// Adds an error for the field.
    void add_error(std::string const& name, std::string const& why) const;

private:
    [[nodiscard]] Json::Value const* find(char const* name) const;
    [[nodiscard]] std::string path_of(std::string const& name) const;

    Json::Value const* m_object;
    std::string m_source;
    std::string m_path;
    field_errors* m_errors;
};

} // namespace hibiscustide::core

#endif

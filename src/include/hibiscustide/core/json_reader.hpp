/// \file
/// Reads typed fields from a JSON object and collects errors.
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

/// The inclusive range of values that a field may have.
template <typename Number>
struct bounds
{
    Number m_min;
    Number m_max;
};

/// Parses a text that consists of one JSON value. Parsing is strict: comments
/// and duplicate member names are errors. On failure, adds one error to
/// `errors` and returns std::nullopt.
[[nodiscard]] std::optional<Json::Value> parse_json(
    std::string_view text, std::string const& source, field_errors& errors);

/// Serializes a value to compact JSON, without white space.
[[nodiscard]] std::string write_json(Json::Value const& value);

/// Reads the fields of one JSON object. When a field is invalid, the read adds
/// an error and returns the value named below, so that one pass reports all
/// invalid fields. The object and the error list must outlive the reader.
class json_reader
{
public:
    /// `source` and `path` identify the input and the object in errors; the
    /// path is empty for the root object.
    json_reader(
        Json::Value const& object, std::string source, std::string path,
        field_errors& errors);

    /// Adds an error for each member whose name is not in `names`.
    void allow_only(std::initializer_list<std::string_view> names) const;

    /// Whether the object has a field with this name.
    [[nodiscard]] bool has(char const* name) const;

    /// Reads a string. A missing or empty field or a field of another type is
    /// an error, for which an empty string is returned.
    [[nodiscard]] std::string required_string(char const* name) const;

    /// Reads a string; returns `default_value` if the field is missing. A field
    /// of another type is an error, for which `default_value` is returned.
    [[nodiscard]] std::string string_or(
        char const* name, std::string const& default_value) const;

    /// Reads an unsigned integer. A missing field, a field of another type and
    /// a number outside the bounds are errors, for which the lower bound is
    /// returned.
    [[nodiscard]] std::uint64_t required_uint(
        char const* name, bounds<std::uint64_t> allowed) const;

    /// Reads an unsigned integer; returns `default_value` if the field is
    /// missing. A field of another type and a number outside the bounds are
    /// errors, for which `default_value` is returned.
    [[nodiscard]] std::uint64_t uint_or(
        char const* name, std::uint64_t default_value,
        bounds<std::uint64_t> allowed) const;

    /// Reads a number as an unsigned integer. A fraction is rounded down, but a
    /// positive number not to 0 and not below the lower bound. A number above
    /// the upper bound becomes that bound. A missing field, a field of another
    /// type and other numbers are errors, for which the lower bound is
    /// returned.
    [[nodiscard]] std::uint64_t required_rounded(
        char const* name, bounds<std::uint64_t> allowed) const;

    /// Like required_rounded; returns `default_value` if the field is missing
    /// or an error.
    [[nodiscard]] std::uint64_t rounded_or(
        char const* name, std::uint64_t default_value,
        bounds<std::uint64_t> allowed) const;

    /// Reads a number. Errors are as in required_uint.
    [[nodiscard]] double required_number(
        char const* name, bounds<double> allowed) const;

    /// Reads a number; returns `default_value` if the field is missing. Errors
    /// are as in uint_or.
    [[nodiscard]] double number_or(
        char const* name, double default_value, bounds<double> allowed) const;

    /// Reads a boolean; returns `default_value` if the field is missing. A
    /// field of another type is an error, for which `default_value` is
    /// returned.
    [[nodiscard]] bool bool_or(char const* name, bool default_value) const;

    /// Returns a reader for each element of an array of objects, or an
    /// empty vector if the field is missing or, as an error, not an array. An
    /// element that is not an object is an error and is read as an empty one.
    [[nodiscard]] std::vector<json_reader> objects(char const* name) const;

    /// Reads an array of non-empty strings; returns an empty vector if the
    /// field is missing or, as an error, not an array. Other elements are
    /// errors and are left out.
    [[nodiscard]] std::vector<std::string> strings(char const* name) const;

    /// Returns a reader for a nested object, or for an empty object if the
    /// field is missing or, as an error, not an object.
    [[nodiscard]] json_reader object(char const* name) const;

    /// Adds an error for the field `name` of this object.
    void add_error(std::string const& name, std::string const& message) const;

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

/// \file
/// Parses settings and collects the errors in them.
#ifndef HIBISCUSTIDE_CORE_CONFIG_SETTING_CHECKER_HPP
#define HIBISCUSTIDE_CORE_CONFIG_SETTING_CHECKER_HPP

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <string>

#include <hibiscustide/core/endpoint.hpp>
#include <hibiscustide/core/error.hpp>
#include <hibiscustide/core/json_reader.hpp>

namespace hibiscustide::core::config
{

/// Parses settings one by one. An invalid setting adds an error instead of
/// ending the check, so that one pass reports every invalid setting; the value
/// returned for it must not be used.
///
/// In all functions, `flag` is the command-line flag of the setting with its
/// dashes, such as "--name". It identifies the setting in errors, wherever its
/// value comes from. `value` is the text of the setting.
class setting_checker
{
public:
    /// Returns the text. An empty text is an error and is returned as it is.
    [[nodiscard]] std::string required_text(
        char const* flag, std::string const& value)
    {
        if (value.empty())
        {
            add_error(flag, "is missing");
        }
        return value;
    }

    /// Parses an IP address with a port, such as "1.2.3.4:80". An empty or
    /// malformed text is an error, for which an empty endpoint is returned.
    [[nodiscard]] endpoint required_endpoint(
        char const* flag, std::string const& value)
    {
        if (value.empty())
        {
            add_error(flag, "is missing");
            return {};
        }
        auto parsed = parse_endpoint(value);
        if (!parsed)
        {
            add_error(flag, "'" + value + "' is not an IP address with a port");
            return {};
        }
        return *parsed;
    }

    /// Parses an unsigned integer. An empty or malformed text and a number
    /// outside the bounds are errors, for which the lower bound is returned.
    [[nodiscard]] std::uint64_t whole_number(
        char const* flag, std::string const& value,
        bounds<std::uint64_t> allowed)
    {
        std::uint64_t parsed = 0;
        auto const* const end = value.data() + value.size();
        auto const [last, error] = std::from_chars(value.data(), end, parsed);
        bool const is_valid = error == std::errc{} && last == end &&
                              parsed >= allowed.m_min &&
                              parsed <= allowed.m_max;
        if (!is_valid)
        {
            add_error(
                flag, "'" + value + "' is not a whole number between " +
                          std::to_string(allowed.m_min) + " and " +
                          std::to_string(allowed.m_max));
            return allowed.m_min;
        }
        return parsed;
    }

    /// Parses a number that may have a fraction. If the text is empty or is not
    /// a number, returns `default_value`; for a number outside the bounds, the
    /// nearest allowed one. Both are recorded in replaced().
    [[nodiscard]] double number_or_default(
        char const* flag, std::string const& value, double default_value,
        bounds<double> allowed)
    {
        double parsed = 0;
        auto const* const end = value.data() + value.size();
        auto const [last, error] = std::from_chars(value.data(), end, parsed);
        bool const is_number =
            error == std::errc{} && last == end && std::isfinite(parsed);
        if (!is_number)
        {
            add_replaced(flag, value, "a number", default_value);
            return default_value;
        }
        auto const nearest = std::clamp(parsed, allowed.m_min, allowed.m_max);
        if (parsed < nearest || parsed > nearest)
        {
            add_replaced(flag, value, "an allowed number", nearest);
        }
        return nearest;
    }

    /// Returns the text, or `default_value` if the text is not in `names`,
    /// which is recorded in replaced().
    template <typename Names>
    [[nodiscard]] std::string one_of_or_default(
        char const* flag, std::string const& value, char const* default_value,
        Names const& names)
    {
        if (std::find(names.begin(), names.end(), value) != names.end())
        {
            return value;
        }
        m_replaced.push_back(
            {.m_source = "settings",
             .m_field = flag,
             .m_reason = "'" + value + "' is not one of " + join(names) +
                         "; used: " + default_value});
        return default_value;
    }

    /// Returns the text. A text that is not in `names` is an error and is
    /// returned as it is.
    template <typename Names>
    [[nodiscard]] std::string one_of(
        char const* flag, std::string const& value, Names const& names)
    {
        if (std::find(names.begin(), names.end(), value) != names.end())
        {
            return value;
        }
        add_error(flag, "'" + value + "' is not one of " + join(names));
        return value;
    }

    /// Returns the errors of all settings checked so far.
    [[nodiscard]] field_errors const& errors() const
    {
        return m_errors;
    }

    /// Returns an error for each setting whose text was replaced; it includes
    /// the value used.
    [[nodiscard]] field_errors const& replaced() const
    {
        return m_replaced;
    }

    /// Adds an error for a setting.
    void add_error(char const* flag, std::string const& reason)
    {
        m_errors.push_back(
            {.m_source = "settings", .m_field = flag, .m_reason = reason});
    }

private:
    template <typename Names>
    [[nodiscard]] static std::string join(Names const& names)
    {
        std::string joined;
        for (auto const& name : names)
        {
            joined += joined.empty() ? "" : ", ";
            joined += name;
        }
        return joined;
    }

    void add_replaced(
        char const* flag, std::string const& value, char const* expected,
        double used)
    {
        m_replaced.push_back(
            {.m_source = "settings",
             .m_field = flag,
             .m_reason = "'" + value + "' is not " + expected +
                         "; used: " + std::to_string(used)});
    }

    field_errors m_errors;
    field_errors m_replaced;
};

} // namespace hibiscustide::core::config

#endif

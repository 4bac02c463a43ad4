/// \file
/// Parses settings and collects the errors in them.
#ifndef HIBISCUSTIDE_CORE_CONFIG_SETTING_CHECKER_HPP
#define HIBISCUSTIDE_CORE_CONFIG_SETTING_CHECKER_HPP

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string>

#include <hibiscustide/core/endpoint.hpp>
#include <hibiscustide/core/error.hpp>
#include <hibiscustide/core/json_reader.hpp>

namespace hibiscustide::core::config
{

/// Parses settings one by one. A setting that cannot be parsed adds an error
/// and returns a placeholder value, so that one pass reports every invalid
/// setting.
class setting_checker
{
public:
    [[nodiscard]] std::string required_text(
        char const* flag, std::string const& value)
    {
        if (value.empty())
        {
            add_error(flag, "is missing");
        }
        return value;
    }

    [[nodiscard]] endpoint address(char const* flag, std::string const& value)
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

    [[nodiscard]] std::uint64_t whole_number(
        char const* flag, std::string const& value,
        bounds<std::uint64_t> allowed)
    {
        return parse_number(flag, value, allowed, "whole number");
    }

    [[nodiscard]] double real_number(
        char const* flag, std::string const& value, bounds<double> allowed)
    {
        return parse_number(flag, value, allowed, "number");
    }

    template <typename Names>
    [[nodiscard]] std::string one_of(
        char const* flag, std::string const& value, Names const& names)
    {
        if (std::find(names.begin(), names.end(), value) != names.end())
        {
            return value;
        }
        std::string allowed;
        for (auto const& name : names)
        {
            allowed += allowed.empty() ? "" : ", ";
            allowed += name;
        }
        add_error(flag, "'" + value + "' is not one of " + allowed);
        return value;
    }

    [[nodiscard]] field_errors const& errors() const
    {
        return m_errors;
    }

    void add_error(char const* flag, std::string const& reason)
    {
        m_errors.push_back(
            {.m_source = "settings", .m_field = flag, .m_reason = reason});
    }

private:
    template <typename Number>
    [[nodiscard]] Number parse_number(
        char const* flag, std::string const& value, bounds<Number> allowed,
        std::string const& kind)
    {
        Number parsed{};
        auto const* const end = value.data() + value.size();
        auto const [last, error] = std::from_chars(value.data(), end, parsed);
        bool const is_valid = error == std::errc{} && last == end &&
                              parsed >= allowed.m_min &&
                              parsed <= allowed.m_max;
        if (!is_valid)
        {
            add_error(
                flag, "'" + value + "' is not a " + kind + " between " +
                          std::to_string(allowed.m_min) + " and " +
                          std::to_string(allowed.m_max));
            return allowed.m_min;
        }
        return parsed;
    }

    field_errors m_errors;
};

} // namespace hibiscustide::core::config

#endif

/// \file
/// Reads settings out of text and collects what is wrong with them.
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

/// Each read that fails adds an error and gives a value that is of no use, so
/// that one pass reports every wrong setting.
class setting_checker
{
public:
    [[nodiscard]] std::string text(char const* flag, std::string const& value)
    {
        if (value.empty())
        {
            reject(flag, "is missing");
        }
        return value;
    }

    [[nodiscard]] endpoint address(char const* flag, std::string const& value)
    {
        if (value.empty())
        {
            reject(flag, "is missing");
            return {};
        }
        auto parsed = parse_endpoint(value);
        if (!parsed)
        {
            reject(flag, "'" + value + "' is no IP address with a port");
            return {};
        }
        return *parsed;
    }

    [[nodiscard]] std::uint64_t count(
        char const* flag, std::string const& value,
        bounds<std::uint64_t> allowed)
    {
        return number(flag, value, allowed, "whole number");
    }

    [[nodiscard]] double share(
        char const* flag, std::string const& value, bounds<double> allowed)
    {
        return number(flag, value, allowed, "number");
    }

    template <typename Names>
    [[nodiscard]] std::string one_of(
        char const* flag, std::string const& value, Names const& names)
    {
        if (std::find(names.begin(), names.end(), value) != names.end())
        {
            return value;
        }
        std::string listed;
        for (auto const& name : names)
        {
            listed += listed.empty() ? "" : ", ";
            listed += name;
        }
        reject(flag, "'" + value + "' is none of " + listed);
        return value;
    }

    [[nodiscard]] field_errors const& errors() const
    {
        return m_errors;
    }

    void reject(char const* flag, std::string const& why)
    {
        m_errors.push_back(
            {.m_source = "settings", .m_field = flag, .m_reason = why});
    }

private:
    template <typename Number>
    [[nodiscard]] Number number(
        char const* flag, std::string const& value, bounds<Number> allowed,
        std::string const& kind)
    {
        Number read{};
        auto const* const end = value.data() + value.size();
        auto const [last, error] = std::from_chars(value.data(), end, read);
        bool const good = error == std::errc{} && last == end &&
                          read >= allowed.m_min && read <= allowed.m_max;
        if (!good)
        {
            reject(
                flag, "'" + value + "' is no " + kind + " between " +
                          std::to_string(allowed.m_min) + " and " +
                          std::to_string(allowed.m_max));
            return allowed.m_min;
        }
        return read;
    }

    field_errors m_errors;
};

} // namespace hibiscustide::core::config

#endif

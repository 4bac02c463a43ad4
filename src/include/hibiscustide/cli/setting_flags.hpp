/// \file
/// Settings as flags and environment variables.
#ifndef HIBISCUSTIDE_CLI_SETTING_FLAGS_HPP
#define HIBISCUSTIDE_CLI_SETTING_FLAGS_HPP

#include <cctype>
#include <string>

#include <CLI/CLI.hpp>

namespace hibiscustide::cli
{

/// Adds the flag `--name` and the variable HIBISCUSTIDE_NAME, with '_' for '-'.
/// `value` holds the default and must outlive the app.
inline void add_setting(
    CLI::App& app, std::string const& name, std::string& value,
    std::string const& text)
{
    std::string variable = "HIBISCUSTIDE_";
    for (auto const c : name)
    {
        variable += c == '-' ? '_' : static_cast<char>(std::toupper(c));
    }
    app.add_option("--" + name, value, text)
        ->envname(variable)
        ->capture_default_str();
}

} // namespace hibiscustide::cli

#endif

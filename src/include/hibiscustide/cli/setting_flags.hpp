/// \file
/// Command-line flags and environment variables for settings.
#ifndef HIBISCUSTIDE_CLI_SETTING_FLAGS_HPP
#define HIBISCUSTIDE_CLI_SETTING_FLAGS_HPP

#include <cctype>
#include <string>

#include <CLI/CLI.hpp>

namespace hibiscustide::cli
{

/// Adds the flag `--NAME` and the environment variable `HIBISCUSTIDE_NAME`,
/// with the name in capitals and '_' for '-'. `value` holds the default and
/// must outlive `app`; `description` is the flag's line in the help text.
inline void add_setting(
    CLI::App& app, std::string const& name, std::string& value,
    std::string const& description)
{
    std::string variable = "HIBISCUSTIDE_";
    for (auto const c : name)
    {
        variable += c == '-' ? '_' : static_cast<char>(std::toupper(c));
    }
    app.add_option("--" + name, value, description)
        ->envname(variable)
        ->capture_default_str();
}

} // namespace hibiscustide::cli

#endif

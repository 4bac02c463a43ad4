/// \file
/// Checks release notes before an operator publishes them.
#ifndef HIBISCUSTIDE_HIBCTL_NOTE_CHECK_HPP
#define HIBISCUSTIDE_HIBCTL_NOTE_CHECK_HPP

#include <string>
#include <vector>

#include <json/value.h>

#include <hibiscustide/core/error.hpp>

namespace hibiscustide::ctl
{

/// Applies the notes in the files, oldest first, as a node does. Reports for
/// each note the number of its changes, and for each service the number of
/// targets in service before and after the note. If a note is not accepted,
/// returns instead every error of the first such note, with file, field and
/// reason.
[[nodiscard]] core::value_or_errors<Json::Value> check_notes(
    std::vector<std::string> const& files);

/// Formats the result of check_notes as text for a terminal.
[[nodiscard]] std::string to_text(Json::Value const& report);

} // namespace hibiscustide::ctl

#endif

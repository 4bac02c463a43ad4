/// \file
/// Tells operators what notes come to before they publish them.
#ifndef HIBISCUSTIDE_HIBCTL_NOTE_CHECK_HPP
#define HIBISCUSTIDE_HIBCTL_NOTE_CHECK_HPP

#include <string>
#include <vector>

#include <json/value.h>

#include <hibiscustide/core/error.hpp>

namespace hibiscustide::ctl
{

/// Folds the notes in the files, oldest first, as a node would. Gives for each
/// what it changes and for each service how many of its targets are in service
/// before and after; or the file, field and reason of all that is wrong with
/// the first bad note.
[[nodiscard]] core::value_or_errors<Json::Value> check_notes(
    std::vector<std::string> const& files);

/// The result of check_notes as text.
[[nodiscard]] std::string to_text(Json::Value const& report);

} // namespace hibiscustide::ctl

#endif

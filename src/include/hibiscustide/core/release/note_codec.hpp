/// \file
/// Reads and writes release notes as JSON.
#ifndef HIBISCUSTIDE_CORE_RELEASE_NOTE_CODEC_HPP
#define HIBISCUSTIDE_CORE_RELEASE_NOTE_CODEC_HPP

#include <cstddef>
#include <string>
#include <string_view>

#include <hibiscustide/core/error.hpp>
#include <hibiscustide/core/release/note.hpp>

namespace hibiscustide::core::release
{

/// The largest note, in bytes: the configuration service holds no larger value.
inline constexpr std::size_t max_note_bytes = 1'000'000;

/// Reads a note and checks each field by itself. `source` names the file or
/// key in errors. Gives every wrong field, not only the first.
[[nodiscard]] value_or_errors<release_note> parse_note(
    std::string_view text, std::string const& source);

/// Writes a note so that parse_note reads the same values back. The digest is
/// not written: it is the digest of the text.
[[nodiscard]] std::string write_note(release_note const& note);

} // namespace hibiscustide::core::release

#endif

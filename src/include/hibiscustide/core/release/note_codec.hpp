/// \file
/// Parses and serializes release notes (published changes of the configuration)
/// as JSON.
#ifndef HIBISCUSTIDE_CORE_RELEASE_NOTE_CODEC_HPP
#define HIBISCUSTIDE_CORE_RELEASE_NOTE_CODEC_HPP

#include <cstddef>
#include <string>
#include <string_view>

#include <hibiscustide/core/error.hpp>
#include <hibiscustide/core/release/note.hpp>

namespace hibiscustide::core::release
{

/// The maximum size of a note in bytes. The configuration service, from which
/// nodes read the notes, does not store larger values.
inline constexpr std::size_t max_note_bytes = 1'000'000;

/// Parses a note and validates each field on its own. `source` is the file or
/// key that errors refer to. On failure, returns the errors of all fields.
[[nodiscard]] value_or_errors<release_note> parse_note(
    std::string_view text, std::string const& source);

/// Serializes a note so that parse_note returns the same values. The digest is
/// written only for a checkpoint; for other notes it is the digest of the text.
[[nodiscard]] std::string write_note(release_note const& note);

} // namespace hibiscustide::core::release

#endif

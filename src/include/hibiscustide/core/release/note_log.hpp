/// \file
/// Applies release notes in the order of their revisions.
///
/// A release note is one published change of the configuration, and the fleet
/// is the configuration that results from applying the notes. hibnode is the
/// node program that uses them.
#ifndef HIBISCUSTIDE_CORE_RELEASE_NOTE_LOG_HPP
#define HIBISCUSTIDE_CORE_RELEASE_NOTE_LOG_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <hibiscustide/core/error.hpp>
#include <hibiscustide/core/release/fleet.hpp>

namespace hibiscustide::core::release
{

/// The note was applied and is in force: m_fleet is the resulting fleet.
struct note_accepted
{
    std::shared_ptr<fleet const> m_fleet;
};

/// The note, or a newer one, is already in force.
struct note_already_applied
{
};

/// Notes between the note in force and the offered note are missing.
struct note_gap
{
    std::uint64_t m_first_missing = 0; ///< Revision of the first of them.
};

/// The note is inconsistent with the notes already applied: either a different
/// note has the same revision, or the predecessor of the note is not the note
/// in force.
struct note_conflict
{
    /// True if a different note has the same revision, false if the predecessor
    /// differs.
    bool m_same_revision = false;
    /// Revision of the applied note that the offered note contradicts.
    std::uint64_t m_revision = 0;
    std::string m_digest_in_force; ///< Digest of that applied note.
    /// If m_same_revision is true, the digest of the offered note, and
    /// otherwise the digest that it gives for its predecessor.
    std::string m_digest_offered;
};

/// The note is invalid or can't be applied to the fleet in force.
struct note_rejected
{
    field_errors m_errors;
};

/// The result of offering a note to a note_log.
using note_decision = std::variant<
    note_accepted, note_already_applied, note_gap, note_conflict,
    note_rejected>;

/// Holds the fleet in force and the newest notes. The revision in force never
/// decreases, in whatever order notes are offered.
class note_log
{
public:
    /// The number of notes retained for peers that lag behind. A peer that
    /// needs older notes gets a checkpoint instead.
    static constexpr std::size_t max_retained_notes = 64;

    note_log();

    /// Parses a note and applies it if it follows the note in force. `source`
    /// identifies the origin of the text in errors.
    [[nodiscard]] note_decision offer(
        std::string text, std::string const& source);

    /// Returns the fleet in force, which is never null.
    [[nodiscard]] std::shared_ptr<fleet const> const& in_force() const noexcept;

    /// Returns the texts that update a peer from `revision` to the revision in
    /// force, oldest first: all later notes, or one checkpoint if some of them
    /// are no longer retained.
    [[nodiscard]] std::vector<std::string> notes_after(
        std::uint64_t revision) const;

private:
    struct retained_note
    {
        std::uint64_t m_revision = 0;
        std::string m_digest;
        std::string m_text;
    };

    [[nodiscard]] std::optional<note_decision> check_chain(
        release_note const& note) const;
    void retain(release_note const& note, std::string text);

    std::shared_ptr<fleet const> m_in_force;
    std::deque<retained_note> m_retained;
};

} // namespace hibiscustide::core::release

#endif
